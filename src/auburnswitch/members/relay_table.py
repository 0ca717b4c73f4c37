"""Chooses the daemon that passes datagrams on in each availability zone.

What a relay sends grows with its zone, so only daemons on instances with
strong links are chosen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_first

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.members.peer import Peer
    from auburnswitch.schema.gossip import DaemonRecord

REFRESH_S: Final = 0.25
STRONG_SHARE: Final = 0.5


class RelayTable:
    """The relay of each zone: the first live daemon in rendezvous order.

    Attributes:
        me: This daemon's record.
        live_peers: Returns the peers that were heard of lately.
    """

    __slots__ = ("_refreshed_at", "_relays", "live_peers", "me")

    def __init__(
        self, *, me: DaemonRecord, live_peers: Callable[[], list[Peer]]
    ) -> None:
        self.me = me
        self.live_peers = live_peers
        self._relays: dict[str, str] = {}
        self._refreshed_at = -REFRESH_S

    def relay_of(self, zone: str) -> str:
        """Returns the instance of a zone's relay, empty if none is live."""
        now = monotonic_s()
        if now - self._refreshed_at >= REFRESH_S:
            self._refreshed_at = now
            self._relays = self._choose()
        return self._relays.get(zone, "")

    def is_relay(self) -> bool:
        """Whether this daemon passes on in its own zone."""
        return self.relay_of(self.me.zone) == self.me.instance

    def _choose(self) -> dict[str, str]:
        zones = {self.me.zone: [self.me]}
        for peer in self.live_peers():
            zones.setdefault(peer.record.zone, []).append(peer.record)
        return {
            zone: rendezvous_first(f"relay {zone}", strongest(records))
            for zone, records in zones.items()
        }


def strongest(records: list[DaemonRecord]) -> list[str]:
    """Returns the instances whose links are not much slower than the best."""
    best = max((record.link_mbps for record in records), default=0.0)
    return [
        record.instance
        for record in records
        if record.link_mbps >= best * STRONG_SHARE
    ]


__all__ = ["RelayTable", "strongest"]
