"""Explores all orders in which store updates can reach two daemons.

The states are those of the real code. The store goes through a few revisions,
and comes back from an older copy, after which it gives two of them out again;
each daemon reads whole states, stale ones included, or the changes between any
two revisions, receives the same from the other daemon, late and repeatedly, and
may restart. In every state, a daemon's content must equal the content that the
store had at the version that the daemon has recorded.
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
ENTRIES = (
    {},
    {"x": 1},
    {"x": 2, "y": 1},
    {"y": 1},
    {"x": 3, "y": 2},
    {"x": 9, "z": 1},  # after the copy of the second one
    {"z": 2},
)
# Generation and revision of each of these states.
REVISIONS = ((0, 0), (1, 1), (1, 2), (1, 3), (1, 4), (2, 3), (2, 4))
SOURCE = "a test"


class Daemons(NamedTuple):
    """Versions and contents of two daemons, and their previous versions."""

    versions: tuple[int, int] = (0, 0)
    contents: tuple[tuple, tuple] = ((), ())
    previous_versions: tuple[int, int] = (0, 0)
    restarts: int = 0


def make_config(version: int) -> InstallationConfig:
    routes = [Route(name=name, host="h") for name in CONFIGS[version]]
    return InstallationConfig(version=version, routes=routes)


def make_entry_list(version: int, entries: dict[str, int]) -> EndpointList:
    generation, revision = REVISIONS[version]
    return EndpointList(
        revision=revision,
        generation=generation,
        endpoints=[
            EndpointEntry(id=name, slots=slots, ready=True)
            for name, slots in entries.items()
        ],
    )


class ConfigModel:
    """Configurations: whole versions, or the changes between versions."""

    initial = ()

    def restore(
        self, installation: Installation, version: int, content
    ) -> None:
        if version:
            routes = [Route(name=name, host="h") for name in content]
            restored = InstallationConfig(version=version, routes=routes)
            installation.adopt_config(restored, SOURCE)

    def messages(self):
        for version in range(1, len(CONFIGS)):
            yield lambda installation, v=version: installation.adopt_config(
                make_config(v), SOURCE
            )
            for since in range(1, version):
                changes = diff_configs(make_config(since), make_config(version))
                yield (
                    lambda installation, c=changes: (
                        installation.adopt_config_changes(c, SOURCE)
                    )
                )

    def read(self, installation: Installation):
        if installation.table is None:
            return 0, ()
        names = [route.name for route in installation.table.config.routes]
        return installation.config_version, tuple(sorted(names))

    def expected_content(self, version: int):
        return tuple(sorted(CONFIGS[version]))


class EndpointModel:
    """Endpoints: whole lists, or the changes between revisions."""

    initial = ()

    def restore(
        self, installation: Installation, version: int, content
    ) -> None:
        if version:
            installation.adopt_endpoints(
                make_entry_list(version, dict(content)), SOURCE
            )

    def messages(self):
        for version in range(1, len(ENTRIES)):
            listed = make_entry_list(version, ENTRIES[version])
            yield lambda installation, e=listed: installation.adopt_endpoints(
                e, SOURCE
            )
            for since in range(1, version):
                if REVISIONS[since][0] != REVISIONS[version][0]:
                    continue
                changes = self._changes(since, version)
                yield (
                    lambda installation, c=changes: (
                        installation.adopt_endpoint_changes(c, SOURCE)
                    )
                )

    def _changes(self, since: int, version: int) -> EndpointChanges:
        """Returns all entries that changed after one revision up to another."""
        changed_names: set[str] = set()
        for step in range(since + 1, version + 1):
            before, after = ENTRIES[step - 1], ENTRIES[step]
            changed_names |= {
                name
                for name in before | after
                if before.get(name) != after.get(name)
            }
        now = ENTRIES[version]
        present = {name: now[name] for name in changed_names if name in now}
        return EndpointChanges(
            since_revision=REVISIONS[since][1],
            revision=REVISIONS[version][1],
            generation=REVISIONS[version][0],
            changed=make_entry_list(version, present).endpoints,
            removed=sorted(changed_names - now.keys()),
        )

    def read(self, installation: Installation):
        entries = {
            e.id: e.slots for e in installation.list_endpoints().endpoints
        }
        newest = installation.endpoints_revision
        version = REVISIONS.index((newest.generation, newest.revision))
        return version, tuple(sorted(entries.items()))

    def expected_content(self, version: int):
        return tuple(sorted(ENTRIES[version].items()))


def explore(model: ConfigModel | EndpointModel) -> int:
    """Explores all states of two daemons; returns their number."""
    messages = list(model.messages())

    def step(state: Daemons, number: int, message) -> Daemons:
        installation = Installation()
        version, content = state.versions[number], state.contents[number]
        model.restore(installation, version, content)
        message(installation)
        return replace_daemon(
            state, number, model.read(installation), state.versions[number]
        )

    def replace_daemon(
        state: Daemons, number: int, read, before: int
    ) -> Daemons:
        versions, contents = [*state.versions], [*state.contents]
        previous_versions = [*state.previous_versions]
        versions[number], contents[number] = read
        previous_versions[number] = before
        return state._replace(
            versions=tuple(versions),
            contents=tuple(contents),
            previous_versions=tuple(previous_versions),
        )

    def next_states(state: Daemons):
        for number in (0, 1):
            for message in messages:
                yield step(state, number, message)
            other = 1 - number
            peer_state = state.versions[other], state.contents[other]
            yield step(
                state,
                number,
                lambda i, peer=peer_state: model.restore(i, *peer),
            )
            if state.restarts < 2:
                restarted = replace_daemon(state, number, (0, model.initial), 0)
                yield restarted._replace(restarts=state.restarts + 1)

    def check(state: Daemons) -> None:
        for number in (0, 1):
            version = state.versions[number]
            if version < state.previous_versions[number]:
                raise InvariantViolationError(
                    "a daemon went back to an older version"
                )
            if version and state.contents[number] != model.expected_content(
                version
            ):
                raise InvariantViolationError(
                    "a daemon's content differs from the store's"
                )

    async def run() -> int:
        with mock.patch.object(module, "log_event"):
            return explore_states(Daemons(), next_states, check)

    return run_virtual(run)


class VersionModelTest(unittest.TestCase):
    def test_configuration(self):
        self.assertGreater(explore(ConfigModel()), 100)

    def test_endpoints(self):
        self.assertGreater(explore(EndpointModel()), 100)

    def assert_violation_found(self, model, name, faulty):
        with (
            mock.patch.object(Installation, name, faulty),
            self.assertRaises(InvariantViolationError),
        ):
            explore(model)

    def test_adopting_any_version_is_detected(self):
        def adopt(self, config, source):
            self.table = module.RouteTable(config=config)
            return True

        self.assert_violation_found(ConfigModel(), "adopt_config", adopt)

    def test_applying_changes_of_any_version_is_detected(self):
        def change(self, changes, source):
            if self.table is None or changes.version <= self.config_version:
                return False
            updated = module.apply_config_changes(self.table.config, changes)
            return self.adopt_config(updated, source)

        self.assert_violation_found(
            ConfigModel(), "adopt_config_changes", change
        )

    def test_applying_endpoint_changes_over_a_gap_is_detected(self):
        original = Installation.adopt_endpoint_changes

        def change(self, changes, source):
            current = self.endpoints_revision
            if current.revision:
                changes.since_revision = min(
                    changes.since_revision, current.revision
                )
            return original(self, changes, source)

        self.assert_violation_found(
            EndpointModel(), "adopt_endpoint_changes", change
        )

    # EVAC: after the store had come back from a copy, lists of lower revisions
    # were dropped, or changes were applied to a state of before.
    def test_comparing_bare_revisions_is_detected(self):
        original = Installation.adopt_endpoint_changes

        def change(self, changes, source):
            changes.generation = self.endpoints_revision.generation
            return original(self, changes, source)

        self.assert_violation_found(
            EndpointModel(), "adopt_endpoint_changes", change
        )


if __name__ == "__main__":
    unittest.main()
