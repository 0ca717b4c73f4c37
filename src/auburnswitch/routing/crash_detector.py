"""Detects whether an attempt failed because its endpoint crashed."""

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
    """Adds strikes for crashes and announces them before a request is retried.

    Attributes:
        strikes: The strikes recorded at this daemon.
        client: Sends calls to endpoints.
        membership: Sends heartbeats to peers.
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
        """Adds a strike to a request that was in flight at an endpoint's crash.

        An endpoint that still reports the boot id of the reservation has not
        crashed; only the connection was lost.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(request.deadline_at):
                boot_id = await self.client.read_boot_id(spec)
                if boot_id == held.boot_id:
                    return
                is_new = self.strikes.add(
                    request.fingerprint, held.endpoint, held.boot_id
                )
                if is_new:
                    await self._announce_strike()

    async def _announce_strike(self) -> None:
        """Sends heartbeats at once and waits for the acks of all live peers.

        The wait ends after the call timeout at the latest.
        """
        requested_at = monotonic_s()
        for link in self.membership.links.values():
            link.heartbeat_requested.set()
        view = self.membership.view
        timeout_s = self.membership.settings.peers.call_timeout_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not all(
                    view.peers[peer_id].acked_at >= requested_at
                    for peer_id in view.live_ids()
                    if peer_id in view.peers
                ):
                    await asyncio.sleep(ACK_POLL_INTERVAL_S)


__all__ = ["CrashDetector"]
