"""Simulates the platform's list of instances, which is read with a lag."""

from __future__ import annotations

import enum
from typing import Any, Final

from auburnswitch.standins.lagged_value import LaggedValue

DEFAULT_INSTANCES_LAG_S: Final = 2.0


class InstanceState(enum.StrEnum):
    """State of an instance as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance:
    """An entry of the instance list."""

    __slots__ = ("name", "state", "zone")

    def __init__(self, *, name: str, zone: str, state: InstanceState) -> None:
        self.name = name
        self.zone = zone
        self.state = state

    def to_json(self) -> dict[str, Any]:
        """Returns the entry in the API's JSON form."""
        return {"name": self.name, "zone": self.zone, "state": self.state}


class InstanceList:
    """Instances by name; readers get the list as it was `lag_s` ago."""

    __slots__ = ("_entries", "_lagged_entries")

    def __init__(self, *, lag_s: float = DEFAULT_INSTANCES_LAG_S) -> None:
        self._entries: dict[str, Instance] = {}
        self._lagged_entries: LaggedValue[list[Instance]] = LaggedValue(
            lag_s=lag_s
        )
        self._lagged_entries.record([])

    def set(
        self, name: str, zone: str, state: InstanceState = InstanceState.LIVE
    ) -> None:
        """Adds or replaces an entry."""
        self._entries[name] = Instance(name=name, zone=zone, state=state)
        self._lagged_entries.record(list(self._entries.values()))

    def remove(self, name: str) -> None:
        """Removes an entry if it exists."""
        self._entries.pop(name, None)
        self._lagged_entries.record(list(self._entries.values()))

    def read(self) -> list[Instance]:
        """Returns the entries as they were `lag_s` ago."""
        return self._lagged_entries.read()


__all__ = ["Instance", "InstanceList", "InstanceState"]
