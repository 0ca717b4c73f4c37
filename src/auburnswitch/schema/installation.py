"""Configuration of an installation, and its endpoints.

Generated from schema/installation.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct


class TrafficShare(Struct):
    """Share of one service in a route's traffic split."""

    __slots__ = (
        "service_name",
        "weight",
    )

    service_name: str
    weight: float

    def __init__(self, *, service_name: str = "", weight: float = 0.0) -> None:
        self.service_name = service_name
        self.weight = weight

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "service_name", False),
        2: (TType.DOUBLE, "weight", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("service_name", None),
        ("weight", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "service_name": Description(text="", options={}),
        "weight": Description(
            text="Share of the route's requests relative to the other entries.",
            options={},
        ),
    }


class RequestKind(enum.IntEnum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = 1
    NON_IDEMPOTENT = 2
    STREAM = 3


REQUESTKIND_INFO: Final = {
    RequestKind.IDEMPOTENT: Description(
        text="May run more than once.", options={}
    ),
    RequestKind.NON_IDEMPOTENT: Description(
        text="May run at most once for each attempt of the caller.", options={}
    ),
    RequestKind.STREAM: Description(
        text="Answers with a stream of numbered events.", options={}
    ),
}


class Route(Struct):
    """Route for the requests of one host below one path prefix."""

    __slots__ = (
        "anonymous",
        "host",
        "kind",
        "max_attempts",
        "name",
        "path_prefix",
        "priority",
        "resumable",
        "shares",
        "target_gap_s",
        "target_latency_s",
        "timeout_s",
    )

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    max_attempts: int
    anonymous: bool
    resumable: bool
    shares: list[TrafficShare]

    def __init__(
        self,
        *,
        name: str = "",
        host: str = "",
        path_prefix: str = "",
        kind: RequestKind = RequestKind.NON_IDEMPOTENT,
        timeout_s: float = 0.0,
        target_latency_s: float = 0.0,
        target_gap_s: float = 0.0,
        priority: int = 0,
        max_attempts: int = 1,
        anonymous: bool = False,
        resumable: bool = False,
        shares: list[TrafficShare] | None = None,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.timeout_s = timeout_s
        self.target_latency_s = target_latency_s
        self.target_gap_s = target_gap_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.anonymous = anonymous
        self.resumable = resumable
        self.shares = [] if shares is None else shares

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "name", False),
        2: (TType.STRING, "host", False),
        3: (TType.STRING, "path_prefix", False),
        4: (TType.I32, "kind", False),
        5: (TType.DOUBLE, "timeout_s", False),
        6: (TType.DOUBLE, "target_latency_s", False),
        7: (TType.DOUBLE, "target_gap_s", False),
        8: (TType.I32, "priority", False),
        9: (TType.I32, "max_attempts", False),
        10: (TType.BOOL, "anonymous", False),
        11: (TType.BOOL, "resumable", False),
        12: (TType.LIST, "shares", (TType.STRUCT, TrafficShare), False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("name", None),
        ("host", None),
        ("path_prefix", None),
        ("kind", None),
        ("timeout_s", None),
        ("target_latency_s", None),
        ("target_gap_s", None),
        ("priority", None),
        ("max_attempts", None),
        ("anonymous", None),
        ("resumable", None),
        ("shares", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {"kind": RequestKind}
    descriptions: ClassVar[dict[str, Description]] = {
        "name": Description(text="", options={}),
        "host": Description(text="", options={}),
        "path_prefix": Description(
            text="Path prefix; begins and ends with a slash.", options={}
        ),
        "kind": Description(text="", options={}),
        "timeout_s": Description(
            text="Longest time that a request may wait.",
            options={"unit": "seconds"},
        ),
        "target_latency_s": Description(
            text="Target latency; answers within it have the highest value.",
            options={"unit": "seconds"},
        ),
        "target_gap_s": Description(
            text="Longest interval between two events that meets the latency target.",
            options={"unit": "seconds"},
        ),
        "priority": Description(
            text="Priority of the route; 0 is the most urgent.", options={}
        ),
        "max_attempts": Description(
            text="Maximum number of endpoints that one attempt of the caller may be sent to.",
            options={},
        ),
        "anonymous": Description(
            text="Requests need no caller key.", options={}
        ),
        "resumable": Description(
            text="A stream may be resumed at another endpoint after its last delivered event.",
            options={},
        ),
        "shares": Description(text="", options={}),
    }


class EngineModel(Struct):
    """Performance model of the engines of a service."""

    __slots__ = (
        "joint_step_ms",
        "memory_tokens",
        "read_per_megapair_ms",
        "read_tokens_per_s",
        "slots",
        "step_ms",
        "step_per_kilotoken_ms",
        "step_per_request_ms",
        "steps_per_pass",
    )

    slots: int
    memory_tokens: int
    steps_per_pass: int
    step_ms: float
    step_per_request_ms: float
    step_per_kilotoken_ms: float
    read_tokens_per_s: float
    read_per_megapair_ms: float
    joint_step_ms: float

    def __init__(
        self,
        *,
        slots: int = 0,
        memory_tokens: int = 0,
        steps_per_pass: int = 1,
        step_ms: float = 0.0,
        step_per_request_ms: float = 0.0,
        step_per_kilotoken_ms: float = 0.0,
        read_tokens_per_s: float = 0.0,
        read_per_megapair_ms: float = 0.0,
        joint_step_ms: float = 0.0,
    ) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.steps_per_pass = steps_per_pass
        self.step_ms = step_ms
        self.step_per_request_ms = step_per_request_ms
        self.step_per_kilotoken_ms = step_per_kilotoken_ms
        self.read_tokens_per_s = read_tokens_per_s
        self.read_per_megapair_ms = read_per_megapair_ms
        self.joint_step_ms = joint_step_ms

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I32, "slots", False),
        2: (TType.I64, "memory_tokens", False),
        3: (TType.I32, "steps_per_pass", False),
        4: (TType.DOUBLE, "step_ms", False),
        5: (TType.DOUBLE, "step_per_request_ms", False),
        6: (TType.DOUBLE, "step_per_kilotoken_ms", False),
        7: (TType.DOUBLE, "read_tokens_per_s", False),
        8: (TType.DOUBLE, "read_per_megapair_ms", False),
        9: (TType.DOUBLE, "joint_step_ms", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("slots", None),
        ("memory_tokens", None),
        ("steps_per_pass", None),
        ("step_ms", None),
        ("step_per_request_ms", None),
        ("step_per_kilotoken_ms", None),
        ("read_tokens_per_s", None),
        ("read_per_megapair_ms", None),
        ("joint_step_ms", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "slots": Description(
            text="Requests that one engine decodes concurrently.", options={}
        ),
        "memory_tokens": Description(
            text="Memory of one engine.", options={"unit": "tokens"}
        ),
        "steps_per_pass": Description(
            text="Decode steps between two events of a stream.", options={}
        ),
        "step_ms": Description(
            text="Base time of one decode step, without any request.",
            options={"unit": "milliseconds"},
        ),
        "step_per_request_ms": Description(
            text="Time that each decoding request adds to a step.",
            options={"unit": "milliseconds"},
        ),
        "step_per_kilotoken_ms": Description(
            text="Time that 1,000 tokens of context add to a step.",
            options={"unit": "milliseconds"},
        ),
        "read_tokens_per_s": Description(
            text="Prompt tokens prefilled per second.", options={}
        ),
        "read_per_megapair_ms": Description(
            text="Prefill time of a million pairs of a token and an earlier token.",
            options={"unit": "milliseconds"},
        ),
        "joint_step_ms": Description(
            text="Time that a joint prefill with other engines adds to each step.",
            options={"unit": "milliseconds"},
        ),
    }


class Service(Struct):
    """A pool of interchangeable endpoints."""

    __slots__ = (
        "cold_requests_per_s",
        "engine",
        "health_path",
        "max_connections",
        "name",
    )

    name: str
    health_path: str
    max_connections: int
    cold_requests_per_s: float
    engine: EngineModel | None

    def __init__(
        self,
        *,
        name: str = "",
        health_path: str = "",
        max_connections: int = 0,
        cold_requests_per_s: float = 0.0,
        engine: EngineModel | None = None,
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.cold_requests_per_s = cold_requests_per_s
        self.engine = engine

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "name", False),
        2: (TType.STRING, "health_path", False),
        3: (TType.I32, "max_connections", False),
        4: (TType.DOUBLE, "cold_requests_per_s", False),
        5: (TType.STRUCT, "engine", EngineModel, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("name", None),
        ("health_path", None),
        ("max_connections", None),
        ("cold_requests_per_s", None),
        ("engine", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "name": Description(text="", options={}),
        "health_path": Description(text="", options={}),
        "max_connections": Description(
            text="Connections that one endpoint accepts from all daemons together.",
            options={},
        ),
        "cold_requests_per_s": Description(
            text="Requests per second that a cold endpoint tolerates; 0 sets no limit.",
            options={},
        ),
        "engine": Description(text="Absent for a plain service.", options={}),
    }


class CallerTeam(Struct):
    """A team and the keys of its callers."""

    __slots__ = (
        "caller_keys",
        "name",
        "priority",
    )

    name: str
    caller_keys: list[str]
    priority: int

    def __init__(
        self,
        *,
        name: str = "",
        caller_keys: list[str] | None = None,
        priority: int = -1,
    ) -> None:
        self.name = name
        self.caller_keys = [] if caller_keys is None else caller_keys
        self.priority = priority

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "name", False),
        2: (TType.LIST, "caller_keys", TType.STRING, False),
        3: (TType.I32, "priority", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("name", None),
        ("caller_keys", None),
        ("priority", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "name": Description(text="", options={}),
        "caller_keys": Description(text="", options={}),
        "priority": Description(
            text="Priority that overrides the route's; -1 uses the route's.",
            options={},
        ),
    }


class IngressLimits(Struct):
    """Limits on requests of callers."""

    __slots__ = (
        "header_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_header_bytes",
    )

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float

    def __init__(
        self,
        *,
        max_header_bytes: int = 65536,
        max_body_bytes: int = 16777216,
        header_timeout_s: float = 10.0,
        idle_timeout_s: float = 60.0,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "max_header_bytes", False),
        2: (TType.I64, "max_body_bytes", False),
        3: (TType.DOUBLE, "header_timeout_s", False),
        4: (TType.DOUBLE, "idle_timeout_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("max_header_bytes", None),
        ("max_body_bytes", None),
        ("header_timeout_s", None),
        ("idle_timeout_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "max_header_bytes": Description(text="", options={}),
        "max_body_bytes": Description(text="", options={}),
        "header_timeout_s": Description(
            text="Time to receive the headers of a request.",
            options={"unit": "seconds"},
        ),
        "idle_timeout_s": Description(
            text="Time for which an idle connection is kept open.",
            options={"unit": "seconds"},
        ),
    }


class InstallationConfig(Struct):
    """One complete version of the configuration."""

    __slots__ = (
        "limits",
        "routes",
        "services",
        "teams",
        "version",
    )

    version: int
    routes: list[Route]
    services: list[Service]
    teams: list[CallerTeam]
    limits: IngressLimits

    def __init__(
        self,
        *,
        version: int = 0,
        routes: list[Route] | None = None,
        services: list[Service] | None = None,
        teams: list[CallerTeam] | None = None,
        limits: IngressLimits | None = None,
    ) -> None:
        self.version = version
        self.routes = [] if routes is None else routes
        self.services = [] if services is None else services
        self.teams = [] if teams is None else teams
        self.limits = IngressLimits() if limits is None else limits

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "version", False),
        2: (TType.LIST, "routes", (TType.STRUCT, Route), False),
        3: (TType.LIST, "services", (TType.STRUCT, Service), False),
        4: (TType.LIST, "teams", (TType.STRUCT, CallerTeam), False),
        5: (TType.STRUCT, "limits", IngressLimits, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("version", None),
        ("routes", None),
        ("services", None),
        ("teams", None),
        ("limits", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "version": Description(text="", options={}),
        "routes": Description(text="", options={}),
        "services": Description(text="", options={}),
        "teams": Description(text="", options={}),
        "limits": Description(text="", options={}),
    }


class EndpointEntry(Struct):
    """Entry in which an endpoint describes itself."""

    __slots__ = (
        "boot_ms",
        "cold_s",
        "host",
        "id",
        "port",
        "ready",
        "release",
        "service_name",
        "slots",
        "zone",
    )

    id: str
    service_name: str
    host: str
    port: int
    zone: str
    slots: int
    ready: bool
    cold_s: float
    boot_ms: int
    release: str

    def __init__(
        self,
        *,
        id: str = "",
        service_name: str = "",
        host: str = "",
        port: int = 0,
        zone: str = "",
        slots: int = 0,
        ready: bool = False,
        cold_s: float = 0.0,
        boot_ms: int = 0,
        release: str = "",
    ) -> None:
        self.id = id
        self.service_name = service_name
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.ready = ready
        self.cold_s = cold_s
        self.boot_ms = boot_ms
        self.release = release

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "id", False),
        2: (TType.STRING, "service_name", False),
        3: (TType.STRING, "host", False),
        4: (TType.I32, "port", False),
        5: (TType.STRING, "zone", False),
        6: (TType.I32, "slots", False),
        7: (TType.BOOL, "ready", False),
        8: (TType.DOUBLE, "cold_s", False),
        9: (TType.I64, "boot_ms", False),
        10: (TType.STRING, "release", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("id", None),
        ("service_name", None),
        ("host", None),
        ("port", None),
        ("zone", None),
        ("slots", None),
        ("ready", None),
        ("cold_s", None),
        ("boot_ms", None),
        ("release", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "id": Description(text="", options={}),
        "service_name": Description(text="", options={}),
        "host": Description(text="", options={}),
        "port": Description(text="", options={}),
        "zone": Description(text="", options={}),
        "slots": Description(
            text="Requests that the endpoint processes concurrently.",
            options={},
        ),
        "ready": Description(
            text="The endpoint accepts new requests.", options={}
        ),
        "cold_s": Description(
            text="Time after the entry was written for which the endpoint is cold and tolerates little load.",
            options={"unit": "seconds"},
        ),
        "boot_ms": Description(
            text="Start of the endpoint's process, which distinguishes its restarts under the same id; 0 if unknown.",
            options={"unit": "milliseconds since the epoch"},
        ),
        "release": Description(
            text="Versions of the endpoint's software and models; empty if unknown.",
            options={},
        ),
    }


class EndpointList(Struct):
    """All endpoints at one revision of the store."""

    __slots__ = (
        "endpoints",
        "generation",
        "revision",
    )

    revision: int
    endpoints: list[EndpointEntry]
    generation: int

    def __init__(
        self,
        *,
        revision: int = 0,
        endpoints: list[EndpointEntry] | None = None,
        generation: int = 0,
    ) -> None:
        self.revision = revision
        self.endpoints = [] if endpoints is None else endpoints
        self.generation = generation

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "revision", False),
        2: (TType.LIST, "endpoints", (TType.STRUCT, EndpointEntry), False),
        3: (TType.I64, "generation", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("revision", None),
        ("endpoints", None),
        ("generation", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "revision": Description(text="", options={}),
        "endpoints": Description(text="", options={}),
        "generation": Description(
            text="Generation of the store that the revision belongs to; 0 if unknown.",
            options={},
        ),
    }


class ClosedZones(Struct):
    """Availability zones that receive no new requests, at one revision of the store."""

    __slots__ = (
        "generation",
        "revision",
        "zones",
    )

    revision: int
    zones: list[str]
    generation: int

    def __init__(
        self,
        *,
        revision: int = 0,
        zones: list[str] | None = None,
        generation: int = 0,
    ) -> None:
        self.revision = revision
        self.zones = [] if zones is None else zones
        self.generation = generation

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "revision", False),
        2: (TType.LIST, "zones", TType.STRING, False),
        3: (TType.I64, "generation", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("revision", None),
        ("zones", None),
        ("generation", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "revision": Description(text="", options={}),
        "zones": Description(text="", options={}),
        "generation": Description(
            text="Generation of the store that the revision belongs to; 0 if unknown.",
            options={},
        ),
    }


__all__ = [
    "CallerTeam",
    "ClosedZones",
    "EndpointEntry",
    "EndpointList",
    "EngineModel",
    "IngressLimits",
    "InstallationConfig",
    "REQUESTKIND_INFO",
    "RequestKind",
    "Route",
    "Service",
    "TrafficShare",
]
