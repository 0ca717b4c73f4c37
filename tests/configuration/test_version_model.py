"""Searches all orders in which news of the store can reach two daemons.

The states are those of the real code. The store goes through a few revisions;
each daemon reads whole states, stale ones included, or what has changed between
any two, hears the same from the other daemon, late and more than once, and may
start again. At every state, what a daemon has must be exactly what the store
held at the version that the daemon believes to have.
"""

from __future__ import annotations

import unittest
from typing import NamedTuple
from unittest import mock

from auburnswitch.configuration import installation as module
from auburnswitch.configuration.config_diff import diff_configs
from auburnswitch.configuration.installation import Installation
from auburnswitch.schema.gossip import EndpointChanges
from auburnswitch.schema.installation import (
    EndpointEntry,
    EndpointList,
    InstallationConfig,
    Route,
)
from tests.model_search import InvariantViolationError, explore_states
from tests.virtual_time import run_virtual

CONFIGS = ((), ("a", "b"), ("b",), ("a", "b", "c"), ("c",))
ENTRIES = ({}, {"x": 1}, {"x": 2, "y": 1}, {"y": 1}, {"x": 3, "y": 2})
NEWEST = len(CONFIGS) - 1
SOURCE = "a test"


class Daemons(NamedTuple):
    """What two daemons believe, and what they held last in this start."""

    versions: tuple[int, int] = (0, 0)
    contents: tuple[tuple, tuple] = ((), ())
    before: tuple[int, int] = (0, 0)
    starts: int = 0


def config(version: int) -> InstallationConfig:
    routes = [Route(name=name, host="h") for name in CONFIGS[version]]
    return InstallationConfig(version=version, routes=routes)


def entry_list(revision: int, entries: dict[str, int]) -> EndpointList:
    return EndpointList(
        revision=revision,
        endpoints=[
            EndpointEntry(id=name, slots=slots, ready=True)
            for name, slots in entries.items()
        ],
    )


class ConfigModel:
    """Configurations; all of one, or what has changed since another."""

    first = ()

    def restore(self, known: Installation, version: int, content) -> None:
        if version:
            routes = [Route(name=name, host="h") for name in content]
            restored = InstallationConfig(version=version, routes=routes)
            known.adopt_config(restored, SOURCE)

    def messages(self):
        for version in range(1, NEWEST + 1):
            yield lambda known, v=version: known.adopt_config(config(v), SOURCE)
            for since in range(1, version):
                changes = diff_configs(config(since), config(version))
                yield lambda known, c=changes: known.adopt_config_changes(
                    c, SOURCE
                )

    def read(self, known: Installation):
        if known.table is None:
            return 0, ()
        names = [route.name for route in known.table.config.routes]
        return known.config_version, tuple(sorted(names))

    def truth(self, version: int):
        return tuple(sorted(CONFIGS[version]))


class EndpointModel:
    """Endpoints; all of them, or what has changed since a revision."""

    first = ()

    def restore(self, known: Installation, version: int, content) -> None:
        if version:
            known.adopt_endpoints(entry_list(version, dict(content)), SOURCE)

    def messages(self):
        for version in range(1, NEWEST + 1):
            listed = entry_list(version, ENTRIES[version])
            yield lambda known, e=listed: known.adopt_endpoints(e, SOURCE)
            for since in range(1, version):
                changes = self._changes(since, version)
                yield lambda known, c=changes: known.adopt_endpoint_changes(
                    c, SOURCE
                )

    def _changes(self, since: int, version: int) -> EndpointChanges:
        """Returns all entries that were touched in between."""
        touched: set[str] = set()
        for step in range(since + 1, version + 1):
            before, after = ENTRIES[step - 1], ENTRIES[step]
            touched |= {
                name
                for name in before | after
                if before.get(name) != after.get(name)
            }
        now = ENTRIES[version]
        present = {name: now[name] for name in touched if name in now}
        return EndpointChanges(
            since_revision=since,
            revision=version,
            changed=entry_list(version, present).endpoints,
            removed=sorted(touched - now.keys()),
        )

    def read(self, known: Installation):
        entries = {e.id: e.slots for e in known.list_endpoints().endpoints}
        return known.endpoints_revision, tuple(sorted(entries.items()))

    def truth(self, version: int):
        return tuple(sorted(ENTRIES[version].items()))


def explore(model: ConfigModel | EndpointModel) -> int:
    """Searches all states of two daemons; returns their number."""
    messages = list(model.messages())

    def step(state: Daemons, number: int, message) -> Daemons:
        known = Installation()
        version, content = state.versions[number], state.contents[number]
        model.restore(known, version, content)
        message(known)
        return changed(state, number, model.read(known), state.versions[number])

    def changed(state: Daemons, number: int, read, before: int) -> Daemons:
        versions, contents = [*state.versions], [*state.contents]
        befores = [*state.before]
        versions[number], contents[number] = read
        befores[number] = before
        return state._replace(
            versions=tuple(versions),
            contents=tuple(contents),
            before=tuple(befores),
        )

    def next_states(state: Daemons):
        for number in (0, 1):
            for message in messages:
                yield step(state, number, message)
            other = 1 - number
            told = state.versions[other], state.contents[other]
            yield step(state, number, lambda k, t=told: model.restore(k, *t))
            if state.starts < 2:
                blank = changed(state, number, (0, model.first), 0)
                yield blank._replace(starts=state.starts + 1)

    def check(state: Daemons) -> None:
        for number in (0, 1):
            version = state.versions[number]
            if version < state.before[number]:
                raise InvariantViolationError("a daemon went back")
            if version and state.contents[number] != model.truth(version):
                raise InvariantViolationError("a daemon has what never was")

    async def run() -> int:
        with mock.patch.object(module, "log_event"):
            return explore_states(Daemons(), next_states, check)

    return run_virtual(run)


class VersionModelTest(unittest.TestCase):
    def test_configuration(self):
        self.assertGreater(explore(ConfigModel()), 100)

    def test_endpoints(self):
        self.assertGreater(explore(EndpointModel()), 100)

    def refuted(self, model, name, broken):
        with (
            mock.patch.object(Installation, name, broken),
            self.assertRaises(InvariantViolationError),
        ):
            explore(model)

    def test_any_version_is_adopted(self):
        def adopt(self, config, source):
            self.table = module.RouteTable(config=config)
            return True

        self.refuted(ConfigModel(), "adopt_config", adopt)

    def test_changes_of_any_version_are_applied(self):
        def change(self, changes, source):
            if self.table is None or changes.version <= self.config_version:
                return False
            made = module.apply_config_changes(self.table.config, changes)
            return self.adopt_config(made, source)

        self.refuted(ConfigModel(), "adopt_config_changes", change)

    def test_changes_of_endpoints_over_a_gap_are_applied(self):
        whole = Installation.adopt_endpoint_changes

        def change(self, changes, source):
            if self.endpoints_revision:
                known = self.endpoints_revision
                changes.since_revision = min(changes.since_revision, known)
            return whole(self, changes, source)

        self.refuted(EndpointModel(), "adopt_endpoint_changes", change)


if __name__ == "__main__":
    unittest.main()
