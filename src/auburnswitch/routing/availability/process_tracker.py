"""Remembers which processes have answered whose entries name former ones."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING

from auburnswitch.routing.availability.endpoint_mark import UNKNOWN_BOOT_MS

if TYPE_CHECKING:
    from auburnswitch.schema.installation import EndpointEntry


@dataclass(slots=True, kw_only=True)
class _LaterProcess:
    """A process that has answered, and the one that its entry named then."""

    listed_boot_ms: int
    boot_ms: int


class ProcessTracker:
    """Tells which process a request is sent to, as far as is known."""

    __slots__ = ("_later",)

    def __init__(self) -> None:
        self._later: dict[str, _LaterProcess] = {}

    def record(self, entry: EndpointEntry, boot_ms: int) -> None:
        """Records the start that an endpoint's process has stated.

        Args:
            entry: The endpoint's entry as of the question, maybe identified.
            boot_ms: When the process started, in milliseconds since the epoch.
        """
        later = self._later.get(entry.id)
        listed_boot_ms = entry.boot_ms
        if later is not None and later.boot_ms == entry.boot_ms:
            listed_boot_ms = later.listed_boot_ms
        if listed_boot_ms in (boot_ms, UNKNOWN_BOOT_MS):
            self._later.pop(entry.id, None)
            return
        self._later[entry.id] = _LaterProcess(
            listed_boot_ms=listed_boot_ms, boot_ms=boot_ms
        )

    def identify(self, entry: EndpointEntry) -> EndpointEntry:
        """Returns an entry that names the latest process known.

        An entry that has been renewed since is taken at its word.
        """
        later = self._later.get(entry.id)
        if later is None or later.listed_boot_ms != entry.boot_ms:
            return entry
        identified = copy.copy(entry)
        identified.boot_ms = later.boot_ms
        return identified


__all__ = ["ProcessTracker"]
