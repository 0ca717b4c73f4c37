"""Claims idempotency keys in the platform's object store."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
import secrets
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.claims.shard import (
    MAX_CLOCK_SKEW_S,
    AddClaim,
    AlreadyClaimed,
    ClaimAcquired,
    ClaimOutcome,
    ClaimUnavailable,
    DropClaim,
    RecordOutcome,
    claim_with_outcome,
    root_shard,
    split_bit,
)
from auburnswitch.claims.shard_writer import (
    PendingChange,
    ShardWriter,
    child_key,
)
from auburnswitch.object_store.client import (
    ABSENT,
    CallPriority,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)
from auburnswitch.schema.base import from_json, to_json
from auburnswitch.schema.objects import Claim, ClaimLayout, ClaimState

if TYPE_CHECKING:
    from auburnswitch.clock import WallClock
    from auburnswitch.object_store.client import ObjectStoreClient
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.schema.settings import PlatformSettings

ChangeForwarder = Callable[
    [str, PendingChange], Awaitable["ClaimOutcome | None"]
]

CLAIMS_PREFIX: Final = "claims/"
LAYOUT_KEY: Final = "claim-layout"
MAX_RECORDED_BYTES: Final = 4096
DISPATCH_WINDOW_S: Final = 10.0
CLAIM_TIMEOUT_S: Final = 5.0
SHARDS_PER_EVICTION: Final = 64
RECORD_TIMEOUT_S: Final = 1.0


def hash_key(team: str, service: str, key: str) -> str:
    """Returns the hash under which a team's idempotency key is claimed."""
    text = "\0".join((team, service, key)).encode()
    return hashlib.sha256(text).hexdigest()[:32]


class ClaimStore:
    """Claims idempotency keys, so that at most one request per key is sent.

    Attributes:
        store: Client of the platform's object store.
        settings: Retention time of claims and size limit of shards.
        forward: Forwards a change to the daemon that commits its shard;
            returns None if this daemon has to commit the change.
        has_member_ended: Returns whether a member is known to have ended.
        writers: Writers of the shards in use, by the shard's key.
        shard_count: Number of root shards; 0 until it has been read.
    """

    __slots__ = (
        "clock",
        "forward",
        "has_member_ended",
        "layout_lock",
        "member_id",
        "rng",
        "settings",
        "shard_count",
        "store",
        "tasks",
        "writers",
    )

    def __init__(
        self,
        *,
        store: ObjectStoreClient,
        settings: PlatformSettings,
        clock: WallClock,
        member_id: str,
        tasks: TaskSet,
        seed: int = 0,
        has_member_ended: Callable[[str], bool] = lambda member_id: False,
    ) -> None:
        self.store = store
        self.settings = settings
        self.clock = clock
        self.member_id = member_id
        self.tasks = tasks
        self.rng = random.Random(seed)
        self.has_member_ended = has_member_ended
        self.forward: ChangeForwarder | None = None
        self.writers: dict[str, ShardWriter] = {}
        self.shard_count = 0
        self.layout_lock = asyncio.Lock()

    async def claim(
        self, key_hash: str, request_hash: str, *, time_left_s: float
    ) -> ClaimOutcome:
        """Claims a key, or returns the earlier claim.

        Args:
            key_hash: Hash of the key, from `hash_key`.
            request_hash: Hash by which a repeated request is recognised.
            time_left_s: Time until the request's deadline, in seconds.

        Returns:
            The outcome. After `ClaimAcquired` the request may be sent once,
            before the claim's ``dispatch_by``; after any other outcome it
            must not be sent.
        """
        claim = self._new_claim(key_hash, request_hash, time_left_s)
        pending = PendingChange(change=AddClaim(claim=claim))
        try:
            async with asyncio.timeout(min(CLAIM_TIMEOUT_S, time_left_s)):
                unavailable = await self._ensure_layout()
                if unavailable is not None:
                    return ClaimUnavailable(reason=unavailable.reason)
                if outcome := await self._forward(pending):
                    return outcome
                self._route(pending)
                return await pending.outcome
        except TimeoutError:
            self._drop_if_written(pending)
            return ClaimUnavailable(
                reason="claiming the idempotency key timed out"
            )
        except asyncio.CancelledError:
            self._drop_if_written(pending)
            raise

    async def record(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None:
        """Records the response to a claimed request.

        Waits at most ``RECORD_TIMEOUT_S`` for the commit, which continues
        in the background.
        """
        body_dropped = len(body) > MAX_RECORDED_BYTES
        encoded_body = (
            "" if body_dropped else base64.b64encode(body).decode("ascii")
        )
        completed = claim_with_outcome(
            claim,
            state=ClaimState.DONE,
            status=status,
            content_type=content_type,
            body=encoded_body,
            body_dropped=body_dropped,
        )
        pending = PendingChange(change=RecordOutcome(claim=completed))
        if await self._forward(pending):
            return
        self._route(pending)
        await asyncio.wait({pending.outcome}, timeout=RECORD_TIMEOUT_S)

    async def commit_for_peer(
        self, pending: PendingChange, timeout_s: float
    ) -> ClaimOutcome:
        """Commits another daemon's change with the next batch."""
        try:
            async with asyncio.timeout(timeout_s):
                unavailable = await self._ensure_layout()
                if unavailable is not None:
                    return ClaimUnavailable(reason=unavailable.reason)
                self._route(pending)
                return await pending.outcome
        except TimeoutError:
            return ClaimUnavailable(
                reason="claiming the idempotency key timed out"
            )

    async def _forward(self, pending: PendingChange) -> ClaimOutcome | None:
        if self.forward is None:
            return None
        key_hash = pending.change.claim.key_hash
        shard = f"claims {root_shard(key_hash, self.shard_count)}"
        return await self.forward(shard, pending)

    def record_unknown(self, claim: Claim) -> None:
        """Records that a claimed request was sent with an unknown outcome."""
        unknown = claim_with_outcome(claim, state=ClaimState.UNKNOWN)
        self._route(PendingChange(change=RecordOutcome(claim=unknown)))

    def drop(self, claim: Claim) -> None:
        """Drops the claim of a request that was certainly not sent."""
        if self.shard_count:
            self._route(PendingChange(change=DropClaim(claim=claim)))

    def _drop_if_written(self, pending: PendingChange) -> None:
        if pending.written:
            self.drop(pending.change.claim)

    async def flush(self, timeout_s: float) -> None:
        """Waits until all changes are committed, at most for a timeout."""
        running = [w.task for w in self.writers.values() if w.task is not None]
        if running:
            await asyncio.wait(running, timeout=timeout_s)

    def in_progress(self, claim: Claim) -> bool:
        """Returns whether a claim without an outcome may still get one.

        This holds while the claimant may still send the request and, unless
        the claimant has ended, until the request's deadline.
        """
        if claim.state != ClaimState.CLAIMED:
            return False
        now_s = self.clock.now_s() - MAX_CLOCK_SKEW_S
        if now_s <= claim.dispatch_by:
            return True
        return now_s <= claim.deadline_at and not self.has_member_ended(
            claim.member_id
        )

    def _new_claim(
        self, key_hash: str, request_hash: str, time_left_s: float
    ) -> Claim:
        now_s = self.clock.now_s()
        deadline_at = now_s + time_left_s
        return Claim(
            key_hash=key_hash,
            request_hash=request_hash,
            nonce=secrets.token_hex(8),
            member_id=self.member_id,
            dispatch_by=min(deadline_at, now_s + DISPATCH_WINDOW_S),
            deadline_at=deadline_at,
            expires_at=deadline_at + self.settings.claim_retention_s,
        )

    def _route(self, pending: PendingChange) -> None:
        key_hash = pending.change.claim.key_hash
        key = f"{CLAIMS_PREFIX}{root_shard(key_hash, self.shard_count):04d}"
        depth = 0
        writer = self._get_or_add_writer(key, depth)
        while writer.split_into:
            bit = split_bit(key_hash, depth)
            key = child_key(key, writer.split_into, bit)
            depth += 1
            writer = self._get_or_add_writer(key, depth)
        writer.submit(pending)

    def _get_or_add_writer(self, key: str, depth: int) -> ShardWriter:
        writer = self.writers.get(key)
        if writer is None:
            self._evict_idle_shards()
            writer = self.writers[key] = ShardWriter(
                key=key,
                depth=depth,
                shard_count=self.shard_count,
                store=self.store,
                settings=self.settings,
                clock=self.clock,
                tasks=self.tasks,
                rng=self.rng,
                route=self._route,
            )
        return writer

    def _evict_idle_shards(self) -> None:
        if len(self.writers) % SHARDS_PER_EVICTION:
            return
        for writer in self.writers.values():
            if writer.task is None or writer.task.done():
                writer.contents = None  # read again at the next commit

    async def _ensure_layout(self) -> StoreUnavailable | None:
        """Reads the number of shards, which all daemons must agree on."""
        if self.shard_count:
            return None
        async with self.layout_lock:
            return await self._read_layout()

    async def _read_layout(self) -> StoreUnavailable | None:
        while not self.shard_count:
            match await self.store.get(LAYOUT_KEY, priority=CallPriority.CLAIM):
                case Result(tag="ok", ok=StoredObject(value=value)):
                    self.shard_count = from_json(ClaimLayout, value).shards
                    return None
                case Result(tag="error", error=error):
                    return error
            layout = ClaimLayout(shards=self.settings.claim_shards)
            put = await self.store.put(
                LAYOUT_KEY,
                to_json(layout),
                expected_version=ABSENT,
                priority=CallPriority.CLAIM,
            )
            match put:
                case Result(tag="error", error=VersionConflict()):
                    continue
                case Result(tag="error", error=StoreUnavailable() as error):
                    if not error.outcome_unknown:
                        return error
        return None


__all__ = [
    "AlreadyClaimed",
    "ClaimOutcome",
    "ClaimStore",
    "ClaimUnavailable",
    "ClaimAcquired",
    "hash_key",
]
