"""Decides whether a failed attempt met a crash of its endpoint."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from auburnswitch.endpoints.client import EndpointClient
    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.members.membership import Membership
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.routing.strike_registry import StrikeRegistry
    from auburnswitch.schema.objects import Endpoint

ACK_POLL_INTERVAL_S: Final = 0.01


class CrashDetector:
    """Gives strikes and tells the peers before the request goes on.

    Attributes:
        strikes: Strikes known to this daemon.
        client: Calls endpoints.
        membership: Sends heartbeats to the peers.
    """

    __slots__ = ("client", "membership", "strikes")

    def __init__(
        self,
        *,
        strikes: StrikeRegistry,
        client: EndpointClient,
        membership: Membership,
    ) -> None:
        self.strikes = strikes
        self.client = client
        self.membership = membership

    async def check_for_crash(
        self, request: RoutedRequest, held: HeldReservation, spec: Endpoint
    ) -> None:
        """Strikes a request that was in flight when its endpoint crashed.

        An endpoint that still reports the start of the reservation has only
        lost a connection.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(request.deadline_at):
                boot_id = await self.client.read_boot_id(spec)
                if boot_id == held.boot_id:
                    return
                new = self.strikes.add(
                    request.fingerprint, held.endpoint, held.boot_id
                )
                if new:
                    await self._spread()

    async def _spread(self) -> None:
        """Waits until every live peer has been told, or for a call's time."""
        told_at = monotonic_s()
        for link in self.membership.links.values():
            link.heartbeat_requested.set()
        view = self.membership.view
        timeout_s = self.membership.settings.peers.call_timeout_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not all(
                    view.peers[peer_id].acked_at >= told_at
                    for peer_id in view.live_ids()
                    if peer_id in view.peers
                ):
                    await asyncio.sleep(ACK_POLL_INTERVAL_S)


__all__ = ["CrashDetector"]
