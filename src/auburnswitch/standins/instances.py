"""The platform's lagging list of instances."""

from __future__ import annotations

import enum
from typing import Any, Final

from auburnswitch.standins.lagged_value import LaggedValue

DEFAULT_INSTANCES_LAG_S: Final = 2.0


class InstanceState(enum.StrEnum):
    """What the platform says about an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance:
    """An entry of the list."""

    __slots__ = ("name", "state", "zone")

    def __init__(self, *, name: str, zone: str, state: InstanceState) -> None:
        self.name = name
        self.zone = zone
        self.state = state

    def to_json(self) -> dict[str, Any]:
        """Returns the entry as the API shows it."""
        return {"name": self.name, "zone": self.zone, "state": self.state}


class InstanceList:
    """Instances by name, read as they were a lag ago."""

    __slots__ = ("_entries", "_past")

    def __init__(self, *, lag_s: float = DEFAULT_INSTANCES_LAG_S) -> None:
        self._entries: dict[str, Instance] = {}
        self._past: LaggedValue[list[Instance]] = LaggedValue(lag_s=lag_s)
        self._past.record([])

    def set(
        self, name: str, zone: str, state: InstanceState = InstanceState.LIVE
    ) -> None:
        """Adds or changes an entry."""
        self._entries[name] = Instance(name=name, zone=zone, state=state)
        self._past.record(list(self._entries.values()))

    def remove(self, name: str) -> None:
        """Removes an entry."""
        self._entries.pop(name, None)
        self._past.record(list(self._entries.values()))

    def read(self) -> list[Instance]:
        """Returns the entries of a lag ago."""
        return self._past.read()


__all__ = ["Instance", "InstanceList", "InstanceState"]
