"""Maps names onto members by rendezvous hashing."""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@functools.lru_cache(maxsize=65536)
def _score(name: str, member_id: str) -> bytes:
    text = f"{name}\0{member_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def rendezvous_order(name: str, member_ids: Iterable[str]) -> list[str]:
    """Returns the members by decreasing rendezvous score for a name."""
    return sorted(
        member_ids, key=lambda member_id: _score(name, member_id), reverse=True
    )


def rendezvous_owner(name: str, member_ids: Iterable[str]) -> str:
    """Returns the member that owns a name, empty if there are no members."""
    return max(
        member_ids, key=lambda member_id: _score(name, member_id), default=""
    )


__all__ = ["rendezvous_owner", "rendezvous_order"]
