"""Simulates the prefix cache of an engine and the feed of its changes."""

from __future__ import annotations

import asyncio
import bisect
import collections
import enum
import hashlib
import random
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.standins.answers import BYTES_PER_TOKEN

if TYPE_CHECKING:
    from auburnswitch.standins.engine_options import EngineOptions

BLOCK_TOKENS: Final = 256
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN
BLOCK_HASH_DIGITS: Final = 16
MAX_RETAINED_EVENTS: Final = 20_000


def block_hashes(prompt: str) -> list[str]:
    """Returns the hashes of a prompt's full blocks, first to last.

    The hash of a block covers the prompt up to the end of that block.
    """
    data = memoryview(prompt.encode())
    digest = hashlib.sha256()
    hashes = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        digest.update(data[end - BLOCK_BYTES : end])
        hashes.append(digest.copy().hexdigest()[:BLOCK_HASH_DIGITS])
    return hashes


class CacheEventKind(enum.StrEnum):
    """Kind of change of a block."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent:
    """One change of the cache and the time at which it becomes visible."""

    __slots__ = ("block", "kind", "sequence", "visible_at_s")

    def __init__(
        self,
        *,
        sequence: int,
        kind: CacheEventKind,
        block: str,
        visible_at_s: float,
    ) -> None:
        self.sequence = sequence
        self.kind = kind
        self.block = block
        self.visible_at_s = visible_at_s

    def to_json(self) -> dict[str, Any]:
        """Returns the event in the API's JSON form."""
        return {
            "sequence": self.sequence,
            "kind": self.kind,
            "block": self.block,
        }


class CacheEventFeed:
    """Publishes cache events after a delay and drops some of them.

    A dropped event consumes its sequence number, so that readers see a gap.

    Attributes:
        options: Delay, jitter and loss ratio of events.
    """

    __slots__ = (
        "_last_visible_s",
        "_pending",
        "_rng",
        "_sequence",
        "_visible",
        "options",
    )

    def __init__(self, *, options: EngineOptions) -> None:
        self.options = options
        self._rng = random.Random(options.seed)
        self._pending: collections.deque[CacheEvent] = collections.deque()
        self._visible: list[CacheEvent] = []
        self._sequence = 0
        self._last_visible_s = 0.0

    def add(self, kind: CacheEventKind, block: str) -> None:
        """Adds an event, which is published after a delay or dropped."""
        sequence = self._sequence
        self._sequence += 1
        options = self.options
        jitter_s = self._rng.random() * options.cache_event_jitter_s
        if self._rng.random() < options.cache_event_loss:
            return
        now_s = asyncio.get_running_loop().time()
        visible_at_s = now_s + options.cache_event_delay_s
        visible_at_s = max(visible_at_s + jitter_s, self._last_visible_s)
        self._last_visible_s = visible_at_s  # keeps events in order
        self._pending.append(
            CacheEvent(
                sequence=sequence,
                kind=kind,
                block=block,
                visible_at_s=visible_at_s,
            )
        )

    def read(self, since: int) -> tuple[list[CacheEvent], int]:
        """Returns the visible events from a sequence number on.

        Args:
            since: First sequence number to return.

        Returns:
            The events and the sequence number to continue with, which is 0
            if no event is visible.
        """
        self._publish_due()
        if not self._visible:
            return [], 0
        first = bisect.bisect_left(self._visible, since, key=_event_sequence)
        return self._visible[first:], self._visible[-1].sequence + 1

    def clear(self) -> None:
        """Removes all events and restarts at sequence number 0.

        The feed loses its events when the engine restarts.
        """
        self._pending.clear()
        self._visible.clear()
        self._sequence = 0

    def _publish_due(self) -> None:
        now_s = asyncio.get_running_loop().time()
        while self._pending and self._pending[0].visible_at_s <= now_s:
            self._visible.append(self._pending.popleft())
        if len(self._visible) > MAX_RETAINED_EVENTS:
            del self._visible[: MAX_RETAINED_EVENTS // 2]


def _event_sequence(event: CacheEvent) -> int:
    return event.sequence


class PrefixCache:
    """Prefix blocks with least-recently-used eviction.

    Attributes:
        max_blocks: Maximum number of blocks.
        feed: Publishes the changes.
    """

    __slots__ = ("_blocks", "feed", "max_blocks")

    def __init__(self, *, max_tokens: int, feed: CacheEventFeed) -> None:
        self.max_blocks = max_tokens // BLOCK_TOKENS
        self.feed = feed
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def match(self, hashes: list[str]) -> int:
        """Returns the cached prefix length in tokens and marks it as used."""
        count = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            self._blocks.move_to_end(block_hash)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, hashes: list[str]) -> None:
        """Caches the blocks of a prompt, limited to the first `max_blocks`."""
        for block_hash in hashes[: self.max_blocks]:
            if block_hash in self._blocks:
                self._blocks.move_to_end(block_hash)
                continue
            if len(self._blocks) >= self.max_blocks:
                evicted, _ = self._blocks.popitem(last=False)
                self.feed.add(CacheEventKind.REMOVED, evicted)
            self._blocks[block_hash] = None
            self.feed.add(CacheEventKind.STORED, block_hash)

    def clear(self, *, publish: bool) -> None:
        """Removes all blocks.

        Args:
            publish: Whether to publish an event for each block.
        """
        if publish:
            for block_hash in self._blocks:
                self.feed.add(CacheEventKind.REMOVED, block_hash)
        self._blocks.clear()


__all__ = [
    "BLOCK_TOKENS",
    "CacheEvent",
    "CacheEventFeed",
    "CacheEventKind",
    "PrefixCache",
    "block_hashes",
]
