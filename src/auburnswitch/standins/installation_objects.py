"""What operators and endpoints of the platform write into its store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from auburnswitch.standins.installation_store import InstallationStore

HOST: Final = "entry.example"
SLOTS: Final = 4
ENGINE: Final = {
    "Slots": SLOTS,
    "KvTokens": 50_000,
    "Stride": 10,
    "step_ms": 0.5,
    "read_per_s": 1_000_000.0,
    "pairs_per_m": 0.01,
}


def make_route(
    prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    """Returns a route of a configuration; further fields go before."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 300,
        "MaxAttempts": 2,
        "Service": service,
        **more,
    }


def make_config(version: int, keys: list[str], **more: Any) -> dict[str, Any]:
    """Returns a configuration with a chat, a read and a booking route."""
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
        **more,
    }


def put_config(store: InstallationStore, config: dict[str, Any]) -> None:
    """Writes a configuration."""
    store.put("config", "main", config)


def put_endpoint(
    store: InstallationStore,
    endpoint_id: str,
    service: str,
    address: str,
    **more: Any,
) -> None:
    """Writes an endpoint's entry; further fields go before."""
    entry = {
        "Service": service,
        "Address": address,
        "Zone": "zone-1",
        "Slots": SLOTS,
        "State": "ready",
        "ColdRemainingMs": 0,
        **more,
    }
    store.put("servers", endpoint_id, entry)


def remove_endpoint(store: InstallationStore, endpoint_id: str) -> None:
    """Removes an endpoint's entry."""
    store.remove("servers", endpoint_id)


def close_zone(store: InstallationStore, zone: str) -> None:
    """Asks that a zone's endpoints get nothing more."""
    store.put("evacuations", zone, {})


def open_zone(store: InstallationStore, zone: str) -> None:
    """Gives a zone's endpoints back."""
    store.remove("evacuations", zone)


__all__ = [
    "HOST",
    "close_zone",
    "make_config",
    "make_route",
    "open_zone",
    "put_config",
    "put_endpoint",
    "remove_endpoint",
]
