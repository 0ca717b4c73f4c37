"""Simulates a model engine."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from auburnswitch.standins.engine_api import engine_app
from auburnswitch.standins.engine_batch import BatchScheduler
from auburnswitch.standins.engine_cache import CacheEventFeed, PrefixCache
from auburnswitch.standins.engine_cold import ColdState
from auburnswitch.standins.engine_control import apply_engine_control
from auburnswitch.standins.engine_job_table import JobTable
from auburnswitch.standins.engine_load import LoadReport, make_load_report
from auburnswitch.standins.engine_options import EngineOptions
from auburnswitch.standins.engine_orders import OrderState
from auburnswitch.standins.engine_recorder import EngineRecorder
from auburnswitch.standins.history import History, HistoryKind
from auburnswitch.standins.lagged_value import LaggedValue
from auburnswitch.standins.listener import Listener, Pause, open_listener

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from auburnswitch.standins.engine_job import Job
    from auburnswitch.standins.engine_orders import Order


class EngineStandIn:
    """An engine with continuous batching, a prefix cache and a cold state.

    Attributes:
        name: Actor name in the history.
        history: Receives the engine's records.
        options: Limits and service times; those of the cold state, of faults
            and of service times may be changed while the engine runs.
        session: HTTP client that checks whether KV caches exist at other
            engines, or None to skip the check.
        pause: Suspends the engine while active.
        batch: Waiting and running jobs.
        recorder: Writes to the history.
        job_table: Streams and KV caches that callers can address by id.
        cold_state: Tracks whether the engine is cold.
        cache: Cached prefix blocks.
        order_state: State that orders have set.
        incarnation: Part of boot ids that distinguishes processes.
        boot_id: Changes with every start.
        load: Load reports, which readers get with a lag.
    """

    __slots__ = (
        "_boot_count",
        "_leaving",
        "_listener",
        "batch",
        "boot_id",
        "cache",
        "cold_state",
        "history",
        "incarnation",
        "job_table",
        "load",
        "name",
        "options",
        "order_state",
        "pause",
        "recorder",
        "session",
    )

    def __init__(
        self,
        *,
        name: str = "engine",
        options: EngineOptions | None = None,
        history: History | None = None,
        session: aiohttp.ClientSession | None = None,
        incarnation: str = "",
    ) -> None:
        self.name = name
        self.options = options if options is not None else EngineOptions()
        self.history = history if history is not None else History()
        self.session = session
        self.incarnation = incarnation
        self.pause = Pause()
        self.batch = BatchScheduler(
            options=self.options,
            observer=self,
            pause=self.pause,
            prefill_delay_s=lambda: self.cold_state.delay_s,
        )
        self.recorder = EngineRecorder(
            actor=self.name, history=self.history, batch=self.batch
        )
        self.job_table = JobTable(resumable_s=self.options.resumable_s)
        self.cold_state = ColdState(options=self.options)
        self.cache = PrefixCache(
            max_tokens=self.options.cache_tokens,
            feed=CacheEventFeed(options=self.options),
        )
        self.order_state = OrderState(
            model=self.options.model,
            checks_fencing=self.options.checks_fencing,
            load_s=self.options.model_load_s,
        )
        self._leaving = False
        self._boot_count = 0
        self._listener: Listener | None = None
        self.load: LaggedValue[LoadReport] = LaggedValue(
            lag_s=self.options.load_lag_s
        )
        self._boot()

    @property
    def url(self) -> str:
        """Base URL of the engine."""
        assert self._listener is not None
        return self._listener.url

    @property
    def leaving(self) -> bool:
        """Whether the engine reports that it is leaving."""
        return self._leaving

    @leaving.setter
    def leaving(self, value: bool) -> None:
        self._leaving = value
        self.on_load_changed()

    @property
    def cold(self) -> bool:
        """Whether the engine is cold and tolerates only a small load."""
        return self.cold_state.cold

    def turn_cold(self) -> None:
        """Resets the engine to the cold state without reporting it."""
        self.cold_state.turn_cold()
        self.recorder.record(HistoryKind.TURNED_COLD)

    def freeze(self, seconds: float) -> None:
        """Suspends the engine for some seconds; connections stay open."""
        self.pause.extend(seconds)

    def drop_connections(self) -> None:
        """Aborts all connections; streams continue and can be resumed."""
        if self._listener is not None:
            self._listener.abort_connections()

    def crash(self, cause: str = "switch") -> None:
        """Loses connections, memory and streams, and restarts after a delay.

        The delay is `options.restart_s`.
        """
        self.recorder.record_crash(cause, self.boot_id)
        if self._listener is not None:
            self._listener.stop_for(
                self.options.restart_s, silent=self.options.restart_silent
            )
        self.pause.end()
        self.batch.discard_all()
        self.job_table.clear()
        self.cache.clear(publish=False)
        self.cache.feed.clear()
        self.order_state.cancel_load()
        self.cold_state.turn_cold()
        self._boot()

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name and runs the requested actions."""
        apply_engine_control(self, switches)

    def submit(self, job: Job) -> None:
        """Queues a job, and crashes if the engine is cold and overloaded."""
        self.recorder.record_start(job, cold=self.cold, leaving=self.leaving)
        self.job_table.add(job)
        self.batch.submit(job)
        if self.cold_state.is_overloaded(self.batch.jobs()):
            self.crash("cold overload")

    def cancel(self, job: Job) -> None:
        """Cancels an active job or frees a retained KV cache."""
        self.job_table.remove(job)
        if job.active or job.kv_retained:
            self.batch.cancel(job)

    def apply_order(self, order: Order) -> bool:
        """Applies an order; returns whether it was accepted."""
        accepted = self.order_state.apply(order, self._on_model_loaded)
        self.recorder.record_order(order, accepted=accepted)
        return accepted

    def on_admitted(self, job: Job) -> None:
        """Records that memory has been allocated to a job."""
        self.recorder.record_job(HistoryKind.MEMORY_TAKEN, job)

    def on_prefill_started(self, job: Job) -> None:
        """Skips the prefill of cached blocks, except for the last token."""
        cached_tokens = self.cache.match(job.blocks)
        job.cached_tokens = min(cached_tokens, job.prompt_tokens - 1)
        job.prefill_remaining_tokens -= job.cached_tokens

    def on_prefilled(self, job: Job) -> None:
        """Caches the prompt's blocks, or crashes on a crash marker."""
        if job.crashes_engine:
            self.crash("prompt")
            return
        self.cache.store(job.blocks)

    def on_kv_retained(self, job: Job) -> None:
        """Records that a segment has been prefilled."""
        self.recorder.record_job(HistoryKind.REQUEST_FINISHED, job)
        self._count_success()

    def on_memory_freed(self, job: Job) -> None:
        """Records that a job's memory has been freed."""
        self.recorder.record_job(HistoryKind.MEMORY_FREED, job)

    def on_job_ended(self, job: Job) -> None:
        """Records how a job ended."""
        if job.finished:
            self.recorder.record_job(HistoryKind.REQUEST_FINISHED, job)
            self._count_success()
        elif not job.kv_completed:
            self.recorder.record_job(HistoryKind.REQUEST_CANCELLED, job)

    def on_load_changed(self) -> None:
        """Records the current load, which reports return after a lag."""
        report = make_load_report(
            self.batch,
            boot_id=self.boot_id,
            model=self.order_state.model,
            leaving=self.leaving,
        )
        self.load.record(report)

    def _boot(self) -> None:
        self._boot_count += 1
        self.boot_id = f"{self.name}-{self.incarnation}{self._boot_count}"
        self.load.clear()
        self.on_load_changed()
        self.recorder.record_boot(self.boot_id)

    def _count_success(self) -> None:
        if self.cold_state.count_success():
            self.recorder.record(HistoryKind.TURNED_WARM)

    def _on_model_loaded(self) -> None:
        self.cache.clear(publish=True)
        self.on_load_changed()

    @contextlib.asynccontextmanager
    async def serve(self, *, host: str, port: int) -> AsyncIterator[None]:
        """Serves the API and runs the batch until the context exits."""
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
                self.order_state.cancel_load()


@contextlib.asynccontextmanager
async def open_engine(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    name: str = "engine",
    options: EngineOptions | None = None,
    history: History | None = None,
    session: aiohttp.ClientSession | None = None,
    incarnation: str = "",
) -> AsyncIterator[EngineStandIn]:
    """Serves an engine stand-in until the context exits.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects a free port.
        name: Actor name in the history and prefix of boot ids.
        options: Limits and service times.
        history: Receives the engine's records.
        session: HTTP client that checks whether KV caches exist at other
            engines, or None to skip the check.
        incarnation: Part of boot ids that distinguishes processes.

    Yields:
        The stand-in.
    """
    engine = EngineStandIn(
        name=name,
        options=options,
        history=history,
        session=session,
        incarnation=incarnation,
    )
    async with engine.serve(host=host, port=port):
        yield engine


__all__ = ["EngineStandIn", "open_engine"]
