"""Applies changes to the contents of one claim shard."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from auburnswitch.schema.base import SchemaError, from_json, to_json
from auburnswitch.schema.objects import Claim, ClaimState

MAX_CLOCK_SKEW_S: Final = 5.0
_DEFAULTS: Final = to_json(Claim())
_FINAL_STATES: Final = frozenset(
    state.name.lower() for state in (ClaimState.DONE, ClaimState.UNKNOWN)
)


@dataclass(slots=True, kw_only=True)
class AddClaim:
    """Claims a key unless a claim of it is stored."""

    claim: Claim


@dataclass(slots=True, kw_only=True)
class RecordOutcome:
    """Records the outcome of a claim; ignored unless the nonces match."""

    claim: Claim


@dataclass(slots=True, kw_only=True)
class DropClaim:
    """Removes the claim of a request that was certainly not sent."""

    claim: Claim


ShardChange = AddClaim | RecordOutcome | DropClaim


@dataclass(slots=True, kw_only=True)
class ClaimAcquired:
    """This daemon holds the claim and may dispatch the request once."""

    claim: Claim


@dataclass(slots=True, kw_only=True)
class AlreadyClaimed:
    """Another request claimed the key earlier.

    Attributes:
        claim: The earlier claim, with its outcome if one is recorded.
        same_request: Whether the earlier claim is for the same request.
    """

    claim: Claim
    same_request: bool


@dataclass(slots=True, kw_only=True)
class ClaimUnavailable:
    """The claim was not confirmed, so the request must not be dispatched."""

    reason: str


ClaimOutcome = ClaimAcquired | AlreadyClaimed | ClaimUnavailable


class ShardContents:
    """Contents of a shard, with the claims in their stored form.

    Attributes:
        claims: Stored form of each claim, by key hash.
        split_into: Key suffix of the two shards that replaced this one, empty
            if it is not split.
        version: Version of the stored object.
        fresh: Whether the contents were read during the current commit.
        dirty: Whether the contents have to be written to the store.
    """

    __slots__ = ("claims", "dirty", "fresh", "split_into", "version")

    def __init__(
        self, *, value: Any = None, version: int = 0, fresh: bool = False
    ) -> None:
        value = value or {}
        self.claims: dict[str, dict[str, Any]] = {
            item["key_hash"]: item for item in value.get("claims", [])
        }
        self.split_into: str = value.get("split_into", "")
        self.version = version
        self.fresh = fresh
        self.dirty = False

    def copy(self) -> ShardContents:
        """Returns a copy that can be changed independently."""
        copied = ShardContents(version=self.version, fresh=self.fresh)
        copied.claims = dict(self.claims)
        copied.split_into = self.split_into
        return copied

    def apply(self, change: ShardChange) -> ClaimOutcome:
        """Applies a change; its outcome is valid once the shard is stored."""
        claim = change.claim
        stored = self.claims.get(claim.key_hash)
        is_own_claim = stored is not None and stored["nonce"] == claim.nonce
        match change:
            case AddClaim() if stored is not None:
                return _outcome_of_stored(claim, stored)
            case DropClaim():
                self.dirty = True  # a new version makes writes in flight fail
                if is_own_claim and stored.get("state") not in _FINAL_STATES:
                    del self.claims[claim.key_hash]
            case RecordOutcome() if not is_own_claim:
                pass
            case _:
                self.dirty = True
                self.claims[claim.key_hash] = encode_claim(claim)
        return ClaimAcquired(claim=claim)

    def prune(self, now_s: float) -> None:
        """Removes expired claims."""
        cutoff_s = now_s - MAX_CLOCK_SKEW_S
        self.claims = {
            key: stored
            for key, stored in self.claims.items()
            if stored.get("expires_at", 0.0) >= cutoff_s
        }

    def to_json(self) -> dict[str, Any]:
        """Returns the value to store."""
        if self.split_into:
            return {"split_into": self.split_into}
        return {"claims": list(self.claims.values())}

    def split_half(self, depth: int, bit: int) -> ShardContents:
        """Returns the claims that move to one of the two shards of a split."""
        contents = ShardContents()
        contents.claims = {
            key: stored
            for key, stored in self.claims.items()
            if split_bit(key, depth) == bit
        }
        return contents


def encode_claim(claim: Claim) -> dict[str, Any]:
    """Returns a claim's stored form, without fields that have defaults."""
    return {
        name: value
        for name, value in to_json(claim).items()
        if value != _DEFAULTS[name]
    }


def is_final(outcome: ClaimOutcome) -> bool:
    """Returns whether an outcome can no longer change."""
    match outcome:
        case AlreadyClaimed(claim=claim):
            return claim.state != ClaimState.CLAIMED
    return False


def root_shard(key_hash: str, shard_count: int) -> int:
    """Returns the number of a key's root shard."""
    return int(key_hash[:8], 16) % shard_count


def split_bit(key_hash: str, depth: int) -> int:
    """Returns which of the two shards of a split a key belongs to."""
    return int(key_hash[8:], 16) >> depth & 1


def _outcome_of_stored(claim: Claim, stored: dict[str, Any]) -> ClaimOutcome:
    try:
        earlier = from_json(Claim, stored)
    except SchemaError as error:
        return ClaimUnavailable(
            reason=f"a stored claim cannot be decoded: {error}"
        )
    if earlier.nonce == claim.nonce:
        return ClaimAcquired(claim=claim)  # an earlier write was applied
    return AlreadyClaimed(
        claim=earlier, same_request=same_request(claim, earlier)
    )


def same_request(claim: Claim, earlier: Claim) -> bool:
    """Returns whether two claims are for the same request."""
    return claim.request_hash == earlier.request_hash


def claim_with_outcome(claim: Claim, **outcome: Any) -> Claim:
    """Returns a copy of a claim with its outcome."""
    return claim.replace(**outcome)


__all__ = [
    "MAX_CLOCK_SKEW_S",
    "AddClaim",
    "AlreadyClaimed",
    "ClaimOutcome",
    "ClaimUnavailable",
    "ClaimAcquired",
    "DropClaim",
    "RecordOutcome",
    "ShardChange",
    "ShardContents",
    "encode_claim",
    "claim_with_outcome",
    "root_shard",
    "is_final",
    "same_request",
    "split_bit",
]
