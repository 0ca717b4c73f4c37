"""Claims on idempotency keys, kept in the platform's store."""

from __future__ import annotations

import base64
import hashlib
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Result

from auburnswitch.platform.store import (
    ABSENT,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)
from auburnswitch.schema.base import from_json, to_json
from auburnswitch.schema.objects import Claim, ClaimState

if TYPE_CHECKING:
    from auburnswitch.clock import WallClock
    from auburnswitch.platform.store import ObjectStore
    from auburnswitch.schema.settings import PlatformSettings

CLAIMS_PREFIX: Final = "claims/"
MAX_RECORDED_BYTES: Final = 4096


@dataclass(slots=True, kw_only=True)
class Claimed:
    """This daemon holds the claim and may dispatch once."""

    claim: Claim


@dataclass(slots=True, kw_only=True)
class AlreadyClaimed:
    """Another request claimed the key before.

    Attributes:
        claim: The earlier claim, with its outcome if that is recorded.
        same_request: Whether it was for the same request.
    """

    claim: Claim
    same_request: bool


@dataclass(slots=True, kw_only=True)
class ClaimUnavailable:
    """The store gave no answer, so nothing may be dispatched."""

    reason: str


ClaimOutcome = Claimed | AlreadyClaimed | ClaimUnavailable


def hash_key(team: str, service: str, key: str) -> str:
    """Returns the name under which a team's key is claimed."""
    text = "\0".join((team, service, key)).encode()
    return hashlib.sha256(text).hexdigest()[:32]


class ClaimStore:
    """Claims keys by creating their object, which only one caller can.

    Attributes:
        store: The platform's store.
        settings: How long claims are kept.
    """

    __slots__ = ("clock", "member_id", "settings", "store")

    def __init__(
        self,
        *,
        store: ObjectStore,
        settings: PlatformSettings,
        clock: WallClock,
        member_id: str,
    ) -> None:
        self.store = store
        self.settings = settings
        self.clock = clock
        self.member_id = member_id

    async def claim(self, key_hash: str, request_hash: str) -> ClaimOutcome:
        """Claims a key, or returns the earlier claim."""
        claim = Claim(
            key_hash=key_hash,
            request_hash=request_hash,
            nonce=secrets.token_hex(8),
            expires_at=self.clock.now_s() + self.settings.claim_retention_s,
            member_id=self.member_id,
        )
        put = await self.store.put(
            CLAIMS_PREFIX + key_hash, to_json(claim), expected_version=ABSENT
        )
        match put:
            case Result(tag="ok"):
                return Claimed(claim=claim)
            case Result(error=VersionConflict()):
                return await self._read_back(claim)
            case Result(error=StoreUnavailable(outcome_unknown=True)):
                return await self._read_back(claim)
            case Result(error=error):
                return ClaimUnavailable(reason=str(error))

    async def record(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> bool:
        """Records the outcome of a claimed request."""
        claim.state = ClaimState.DONE
        claim.status = status
        claim.content_type = content_type
        claim.body_dropped = len(body) > MAX_RECORDED_BYTES
        if not claim.body_dropped:
            claim.body = base64.b64encode(body).decode("ascii")
        put = await self.store.put(
            CLAIMS_PREFIX + claim.key_hash, to_json(claim)
        )
        return put.is_ok()

    async def drop(self, claim: Claim) -> None:
        """Drops the claim of a request that was certainly not dispatched."""
        await self.store.delete(CLAIMS_PREFIX + claim.key_hash)

    async def _read_back(self, claim: Claim) -> ClaimOutcome:
        match await self.store.get(CLAIMS_PREFIX + claim.key_hash):
            case Result(tag="ok", ok=StoredObject(value=value)):
                stored = from_json(Claim, value)
            case Result(tag="ok"):
                return ClaimUnavailable(reason="the claim was not stored")
            case Result(error=error):
                return ClaimUnavailable(reason=error.reason)
        if stored.nonce == claim.nonce:
            return Claimed(claim=stored)
        return AlreadyClaimed(
            claim=stored,
            same_request=stored.request_hash == claim.request_hash,
        )


__all__ = [
    "AlreadyClaimed",
    "ClaimOutcome",
    "ClaimStore",
    "ClaimUnavailable",
    "Claimed",
    "hash_key",
]
