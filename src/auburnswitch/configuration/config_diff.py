"""Computes and applies the differences between configuration versions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.schema.gossip import ConfigChanges

if TYPE_CHECKING:
    from auburnswitch.schema.installation import InstallationConfig


def diff_configs(
    old: InstallationConfig, new: InstallationConfig
) -> ConfigChanges | None:
    """Returns the changes from one version to another.

    Returns:
        The changes; None if the names of routes are not unique.
    """
    before = {route.name: route for route in old.routes}
    after = {route.name: route for route in new.routes}
    if len(before) != len(old.routes) or len(after) != len(new.routes):
        return None
    return ConfigChanges(
        since_version=old.version,
        version=new.version,
        changed=[
            route for name, route in after.items() if before.get(name) != route
        ],
        removed=[name for name in before if name not in after],
        rest=new.replace(routes=[]),
    )


def apply_config_changes(
    old: InstallationConfig, changes: ConfigChanges
) -> InstallationConfig:
    """Returns the version that results from applying changes."""
    routes = {route.name: route for route in old.routes}
    for name in changes.removed:
        routes.pop(name, None)
    routes.update({route.name: route for route in changes.changed})
    return changes.rest.replace(routes=[*routes.values()])


__all__ = ["apply_config_changes", "diff_configs"]
