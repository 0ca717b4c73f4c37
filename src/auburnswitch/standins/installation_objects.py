"""Builds and writes the platform objects of operators and endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from auburnswitch.standins.installation_store import InstallationStore

HOST: Final = "entry.example"
SLOTS: Final = 4
WRITTEN_KINDS: Final = ("config", "servers", "evacuations")  # by others
ENGINE: Final = {
    "Slots": SLOTS,
    "KvTokens": 50_000,
    "Stride": 10,
    "step_ms": 0.5,
    "read_per_s": 1_000_000.0,
    "pairs_per_m": 0.01,
}


def make_route(
    prefix: str, kind: str, service: str, **overrides: Any
) -> dict[str, Any]:
    """Returns a route of a configuration; `overrides` replace its fields."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 300,
        "MaxAttempts": 2,
        "Service": service,
        **overrides,
    }


def make_config(
    version: int, keys: list[str], **overrides: Any
) -> dict[str, Any]:
    """Returns a configuration with a chat, a read and a booking route.

    `overrides` replace fields of the configuration.
    """
    stream = {"GapAimMs": 250, "StreamResume": True}
    return {
        "Version": version,
        "Routes": [
            make_route("/chat/", "streaming", "engines", **stream),
            make_route("/read/", "idempotent", "desk"),
            make_route("/book/", "non_idempotent", "desk"),
        ],
        "Services": [
            {"Name": "engines", "HealthPath": "/health", "Engine": ENGINE},
            {"Name": "desk", "HealthPath": "/health"},
        ],
        "Tenants": [{"Name": "walk-ins", "ApiKeys": keys}],
        **overrides,
    }


def put_config(store: InstallationStore, config: dict[str, Any]) -> None:
    """Writes the configuration to the store."""
    store.put("config", "main", config)


def put_endpoint(
    store: InstallationStore,
    endpoint_id: str,
    service: str,
    address: str,
    **overrides: Any,
) -> None:
    """Writes an endpoint's entry; `overrides` replace its fields."""
    entry = {
        "Service": service,
        "Address": address,
        "Zone": "zone-1",
        "Slots": SLOTS,
        "State": "ready",
        "ColdRemainingMs": 0,
        **overrides,
    }
    store.put("servers", endpoint_id, entry)


def remove_endpoint(store: InstallationStore, endpoint_id: str) -> None:
    """Removes an endpoint's entry."""
    store.remove("servers", endpoint_id)


def close_zone(store: InstallationStore, zone: str) -> None:
    """Closes a zone, whose endpoints must then get no more requests."""
    store.put("evacuations", zone, {})


def open_zone(store: InstallationStore, zone: str) -> None:
    """Reopens a closed zone."""
    store.remove("evacuations", zone)


__all__ = [
    "HOST",
    "WRITTEN_KINDS",
    "close_zone",
    "make_config",
    "make_route",
    "open_zone",
    "put_config",
    "put_endpoint",
    "remove_endpoint",
]
