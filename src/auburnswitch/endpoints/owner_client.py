"""Sends reservation messages to the owners of endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from auburnswitch.members.frames import FrameError
from auburnswitch.schema.peers import (
    ProgressRequest,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.members.membership import Membership

LATE_REPLY_TIMEOUT_S: Final = 60.0


class OwnerClient:
    """Calls the owners of endpoints, including this daemon.

    Attributes:
        endpoint_manager: Handles requests for endpoints that this daemon owns.
        membership: Links to the other daemons.
        apply_locally: Handles a message to this daemon.
        pending_calls: Calls that wait for a reply.
    """

    __slots__ = (
        "apply_locally",
        "endpoint_manager",
        "membership",
        "pending_calls",
    )

    def __init__(
        self,
        *,
        endpoint_manager: EndpointManager,
        membership: Membership,
        apply_locally: Callable[[ReleaseRequest | ProgressRequest], None],
    ) -> None:
        self.endpoint_manager = endpoint_manager
        self.membership = membership
        self.apply_locally = apply_locally
        self.pending_calls: set[asyncio.Task[ReserveReply]] = set()

    async def reserve(
        self, owner_id: str, request: ReserveRequest
    ) -> ReserveReply:
        """Requests a reservation from an owner.

        A reservation granted after the caller stopped waiting is released.
        """
        local_id = self.endpoint_manager.view.local_member.id
        if owner_id == local_id:
            return await self.endpoint_manager.reserve(request, local_id)
        link = self.membership.links.get(owner_id)
        if link is None:
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        task = asyncio.create_task(self._call(link, request))
        self.pending_calls.add(task)
        task.add_done_callback(self.pending_calls.discard)
        timeout_s = request.max_wait_s + link.settings.call_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        finally:
            if not task.done():  # the owner may still grant the reservation
                task.add_done_callback(
                    lambda late_task: self._release_late(
                        owner_id, request, late_task
                    )
                )

    async def _call(self, link: Any, request: ReserveRequest) -> ReserveReply:
        timeout_s = request.max_wait_s + LATE_REPLY_TIMEOUT_S
        try:
            reply = await link.call(request, timeout_s)
        except (OSError, TimeoutError, FrameError):
            return ReserveReply(code=ResultCode.PEER_UNREACHABLE)
        if isinstance(reply, ReserveReply):
            return reply
        return ReserveReply(code=ResultCode.PEER_UNREACHABLE)

    def _release_late(
        self,
        owner_id: str,
        request: ReserveRequest,
        late_task: asyncio.Task[ReserveReply],
    ) -> None:
        if late_task.cancelled() or late_task.exception() is not None:
            return
        reply = late_task.result()
        if reply.code != ResultCode.OK or not reply.reservation_id:
            return
        release = ReleaseRequest(
            endpoint=request.endpoint, reservation_id=reply.reservation_id
        )
        self.membership.tasks.start(
            self.send(owner_id, release), "release a late reservation"
        )

    async def send(
        self, member_id: str, request: ReleaseRequest | ProgressRequest
    ) -> None:
        """Reports the progress or the end of a reservation to an owner."""
        if member_id == self.endpoint_manager.view.local_member.id:
            self.apply_locally(request)
            return
        link = self.membership.links.get(member_id)
        if link is None:
            return  # heartbeats correct the owner's ledger
        try:
            await link.call(request)
        except (OSError, TimeoutError, FrameError):
            return


__all__ = ["OwnerClient"]
