"""Maps many names onto members by consistent hashing."""

from __future__ import annotations

import bisect
import functools
import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

VIRTUAL_NODES_PER_MEMBER: Final = 16
_POINT_BYTES: Final = 8


@functools.lru_cache(maxsize=65536)
def _point(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_POINT_BYTES).digest()
    return int.from_bytes(digest, "big")


class HashRing:
    """Finds the owner of a name in time logarithmic in the members.

    Attributes:
        members: Names of the members.
    """

    __slots__ = ("_owners", "_points", "members")

    def __init__(self, *, members: Iterable[str]) -> None:
        self.members = frozenset(members)
        virtual_nodes = sorted(
            (_point(f"{member}\0{number}"), member)
            for member in self.members
            for number in range(VIRTUAL_NODES_PER_MEMBER)
        )
        self._points = [point for point, _ in virtual_nodes]
        self._owners = [member for _, member in virtual_nodes]

    def owner(self, name: str) -> str:
        """Returns the member that owns a name, empty without members."""
        if not self._points:
            return ""
        index = bisect.bisect(self._points, _point(name))
        return self._owners[index % len(self._owners)]


__all__ = ["HashRing"]
