"""Tells the peers that suspected or refused prompt parts are sound."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.schema.gossip import Gossip, PartStart

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from auburnswitch.routing.crashes.part_evidence import PartEvidence

MAX_OBJECTION_DELAY_S: Final = 0.05  # most objections are heard before it
MAX_PARTS_PER_MESSAGE: Final = 400  # fit into one datagram


class PartObjections:
    """Objects at once, or after a short delay unless a peer is faster.

    Attributes:
        evidence: When answers with the parts last went on.
        rng: Random generator for the delays.
        send: Sends a message with these fields to all peers.
    """

    __slots__ = ("_timers", "evidence", "rng", "send")

    def __init__(
        self,
        *,
        evidence: PartEvidence,
        rng: random.Random,
        send: Callable[[Gossip], None],
    ) -> None:
        self.evidence = evidence
        self.rng = rng
        self.send = send
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def schedule(self, parts: Iterable[str]) -> None:
        """Objects for each part unless a peer does so first."""
        loop = asyncio.get_running_loop()
        for part in parts:
            if part not in self._timers:
                delay_s = self.rng.uniform(0.0, MAX_OBJECTION_DELAY_S)
                self._timers[part] = loop.call_later(
                    delay_s, self.object_to, (part,)
                )

    def object_to(self, parts: Iterable[str]) -> None:
        """Tells the peers when answers with these parts last went on."""
        starts = []
        now = monotonic_s()
        for part in parts:
            self.drop(part)
            started_at = self.evidence.started_at.get(part)
            if started_at is not None:
                starts.append(PartStart(part=part, age_s=now - started_at))
        if starts:
            self.send(Gossip(part_starts=starts[:MAX_PARTS_PER_MESSAGE]))

    def drop(self, part: str) -> None:
        """Drops a scheduled objection."""
        if timer := self._timers.pop(part, None):
            timer.cancel()


__all__ = ["MAX_PARTS_PER_MESSAGE", "PartObjections"]
