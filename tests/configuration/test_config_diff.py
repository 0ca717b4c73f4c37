"""Tests of the differences between versions of a configuration."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.configuration.config_diff import (
    apply_config_changes,
    diff_configs,
)
from auburnswitch.schema.installation import (
    CallerTeam,
    InstallationConfig,
    Route,
    Service,
)

ROUTES = st.dictionaries(
    st.sampled_from("abcdef"), st.integers(0, 3), max_size=6
)


def make_config(version, routes, keys):
    return InstallationConfig(
        version=version,
        routes=[
            Route(name=name, host="h", priority=priority)
            for name, priority in routes.items()
        ],
        services=[Service(name="s", max_connections=keys)],
        teams=[CallerTeam(name="t", caller_keys=["k"] * keys)],
    )


class ConfigChangesTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(ROUTES, ROUTES, st.integers(0, 3), st.integers(0, 3))
    def test_applied_changes_give_the_new_version(
        self, old, new, old_keys, new_keys
    ):
        before, after = (
            make_config(1, old, old_keys),
            make_config(2, new, new_keys),
        )
        updated = apply_config_changes(before, diff_configs(before, after))
        self.assertEqual(updated.version, 2)
        self.assertEqual(updated.teams, after.teams)
        self.assertEqual(updated.services, after.services)
        by_name = {route.name: route for route in after.routes}
        self.assertEqual({r.name: r for r in updated.routes}, by_name)

    def test_only_changed_routes_are_included(self):
        before = make_config(1, dict.fromkeys("abcdef", 1), 1)
        after = make_config(2, {**dict.fromkeys("abcde", 1), "b": 2}, 1)
        changes = diff_configs(before, after)
        self.assertEqual([r.name for r in changes.changed], ["b"])
        self.assertEqual(changes.removed, ["f"])
        self.assertEqual(changes.rest.routes, [])

    def test_duplicate_route_names_give_no_changes(self):
        before = make_config(1, {"a": 1}, 1)
        after = make_config(2, {"a": 1}, 1)
        after.routes.append(Route(name="a", host="other"))
        self.assertIsNone(diff_configs(before, after))


if __name__ == "__main__":
    unittest.main()
