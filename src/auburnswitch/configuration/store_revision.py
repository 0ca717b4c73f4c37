"""Orders the revisions of a store that may come back from an older copy."""

from __future__ import annotations

from typing import Final, NamedTuple


class StoreRevision(NamedTuple):
    """A revision of the store, compared by generation first.

    A store that comes back from an older copy begins a new generation, in which
    it gives revisions out again.

    Attributes:
        generation: Generation of the store; 0 if unknown.
        revision: Revision within the generation; 0 before the first.
    """

    generation: int = 0
    revision: int = 0

    def is_restored_from(self, older: StoreRevision) -> bool:
        """Returns whether the store came back from a copy after another."""
        return 0 < older.generation < self.generation


NO_REVISION: Final = StoreRevision()

__all__ = ["NO_REVISION", "StoreRevision"]
