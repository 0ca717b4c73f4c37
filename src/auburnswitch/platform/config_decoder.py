"""Decodes the operators' configuration and the endpoints' entries."""

from __future__ import annotations

import ipaddress
import re
from typing import Any, Final

from auburnswitch.platform import fields
from auburnswitch.platform.fields import MAX_INT64, FieldError
from auburnswitch.platform.process_statements import MAX_BOOT_MS
from auburnswitch.schema.installation import (
    CallerTeam,
    EndpointEntry,
    EngineModel,
    IngressLimits,
    InstallationConfig,
    RequestKind,
    Route,
    Service,
    TrafficShare,
)

_KINDS: Final = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
_STATES: Final = ("ready", "draining")
_MS_PER_S: Final = 1000.0
MAX_RELEASE_LENGTH: Final = 200
MAX_PORT: Final = 65_535
_PORT: Final = re.compile("[0-9]{1,5}")


def decode_config(data: Any) -> InstallationConfig:
    """Decodes a whole configuration; unknown fields are ignored.

    Raises:
        FieldError: A field is missing or has a wrong type.
    """
    return InstallationConfig(
        version=fields.integer(data, "Version", maximum=MAX_INT64),
        routes=[_decode_route(item) for item in fields.items(data, "Routes")],
        services=[
            _decode_service(item) for item in fields.items(data, "Services")
        ],
        teams=[_decode_team(item) for item in fields.items(data, "Tenants")],
        limits=_decode_limits(fields.child(data, "Limits") or {}),
    )


def _decode_route(data: Any) -> Route:
    kind = fields.text(data, "Kind")
    if kind not in _KINDS:
        raise FieldError(f"Kind {kind!r} is unknown")
    split = [
        TrafficShare(
            service_name=fields.text(item, "Service"),
            weight=fields.number(item, "Weight"),
        )
        for item in fields.items(data, "TrafficSplit")
    ]
    if not split:
        name = fields.text(data, "Service")
        split = [TrafficShare(service_name=name, weight=1)]
    return Route(
        name=fields.text(data, "Name"),
        host=fields.text(data, "Host").lower(),
        path_prefix=fields.text(data, "PathPrefix"),
        kind=_KINDS[kind],
        timeout_s=fields.number(data, "TimeoutMs", 0) / _MS_PER_S,
        target_latency_s=fields.number(data, "TargetLatencyMs", 0) / _MS_PER_S,
        target_gap_s=fields.number(data, "GapAimMs", 0) / _MS_PER_S,
        priority=fields.integer(data, "Priority", 0),
        max_attempts=max(1, fields.integer(data, "MaxAttempts", 1)),
        anonymous=fields.flag(data, "AllowAnonymous"),
        resumable=fields.flag(data, "StreamResume"),
        shares=split,
    )


def _decode_service(data: Any) -> Service:
    engine = fields.child(data, "Engine")
    return Service(
        name=fields.text(data, "Name"),
        health_path=fields.text(data, "HealthPath"),
        max_connections=fields.integer(data, "MaxConnections", 0),
        cold_requests_per_s=fields.number(data, "ColdPerS", 0),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(data: dict[str, Any]) -> EngineModel:
    return EngineModel(
        slots=fields.integer(data, "Slots"),
        memory_tokens=fields.integer(data, "KvTokens", maximum=MAX_INT64),
        steps_per_pass=fields.integer(data, "Stride", 1),
        step_ms=fields.number(data, "step_ms"),
        step_per_request_ms=fields.number(data, "per_seq_ms", 0),
        step_per_kilotoken_ms=fields.number(data, "context_per_k", 0),
        read_tokens_per_s=fields.number(data, "read_per_s"),
        read_per_megapair_ms=fields.number(data, "pairs_per_m", 0),
        joint_step_ms=fields.number(data, "HopMs", 0),
    )


def _decode_team(data: Any) -> CallerTeam:
    keys = fields.items(data, "ApiKeys")
    return CallerTeam(
        name=fields.text(data, "Name"),
        caller_keys=[key for key in keys if fields.is_text(key)],
        priority=fields.integer(data, "Priority", -1),
    )


def _decode_limits(data: dict[str, Any]) -> IngressLimits:
    defaults = IngressLimits()
    return IngressLimits(
        max_header_bytes=fields.integer(
            data,
            "MaxHeaderBytes",
            defaults.max_header_bytes,
            maximum=MAX_INT64,
        ),
        max_body_bytes=fields.integer(
            data,
            "MaxBodyBytes",
            defaults.max_body_bytes,
            maximum=MAX_INT64,
        ),
        header_timeout_s=fields.number(
            data, "HeaderTimeoutMs", defaults.header_timeout_s * _MS_PER_S
        )
        / _MS_PER_S,
        idle_timeout_s=fields.number(
            data, "IdleTimeoutMs", defaults.idle_timeout_s * _MS_PER_S
        )
        / _MS_PER_S,
    )


def decode_endpoint(endpoint_id: str, data: Any) -> EndpointEntry:
    """Decodes an endpoint's entry.

    Raises:
        FieldError: A field is missing, or its type or value is not supported.
    """
    state = fields.text(data, "State")
    if state not in _STATES:
        raise FieldError(f"State {state!r} is unknown")
    host, port = split_address(fields.text(data, "Address"))
    return EndpointEntry(
        id=endpoint_id,
        service_name=fields.text(data, "Service"),
        host=host,
        port=port,
        zone=fields.text(data, "Zone"),
        slots=fields.integer(data, "Slots", minimum=1),
        ready=state == "ready",
        cold_s=fields.number(data, "ColdRemainingMs", 0) / _MS_PER_S,
        boot_ms=_decode_boot_ms(data),
        release=_decode_release(data),
    )


def _decode_release(data: Any) -> str:
    """Returns the versions of an endpoint's software and models as text."""
    versions = [_version_text(data.get("Version", ""))]
    models = data.get("Models")
    for model in models if isinstance(models, list) else []:
        if isinstance(model, dict):
            name = _version_text(model.get("Name"))
            versions.append(f"{name}:{_version_text(model.get('Version'))}")
    release = " ".join(versions)[:MAX_RELEASE_LENGTH]
    return release.encode(errors="replace").decode()


def _version_text(value: Any) -> str:
    """Returns a name or a version as text, empty if it is neither."""
    return str(value) if isinstance(value, str | int | float) else ""


def _decode_boot_ms(data: Any) -> int:
    return fields.integer(data, "born", 0, maximum=MAX_BOOT_MS - 1)


def split_address(address: str) -> tuple[str, int]:
    """Splits an address of the form IP:PORT.

    Raises:
        FieldError: The address has another form.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise FieldError(f"{address!r} is not of the form IP:PORT") from error
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise FieldError(f"{address!r} has no port from 1 to {MAX_PORT}")
    return host, int(port)


__all__ = ["decode_config", "decode_endpoint", "split_address"]
