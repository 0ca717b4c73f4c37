"""Cached prefix blocks of an engine and the feed of their changes."""

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
MAX_KEPT_EVENTS: Final = 20_000


def block_hashes(prompt: str) -> list[str]:
    """Returns the names of a prompt's whole blocks, first to last."""
    data = memoryview(prompt.encode())
    digest = hashlib.sha256()
    names = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        digest.update(data[end - BLOCK_BYTES : end])
        names.append(digest.copy().hexdigest()[:BLOCK_HASH_DIGITS])
    return names


class CacheEventKind(enum.StrEnum):
    """What happened to a block."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent:
    """One change of the cache and the time from which it can be read."""

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
        """Returns the event as the API shows it."""
        return {
            "sequence": self.sequence,
            "kind": self.kind,
            "block": self.block,
        }


class CacheEventFeed:
    """Publishes cache events late and leaves some out.

    A lost event uses up its sequence number, so that readers see a gap.

    Attributes:
        options: Delay and loss of events.
    """

    __slots__ = (
        "_last_visible_s",
        "_pending",
        "_random",
        "_sequence",
        "_visible",
        "options",
    )

    def __init__(self, *, options: EngineOptions) -> None:
        self.options = options
        self._random = random.Random(options.seed)
        self._pending: collections.deque[CacheEvent] = collections.deque()
        self._visible: list[CacheEvent] = []
        self._sequence = 0
        self._last_visible_s = 0.0

    def add(self, kind: CacheEventKind, block: str) -> None:
        """Adds an event, which readers see later if at all."""
        sequence = self._sequence
        self._sequence += 1
        options = self.options
        jitter_s = self._random.random() * options.cache_event_jitter_s
        if self._random.random() < options.cache_event_loss:
            return
        now_s = asyncio.get_running_loop().time()
        visible_at_s = now_s + options.cache_event_delay_s
        visible_at_s = max(visible_at_s + jitter_s, self._last_visible_s)
        self._last_visible_s = visible_at_s  # events stay in order
        self._pending.append(
            CacheEvent(
                sequence=sequence,
                kind=kind,
                block=block,
                visible_at_s=visible_at_s,
            )
        )

    def read(self, since: int) -> tuple[list[CacheEvent], int]:
        """Returns the visible events from a number on, and the next number."""
        self._reveal()
        if not self._visible:
            return [], 0
        first = bisect.bisect_left(self._visible, since, key=_sequence)
        return self._visible[first:], self._visible[-1].sequence + 1

    def clear(self) -> None:
        """Starts again from sequence number 0, as a restart does."""
        self._pending.clear()
        self._visible.clear()
        self._sequence = 0

    def _reveal(self) -> None:
        now_s = asyncio.get_running_loop().time()
        while self._pending and self._pending[0].visible_at_s <= now_s:
            self._visible.append(self._pending.popleft())
        if len(self._visible) > MAX_KEPT_EVENTS:
            del self._visible[: MAX_KEPT_EVENTS // 2]


def _sequence(event: CacheEvent) -> int:
    return event.sequence


class PrefixCache:
    """Prefix blocks, of which the least recently used is removed first.

    Attributes:
        max_blocks: Blocks that fit.
        feed: Where changes are published.
    """

    __slots__ = ("_blocks", "feed", "max_blocks")

    def __init__(self, *, max_tokens: int, feed: CacheEventFeed) -> None:
        self.max_blocks = max_tokens // BLOCK_TOKENS
        self.feed = feed
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def match(self, names: list[str]) -> int:
        """Returns how many tokens of a prompt are cached, and uses them."""
        count = 0
        for name in names:
            if name not in self._blocks:
                break
            self._blocks.move_to_end(name)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, names: list[str]) -> None:
        """Caches the blocks of a prompt, as many of the first as fit."""
        for name in names[: self.max_blocks]:
            if name in self._blocks:
                self._blocks.move_to_end(name)
                continue
            if len(self._blocks) >= self.max_blocks:
                oldest, _ = self._blocks.popitem(last=False)
                self.feed.add(CacheEventKind.REMOVED, oldest)
            self._blocks[name] = None
            self.feed.add(CacheEventKind.STORED, name)

    def clear(self, *, publish: bool) -> None:
        """Removes every block, with or without events."""
        if publish:
            for name in self._blocks:
                self.feed.add(CacheEventKind.REMOVED, name)
        self._blocks.clear()


__all__ = [
    "BLOCK_TOKENS",
    "CacheEvent",
    "CacheEventFeed",
    "CacheEventKind",
    "PrefixCache",
    "block_hashes",
]
