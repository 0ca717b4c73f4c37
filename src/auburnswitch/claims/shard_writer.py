"""Commits the changes of one claim shard in batches."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any, Final

from expression import Result

from auburnswitch.claims.shard import (
    AddClaim,
    ClaimOutcome,
    ClaimUnavailable,
    DropClaim,
    ShardChange,
    ShardContents,
    is_final,
)
from auburnswitch.clock import monotonic_s
from auburnswitch.object_store.call_limiter import TokenBucket
from auburnswitch.object_store.client import (
    ABSENT,
    CallPriority,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from auburnswitch.clock import WallClock
    from auburnswitch.object_store.client import ObjectStoreClient
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.settings import PlatformSettings

COMMIT_BURST: Final = 4.0
MAX_BATCH_CHANGES: Final = 100
COMMIT_TIMEOUT_S: Final = 4.0
INITIAL_CONFLICT_DELAY_S: Final = 0.005
MAX_CONFLICT_DELAY_S: Final = 0.1
INITIAL_RETRY_DELAY_S: Final = 0.2
MAX_RETRY_DELAY_S: Final = 5.0


class PendingChange:
    """A change that is queued for a commit.

    Attributes:
        change: The change.
        outcome: Future of the change's outcome.
        written: Whether a write that contains it may have taken effect.
        commit_deadline_at: Loop time in seconds after which a claim is no
            longer written for a peer.
        for_peer: Whether another daemon requested the change.
    """

    __slots__ = (
        "change",
        "commit_deadline_at",
        "for_peer",
        "outcome",
        "written",
    )

    def __init__(
        self,
        *,
        change: ShardChange,
        timeout_s: float = COMMIT_TIMEOUT_S,
        for_peer: bool = False,
    ) -> None:
        self.change = change
        self.for_peer = for_peer
        self.commit_deadline_at = monotonic_s() + timeout_s
        self.outcome: asyncio.Future[ClaimOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.written = False

    def needs_commit(self) -> bool:
        """Returns whether the change still has to be committed."""
        if not isinstance(self.change, AddClaim):
            return True
        if self.for_peer and monotonic_s() > self.commit_deadline_at:
            return False  # the peer may have dropped the claim since
        return self.written or not self.outcome.done()

    def resolve(self, outcome: ClaimOutcome) -> None:
        """Sets the outcome unless it is already set or cancelled."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class ShardWriter:
    """Commits the queued changes of a shard, a batch per conditional write.

    Changes that arrive during a commit are queued for the next one. A claim
    that cannot be committed fails; outcomes and drops are retried until the
    store accepts them or the claim has expired.

    Attributes:
        key: Key of the stored object.
        depth: Number of splits between the root shard and this one.
        shard_count: Number of root shards.
        bucket: Limits the shard to its share of the fleet's claim writes.
        queue: Changes that are not committed yet.
        contents: Contents as of the last read or write, None if unknown.
        split_into: Key suffix of the two shards that replaced this one, empty
            if it is not split.
    """

    __slots__ = (
        "bucket",
        "clock",
        "contents",
        "depth",
        "key",
        "queue",
        "rng",
        "route",
        "settings",
        "shard_count",
        "split_into",
        "store",
        "task",
        "tasks",
        "wake",
    )

    def __init__(
        self,
        *,
        key: str,
        depth: int,
        shard_count: int,
        store: ObjectStoreClient,
        settings: PlatformSettings,
        clock: WallClock,
        tasks: TaskSet,
        rng: random.Random,
        route: Callable[[PendingChange], None],
    ) -> None:
        self.key = key
        self.depth = depth
        self.shard_count = shard_count
        self.store = store
        self.settings = settings
        self.clock = clock
        self.tasks = tasks
        self.rng = rng
        self.route = route
        self.queue: list[PendingChange] = []
        self.wake = asyncio.Event()
        self.task: asyncio.Task[Any] | None = None
        self.contents: ShardContents | None = None
        self.split_into = ""
        self.bucket = TokenBucket(
            rate=self._commits_per_second, min_burst=COMMIT_BURST
        )

    def submit(self, pending: PendingChange) -> None:
        """Queues a change for the next commit."""
        self.queue.append(pending)
        self.wake.set()
        if self.task is None or self.task.done():
            self.task = self.tasks.start(self._run(), f"commit {self.key}")

    async def _run(self) -> None:
        delay_s = INITIAL_RETRY_DELAY_S
        while self.queue:
            await self._wait_for_rate_limit()
            batch = self.queue[:MAX_BATCH_CHANGES]
            self.queue = self.queue[MAX_BATCH_CHANGES:]
            failure = await self._commit(batch)
            if failure is None:
                delay_s = INITIAL_RETRY_DELAY_S
                continue
            self._fail(batch, failure)
            await self._back_off(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _wait_for_rate_limit(self) -> None:
        """Waits until the shard's rate limit allows a write."""
        while (wait_s := self.bucket.wait_s()) > 0:
            await asyncio.sleep(wait_s)
        self.bucket.consume()

    def _commits_per_second(self) -> float:
        shards = self.shard_count * 2**self.depth
        return self.store.fleet_claim_writes_per_second() / shards

    async def _back_off(self, delay_s: float) -> None:
        self.wake.clear()
        try:
            async with asyncio.timeout(delay_s * self.rng.uniform(0.5, 1)):
                await self.wake.wait()
        except TimeoutError:
            return

    def _fail(self, batch: list[PendingChange], reason: str) -> None:
        now_s = self.clock.now_s()
        retained: list[PendingChange] = []
        for pending in batch:
            claim = pending.change.claim
            if claim.expires_at < now_s:
                pending.resolve(ClaimUnavailable(reason="the claim expired"))
            elif not isinstance(pending.change, AddClaim):
                retained.append(pending)
            else:
                pending.resolve(ClaimUnavailable(reason=reason))
                if pending.written and not pending.for_peer:
                    drop = DropClaim(claim=claim)
                    retained.append(PendingChange(change=drop))
        self.queue = retained + self.queue

    async def _commit(self, batch: list[PendingChange]) -> str | None:
        """Commits a batch; returns the reason of a failure, or None."""
        commit_deadline_at = monotonic_s() + COMMIT_TIMEOUT_S
        delay_s = INITIAL_CONFLICT_DELAY_S
        reason = "too much write contention on the claim shard"
        if self.contents is not None:
            self.contents.fresh = False
        while monotonic_s() < commit_deadline_at:
            batch[:] = [pending for pending in batch if pending.needs_commit()]
            if not batch:
                return None
            read = await self._read()
            if isinstance(read, StoreUnavailable):
                return read.reason
            if read.split_into:
                self._reroute(read, batch)
                return None
            draft = read.copy()
            draft.prune(self.clock.now_s())
            outcomes = [draft.apply(pending.change) for pending in batch]
            if not draft.dirty:
                if read.fresh or all(map(is_final, outcomes)):
                    self._resolve(batch, outcomes)
                    return None
                self.contents = None
                continue
            match await self._write(draft, batch):
                case Result(tag="ok"):
                    self._resolve(batch, outcomes)
                    await self._split_if_large()
                    return None
                case Result(error=VersionConflict()):
                    reason = "too much write contention on the claim shard"
                    await asyncio.sleep(delay_s * self.rng.random())
                    delay_s = min(2 * delay_s, MAX_CONFLICT_DELAY_S)
                case Result(error=StoreUnavailable() as error):
                    if not error.outcome_unknown:
                        return error.reason
                    reason = error.reason
                case _:
                    if not await self._split(read):
                        return "the claim shard is full"
        return reason

    async def _read(self) -> ShardContents | StoreUnavailable:
        if self.contents is not None:
            return self.contents
        match await self.store.get(self.key, priority=CallPriority.CLAIM):
            case Result(tag="ok", ok=StoredObject() as stored):
                self.contents = ShardContents(
                    value=stored.value, version=stored.version, fresh=True
                )
            case Result(tag="ok"):
                self.contents = ShardContents(version=ABSENT, fresh=True)
            case Result(error=error):
                return error
        return self.contents

    async def _write(
        self, draft: ShardContents, batch: list[PendingChange]
    ) -> Result[int, Any]:
        for pending in batch:
            pending.written = True
        self.contents = None  # unknown until the store answers the write
        put = await self.store.put(
            self.key,
            draft.to_json(),
            expected_version=draft.version,
            priority=CallPriority.CLAIM,
        )
        match put:
            case Result(tag="ok", ok=version):
                draft.version = version
                draft.fresh = draft.dirty = False
                self.contents = draft
        return put

    def _resolve(
        self, batch: list[PendingChange], outcomes: list[ClaimOutcome]
    ) -> None:
        for pending, outcome in zip(batch, outcomes, strict=True):
            pending.resolve(outcome)

    def _reroute(
        self, contents: ShardContents, batch: list[PendingChange]
    ) -> None:
        self.split_into = contents.split_into
        self.contents = None
        queued, self.queue = self.queue, []
        for pending in batch + queued:
            self.route(pending)

    async def _split_if_large(self) -> None:
        contents = self.contents
        if contents is None or len(contents.claims) < 2:
            return
        if self.store.size_bytes(contents.to_json()) > (
            self.settings.claim_split_bytes
        ):
            await self._split(contents)

    async def _split(self, contents: ShardContents) -> bool:
        """Moves the claims to two new shards; returns whether this succeeded.

        The new shards have unique keys, so that daemons that split the same
        shard concurrently do not conflict; the conditional write of the old
        shard decides whose new shards are used. That write fails if the old
        shard has changed, for example by a new claim.
        """
        if len(contents.claims) < 2:
            return False
        suffix = secrets.token_hex(4)
        for bit in (0, 1):
            half = contents.split_half(self.depth, bit)
            put = await self.store.put(
                child_key(self.key, suffix, bit),
                half.to_json(),
                expected_version=ABSENT,
            )
            if put.is_error():
                return False
        pointer = ShardContents(version=contents.version)
        pointer.split_into = suffix
        self.contents = None  # the next commit reads the result of the write
        put = await self.store.put(
            self.key, pointer.to_json(), expected_version=contents.version
        )
        return put.is_ok()


def child_key(key: str, suffix: str, bit: int) -> str:
    """Returns the key of one of the two shards of a split."""
    return f"{key}.{suffix}{bit}"


__all__ = ["PendingChange", "ShardWriter", "child_key"]
