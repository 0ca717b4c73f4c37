"""Selects the daemon that relays datagrams in each availability zone.

The traffic of a relay grows with its zone, so only daemons on instances with
fast links are selected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.members.rendezvous import rendezvous_owner

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.members.gossip_peer import GossipPeer
    from auburnswitch.schema.gossip import DaemonRecord

RELAY_REFRESH_INTERVAL_S: Final = 0.25
MIN_LINK_SPEED_RATIO: Final = 0.5


class RelaySelector:
    """Selects each zone's relay: the first live daemon in rendezvous order.

    Attributes:
        local_record: This daemon's record.
        live_peers: Returns the live peers.
    """

    __slots__ = ("_refreshed_at", "_relays", "live_peers", "local_record")

    def __init__(
        self,
        *,
        local_record: DaemonRecord,
        live_peers: Callable[[], list[GossipPeer]],
    ) -> None:
        self.local_record = local_record
        self.live_peers = live_peers
        self._relays: dict[str, str] = {}
        self._refreshed_at = -RELAY_REFRESH_INTERVAL_S

    def relay_for(self, zone: str) -> str:
        """Returns the instance of a zone's relay, empty if none is live."""
        now = monotonic_s()
        if now - self._refreshed_at >= RELAY_REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._relays = self._choose_relays()
        return self._relays.get(zone, "")

    def is_relay(self) -> bool:
        """Returns whether this daemon is the relay of its zone."""
        return (
            self.relay_for(self.local_record.zone) == self.local_record.instance
        )

    def _choose_relays(self) -> dict[str, str]:
        zones = {self.local_record.zone: [self.local_record]}
        for peer in self.live_peers():
            zones.setdefault(peer.record.zone, []).append(peer.record)
        return {
            zone: rendezvous_owner(
                f"relay {zone}", fastest_link_instances(records)
            )
            for zone, records in zones.items()
        }


def fastest_link_instances(records: list[DaemonRecord]) -> list[str]:
    """Returns the instances with links near the fastest link's speed."""
    fastest_mbps = max((record.link_mbps for record in records), default=0.0)
    return [
        record.instance
        for record in records
        if record.link_mbps >= fastest_mbps * MIN_LINK_SPEED_RATIO
    ]


__all__ = ["RelaySelector", "fastest_link_instances"]
