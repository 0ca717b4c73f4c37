"""A stand-in of a model engine."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.standins.control import set_switches
from auburnswitch.standins.engine_api import engine_app
from auburnswitch.standins.engine_batch import Batch
from auburnswitch.standins.engine_cache import CacheEventFeed, PrefixCache
from auburnswitch.standins.engine_job import Completion, Job, Segment
from auburnswitch.standins.engine_load import LoadReport
from auburnswitch.standins.engine_model import EngineOptions
from auburnswitch.standins.engine_orders import Order, OrderBook
from auburnswitch.standins.history import History, HistoryKind
from auburnswitch.standins.lagged import Lagged
from auburnswitch.standins.listener import Listener, Pause, open_listener

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

SWITCHES: Final = frozenset({"leaving"})


class EngineStandIn:
    """An engine with batches, a prefix cache and a cold state.

    Attributes:
        name: Actor in the history.
        history: Where it records what it does.
        options: Limits and service times; those of the cold state, of faults
            and of service times may be changed while it runs.
        session: Client for checking KV caches of other engines, or None to
            trust them.
        pause: While it lasts, the engine does nothing.
        batch: Jobs that wait or run.
        streams: Completions by request id and attempt.
        kv_caches: Prefilled segments by id.
        cache: Prefix blocks.
        orders: What orders have set.
        boot_id: Changes with every start.
        cold: Whether it bears only a small load.
        successes: Requests served since it turned cold.
    """

    __slots__ = (
        "_boots",
        "_kv_count",
        "_leaving",
        "_listener",
        "_load",
        "_order",
        "batch",
        "boot_id",
        "cache",
        "cold",
        "history",
        "kv_caches",
        "name",
        "options",
        "orders",
        "pause",
        "session",
        "streams",
        "successes",
    )

    def __init__(
        self,
        *,
        name: str = "engine",
        options: EngineOptions | None = None,
        history: History | None = None,
        session: aiohttp.ClientSession | None = None,
    ) -> None:
        self.name = name
        self.options = options if options is not None else EngineOptions()
        self.history = history if history is not None else History()
        self.session = session
        self.pause = Pause()
        self.batch = Batch(
            options=self.options, observer=self, pause=self.pause
        )
        self.streams: dict[tuple[str, int], Job] = {}
        self.kv_caches: dict[str, Job] = {}
        self.cache = PrefixCache(
            max_tokens=self.options.cache_tokens, feed=_make_feed(self.options)
        )
        self.orders = OrderBook(
            model=self.options.model,
            checks_fencing=self.options.checks_fencing,
            load_s=self.options.model_load_s,
        )
        self.cold = not self.options.starts_warm
        self.successes = 0
        self._leaving = False
        self._boots = 0
        self._order = 0
        self._kv_count = 0
        self._listener: Listener | None = None
        self._load: Lagged[LoadReport] = Lagged(lag_s=self.options.load_lag_s)
        self._boot()

    @property
    def url(self) -> str:
        """Base URL of the engine."""
        assert self._listener is not None
        return self._listener.url

    @property
    def up(self) -> bool:
        """Whether requests are accepted."""
        return self._listener is not None and self._listener.up

    @property
    def leaving(self) -> bool:
        """Whether the engine says that it is leaving."""
        return self._leaving

    @leaving.setter
    def leaving(self, value: bool) -> None:
        self._leaving = value
        self.on_changed()

    def turn_cold(self) -> None:
        """Turns cold without any announcement."""
        self.cold = True
        self.successes = 0
        self.history.add(self.name, HistoryKind.TURNED_COLD)

    def freeze(self, seconds: float) -> None:
        """Stops doing anything for a time; connections stay open."""
        self.pause.extend(seconds)

    def drop_connections(self) -> None:
        """Breaks every connection; streams go on and can be resumed."""
        if self._listener is not None:
            self._listener.abort_connections()

    def crash(self, cause: str = "switch") -> None:
        """Drops connections, memory and streams, and restarts later."""
        self.history.add(
            self.name,
            HistoryKind.CRASHED,
            cause=cause,
            boot_id=self.boot_id,
            in_flight=[
                [job.request_id, job.attempt] for job in self.batch.jobs()
            ],
        )
        if self._listener is not None:
            self._listener.take_down(
                self.options.restart_s, silent=self.options.restart_silent
            )
        self.batch.lose_all()
        self.streams.clear()
        self.kv_caches.clear()
        self.cache.clear(publish=False)
        self.cache.feed.clear()
        self.orders.stop_loading()
        self.cold = True
        self._boot()

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name and runs the actions among them."""
        others = dict(switches)
        freeze_s = float(others.pop("freeze_s", 0.0))
        cold = others.pop("turn_cold", False)
        crash = others.pop("crash", False)
        set_switches(self, others, SWITCHES)
        if freeze_s:
            self.freeze(freeze_s)
        if cold:
            self.turn_cold()
        if crash:
            self.crash()

    def next_kv_id(self, tokens: int, digest: str) -> str:
        """Returns a new KV cache id, which carries the prompt's digest."""
        self._kv_count += 1
        return f"{self.boot_id}.{self._kv_count}.{tokens}.{digest}"

    def next_order(self) -> int:
        """Returns the next place in the order of arrival."""
        self._order += 1
        return self._order

    def submit(self, job: Job) -> None:
        """Takes a job, or crashes if it is too much for a cold engine."""
        self.history.add(
            self.name,
            HistoryKind.REQUEST_STARTED,
            request_id=job.request_id,
            attempt=job.attempt,
            member_id=job.member_id,
            prompt_tokens=job.prompt_tokens,
            max_tokens=job.answer_tokens,
            priority=job.priority,
            cold=self.cold,
            leaving=self.leaving,
        )
        match job.work:
            case Completion():
                self.streams[job.request_id, job.attempt] = job
            case Segment(kv_id=kv_id):
                self.kv_caches[kv_id] = job
        self.batch.submit(job)
        if self.cold and self._is_overloaded():
            self.crash("cold overload")

    def live_streams(self) -> list[Job]:
        """Returns the streams that run or can still be resumed."""
        now_s = asyncio.get_running_loop().time()
        oldest_s = now_s - self.options.resumable_s
        for key, job in list(self.streams.items()):
            if not job.live and job.ended_at_s <= oldest_s:
                del self.streams[key]
        return list(self.streams.values())

    def cancel(self, job: Job) -> None:
        """Cancels a job, or frees its KV cache."""
        match job.work:
            case Completion():
                del self.streams[job.request_id, job.attempt]
            case Segment(kv_id=kv_id):
                del self.kv_caches[kv_id]
        if job.live or job.held:
            self.batch.cancel(job)

    def take_order(self, order: Order) -> bool:
        """Carries out an order; returns whether it was taken."""
        taken = self.orders.take(order, self._on_model_loaded)
        kind = HistoryKind.ORDER_APPLIED if taken else HistoryKind.ORDER_REFUSED
        self.history.add(self.name, kind, **order.to_json())
        return taken

    def load_report(self) -> LoadReport:
        """Returns the load as it was a short time ago."""
        return self._load.read()

    def on_admitted(self, job: Job) -> None:
        """Records that a job has taken its memory."""
        self._record_job(HistoryKind.MEMORY_TAKEN, job)

    def on_prefill_started(self, job: Job) -> None:
        """Skips the prefill of cached blocks."""
        cached = self.cache.match(job.blocks)
        job.cached_tokens = min(cached, job.prompt_tokens - 1)
        job.prefill_left -= job.cached_tokens

    def on_prefilled(self, job: Job) -> None:
        """Caches the prompt's blocks, or crashes on a crashing prompt."""
        if job.crashes:
            self.crash("prompt")
            return
        self.cache.store(job.blocks)

    def on_held(self, job: Job) -> None:
        """Counts a kept KV cache as a success."""
        self._count_success()

    def on_released(self, job: Job) -> None:
        """Records that a job has freed its memory."""
        self._record_job(HistoryKind.MEMORY_FREED, job)

    def on_ended(self, job: Job) -> None:
        """Records how a job ended."""
        if job.finished:
            self._record_job(HistoryKind.REQUEST_FINISHED, job)
            self._count_success()
        else:
            self._record_job(HistoryKind.REQUEST_CANCELLED, job)

    def on_changed(self) -> None:
        """Records the load for later reports."""
        batch = self.batch
        queued = sum(job.prefill_left for job in batch.waiting)
        queued += sum(job.prefill_left for job in batch.prefilling)
        self._load.record(
            LoadReport(
                boot_id=self.boot_id,
                running=batch.running_count,
                waiting=len(batch.waiting),
                memory_tokens=self.options.memory_tokens,
                memory_used_tokens=batch.memory_used,
                prefill_queued_tokens=queued,
                model=self.orders.model,
                leaving=self.leaving,
            )
        )

    def _boot(self) -> None:
        self._boots += 1
        self.successes = 0
        self.boot_id = f"{self.name}-{self._boots}"
        self._load.clear()
        self.on_changed()
        self.history.add(self.name, HistoryKind.RESTARTED, boot_id=self.boot_id)

    def _is_overloaded(self) -> bool:
        jobs = self.batch.jobs()
        tokens = sum(job.prompt_tokens for job in jobs)
        options = self.options
        return (
            len(jobs) > options.cold_max_running
            or tokens > options.cold_max_tokens
        )

    def _count_success(self) -> None:
        self.successes += 1
        if self.cold and self.successes >= self.options.warm_after:
            self.cold = False
            self.history.add(self.name, HistoryKind.TURNED_WARM)

    def _on_model_loaded(self) -> None:
        self.cache.clear(publish=True)
        self.on_changed()

    def _record_job(self, kind: HistoryKind, job: Job) -> None:
        self.history.add(
            self.name,
            kind,
            request_id=job.request_id,
            attempt=job.attempt,
            member_id=job.member_id,
            tokens=job.memory_tokens,
            memory_used=self.batch.memory_used,
        )

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Listens and runs the batch until the context ends."""
        async with (
            self.batch.run(),
            open_listener(
                engine_app(self), host=host, port=port, pause=self.pause
            ) as listener,
        ):
            self._listener = listener
            try:
                yield
            finally:
                self.orders.stop_loading()


def _make_feed(options: EngineOptions) -> CacheEventFeed:
    return CacheEventFeed(
        delay_s=options.cache_event_delay_s,
        jitter_s=options.cache_event_jitter_s,
        loss=options.cache_event_loss,
        random_source=random.Random(options.seed),
    )


@contextlib.asynccontextmanager
async def open_engine(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    name: str = "engine",
    options: EngineOptions | None = None,
    history: History | None = None,
    session: aiohttp.ClientSession | None = None,
) -> AsyncIterator[EngineStandIn]:
    """Serves an engine stand-in until the context ends.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 takes a free one.
        name: Actor in the history and start of its boot ids.
        options: Limits and service times.
        history: Where it records what it does.
        session: Client for checking KV caches of other engines, or None to
            trust them.

    Yields:
        The stand-in.
    """
    engine = EngineStandIn(
        name=name, options=options, history=history, session=session
    )
    async with engine.serve(host=host, port=port):
        yield engine


__all__ = ["EngineStandIn", "open_engine"]
