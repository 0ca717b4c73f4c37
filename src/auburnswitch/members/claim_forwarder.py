"""Forwards claims to the daemon that commits their shard.

Any daemon may change any shard by a conditional write. With one committing
daemon per shard, writes do not conflict and each write can batch claims of the
whole fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from auburnswitch.claims.shard import (
    AddClaim,
    AlreadyClaimed,
    ClaimAcquired,
    ClaimOutcome,
    RecordOutcome,
    same_request,
)
from auburnswitch.claims.shard_writer import PendingChange
from auburnswitch.members.frames import FrameError
from auburnswitch.members.rendezvous import rendezvous_owner
from auburnswitch.schema.peers import (
    ClaimAction,
    ClaimVerdict,
    KeyClaimReply,
    KeyClaimRequest,
)

if TYPE_CHECKING:
    from auburnswitch.claims.claim_store import ClaimStore
    from auburnswitch.members.membership import Membership
    from auburnswitch.members.peer_server import PeerServer

FORWARD_TIMEOUT_S: Final = 1.0


class ClaimForwarder:
    """Forwards claims to peers and commits claims that peers forward.

    Attributes:
        claims: This daemon's claim store.
        membership: Provides the links to the other daemons.
    """

    __slots__ = ("claims", "membership")

    def __init__(self, *, claims: ClaimStore, membership: Membership) -> None:
        self.claims = claims
        self.membership = membership
        claims.forward = self.forward

    def register(self, server: PeerServer) -> None:
        """Registers the handler for claims forwarded by peers."""
        server.handlers[KeyClaimRequest] = self._on_request

    async def forward(
        self, shard: str, pending: PendingChange
    ) -> ClaimOutcome | None:
        """Asks the daemon that commits a shard to commit a change.

        Sets ``pending.written`` if the other daemon may have written it.

        Returns:
            The outcome; None if this daemon has to commit the change itself.
            Even then the other daemon may have committed it.
        """
        change = pending.change
        view = self.membership.view
        committer_id = rendezvous_owner(shard, view.live_ids())
        link = self.membership.links.get(committer_id)
        if (
            committer_id == view.local_member.id
            or link is None
            or link.connection is None
        ):
            return None
        action = (
            ClaimAction.ADD
            if isinstance(change, AddClaim)
            else ClaimAction.RECORD
        )
        request = KeyClaimRequest(action=action, claim=change.claim)
        pending.written = True
        try:
            reply = await link.call(request, FORWARD_TIMEOUT_S)
        except (OSError, TimeoutError, FrameError):
            return None
        match reply:
            case KeyClaimReply(verdict=ClaimVerdict.DONE):
                return ClaimAcquired(claim=change.claim)
            case KeyClaimReply(verdict=ClaimVerdict.EXISTS, earlier=earlier):
                return AlreadyClaimed(
                    claim=earlier,
                    same_request=same_request(change.claim, earlier),
                )
            case KeyClaimReply(written=written):
                pending.written = written
        return None

    async def _on_request(self, request: Any, _: str) -> KeyClaimReply:
        claim = request.claim
        change = (
            AddClaim(claim=claim)
            if request.action == ClaimAction.ADD
            else RecordOutcome(claim=claim)
        )
        pending = PendingChange(
            change=change, timeout_s=FORWARD_TIMEOUT_S, for_peer=True
        )
        match await self.claims.commit_for_peer(pending, FORWARD_TIMEOUT_S):
            case ClaimAcquired():
                return KeyClaimReply(verdict=ClaimVerdict.DONE)
            case AlreadyClaimed(claim=earlier):
                return KeyClaimReply(
                    verdict=ClaimVerdict.EXISTS, earlier=earlier
                )
        return KeyClaimReply(
            verdict=ClaimVerdict.UNAVAILABLE, written=pending.written
        )


__all__ = ["ClaimForwarder"]
