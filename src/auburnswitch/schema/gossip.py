"""Datagrams and calls between entry daemons.

Generated from schema/gossip.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct
from auburnswitch.schema.installation import *


@dataclass(slots=True, kw_only=True)
class WorkItem(Struct):
    """A request that a daemon has dispatched to endpoints."""

    id: int = 0
    endpoint: str = ""
    helpers: list[str] = field(default_factory=list)
    read_ms: float = 0.0
    memory_tokens: int = 0
    target_gap_ms: float = 0.0
    remaining_ms: float = 0.0
    writing: bool = False
    helper_memory_tokens: int = 0
    holders: int = 0
    due_ms: float = 0.0

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "id", False),
        2: (TType.STRING, "endpoint", False),
        3: (TType.LIST, "helpers", TType.STRING, False),
        4: (TType.DOUBLE, "read_ms", False),
        5: (TType.I64, "memory_tokens", False),
        6: (TType.DOUBLE, "target_gap_ms", False),
        7: (TType.DOUBLE, "remaining_ms", False),
        8: (TType.BOOL, "writing", False),
        9: (TType.I64, "helper_memory_tokens", False),
        10: (TType.I32, "holders", False),
        11: (TType.DOUBLE, "due_ms", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("id", None),
        ("endpoint", None),
        ("helpers", None),
        ("read_ms", None),
        ("memory_tokens", None),
        ("target_gap_ms", None),
        ("remaining_ms", None),
        ("writing", None),
        ("helper_memory_tokens", None),
        ("holders", None),
        ("due_ms", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "id": Description(
            text="Number that the daemon assigned to the request.", options={}
        ),
        "endpoint": Description(
            text="Endpoint that decodes the answer.", options={}
        ),
        "helpers": Description(
            text="Endpoints that prefill parts of the prompt (prefill helpers).",
            options={},
        ),
        "read_ms": Description(
            text="Predicted prefill time of each part.",
            options={"unit": "milliseconds"},
        ),
        "memory_tokens": Description(
            text="Memory reserved at the endpoint that decodes.",
            options={"unit": "tokens"},
        ),
        "target_gap_ms": Description(
            text="Longest interval between two events that meets the latency target.",
            options={"unit": "milliseconds"},
        ),
        "remaining_ms": Description(
            text="Predicted time until the request ends.",
            options={"unit": "milliseconds"},
        ),
        "writing": Description(
            text="The prompt has been prefilled and the endpoint decodes.",
            options={},
        ),
        "helper_memory_tokens": Description(
            text="Memory reserved at each helper that holds a part of the prompt.",
            options={"unit": "tokens"},
        ),
        "holders": Description(
            text="Number of helpers, counted from the first, that hold a part of the prompt.",
            options={},
        ),
        "due_ms": Description(
            text="Time left until the answer is due to start.",
            options={"unit": "milliseconds"},
        ),
    }


@dataclass(slots=True, kw_only=True)
class ConfigChanges(Struct):
    """Changes of the configuration between two versions."""

    since_version: int = 0
    version: int = 0
    changed: list[Route] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    rest: InstallationConfig = field(default_factory=InstallationConfig)

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "since_version", False),
        2: (TType.I64, "version", False),
        3: (TType.LIST, "changed", (TType.STRUCT, Route), False),
        4: (TType.LIST, "removed", TType.STRING, False),
        5: (TType.STRUCT, "rest", InstallationConfig, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("since_version", None),
        ("version", None),
        ("changed", None),
        ("removed", None),
        ("rest", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "since_version": Description(text="", options={}),
        "version": Description(text="", options={}),
        "changed": Description(
            text="Routes that are new or have changed.", options={}
        ),
        "removed": Description(
            text="Names of routes that were removed.", options={}
        ),
        "rest": Description(
            text="The new version without its routes.", options={}
        ),
    }


@dataclass(slots=True, kw_only=True)
class EndpointChanges(Struct):
    """Changes of endpoints between two revisions of the store."""

    since_revision: int = 0
    revision: int = 0
    changed: list[EndpointEntry] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "since_revision", False),
        2: (TType.I64, "revision", False),
        3: (TType.LIST, "changed", (TType.STRUCT, EndpointEntry), False),
        4: (TType.LIST, "removed", TType.STRING, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("since_revision", None),
        ("revision", None),
        ("changed", None),
        ("removed", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "since_revision": Description(
            text="Revision before the changes.", options={}
        ),
        "revision": Description(text="Revision after the changes.", options={}),
        "changed": Description(text="", options={}),
        "removed": Description(
            text="Ids of endpoints whose entries were removed.", options={}
        ),
    }


@dataclass(slots=True, kw_only=True)
class EngineReport(Struct):
    """Difference between the load that an engine reports and the work that daemons have there."""

    endpoint: str = ""
    unknown_requests: int = 0
    slowdown: float = 1.0
    unknown_tokens: int = 0

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "unknown_requests", False),
        3: (TType.DOUBLE, "slowdown", False),
        4: (TType.I64, "unknown_tokens", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("endpoint", None),
        ("unknown_requests", None),
        ("slowdown", None),
        ("unknown_tokens", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "endpoint": Description(text="", options={}),
        "unknown_requests": Description(
            text="Requests on the engine that no daemon has announced.",
            options={},
        ),
        "slowdown": Description(
            text="Ratio of the engine's processing time to its usual processing time.",
            options={},
        ),
        "unknown_tokens": Description(
            text="Memory in use that no announced request accounts for.",
            options={"unit": "tokens"},
        ),
    }


@dataclass(slots=True, kw_only=True)
class Gossip(Struct):
    """State that a daemon publishes to each peer when its work changes, and periodically."""

    sender: str = ""
    incarnation: int = 0
    sequence: int = 0
    host: str = ""
    port: int = 0
    zone: str = ""
    config_version: int = 0
    endpoints_revision: int = 0
    closed_zones_revision: int = 0
    store_read_age_ms: float = -1.0
    stopping: bool = False
    complete: bool = False
    items: list[WorkItem] = field(default_factory=list)
    ended: list[int] = field(default_factory=list)
    failed_endpoints: list[str] = field(default_factory=list)
    crash_strikes: list[str] = field(default_factory=list)
    changes: EndpointChanges | None = None
    reports: list[EngineReport] = field(default_factory=list)
    leading: bool = False
    relayed: bool = False
    link_mbps: float = 0.0
    config_changes: ConfigChanges | None = None
    cell: int = -1

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "sender", False),
        2: (TType.I64, "incarnation", False),
        3: (TType.I64, "sequence", False),
        4: (TType.STRING, "host", False),
        5: (TType.I32, "port", False),
        6: (TType.STRING, "zone", False),
        7: (TType.I64, "config_version", False),
        8: (TType.I64, "endpoints_revision", False),
        9: (TType.I64, "closed_zones_revision", False),
        10: (TType.DOUBLE, "store_read_age_ms", False),
        11: (TType.BOOL, "stopping", False),
        12: (TType.BOOL, "complete", False),
        13: (TType.LIST, "items", (TType.STRUCT, WorkItem), False),
        14: (TType.LIST, "ended", TType.I64, False),
        15: (TType.LIST, "failed_endpoints", TType.STRING, False),
        16: (TType.LIST, "crash_strikes", TType.STRING, False),
        17: (TType.STRUCT, "changes", EndpointChanges, False),
        18: (TType.LIST, "reports", (TType.STRUCT, EngineReport), False),
        19: (TType.BOOL, "leading", False),
        20: (TType.BOOL, "relayed", False),
        21: (TType.DOUBLE, "link_mbps", False),
        22: (TType.STRUCT, "config_changes", ConfigChanges, False),
        23: (TType.I32, "cell", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("sender", None),
        ("incarnation", None),
        ("sequence", None),
        ("host", None),
        ("port", None),
        ("zone", None),
        ("config_version", None),
        ("endpoints_revision", None),
        ("closed_zones_revision", None),
        ("store_read_age_ms", None),
        ("stopping", None),
        ("complete", None),
        ("items", None),
        ("ended", None),
        ("failed_endpoints", None),
        ("crash_strikes", None),
        ("changes", None),
        ("reports", None),
        ("leading", None),
        ("relayed", None),
        ("link_mbps", None),
        ("config_changes", None),
        ("cell", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "sender": Description(text="Instance of the sender.", options={}),
        "incarnation": Description(
            text="Start of the sender's process.",
            options={"unit": "milliseconds since the epoch"},
        ),
        "sequence": Description(text="", options={}),
        "host": Description(text="", options={}),
        "port": Description(text="", options={}),
        "zone": Description(text="", options={}),
        "config_version": Description(
            text="Versions of the sender's copies of the store's objects.",
            options={},
        ),
        "endpoints_revision": Description(text="", options={}),
        "closed_zones_revision": Description(text="", options={}),
        "store_read_age_ms": Description(
            text="Age of the newest read of the store known to the sender; negative if none is known.",
            options={"unit": "milliseconds"},
        ),
        "stopping": Description(
            text="The sender is stopping and takes on no duties for its peers.",
            options={},
        ),
        "complete": Description(
            text="The items are the sender's full list, not only the changed ones.",
            options={},
        ),
        "items": Description(text="", options={}),
        "ended": Description(
            text="Numbers of items that have ended.", options={}
        ),
        "failed_endpoints": Description(
            text="Endpoints at which requests of the sender failed, as evidence for its peers.",
            options={},
        ),
        "crash_strikes": Description(
            text="Crashes of endpoints, each as the fingerprint of a request in flight at the crash and the endpoint.",
            options={},
        ),
        "changes": Description(
            text="Changes of endpoints that the sender has just read from the store.",
            options={},
        ),
        "reports": Description(
            text="New reports on the engines that the sender monitors.",
            options={},
        ),
        "leading": Description(
            text="The sender is a store reader or a relay, and sends heartbeats more often.",
            options={},
        ),
        "relayed": Description(
            text="The message is sent through a relay; relayed messages are numbered in a separate sequence.",
            options={},
        ),
        "link_mbps": Description(text="", options={}),
        "config_changes": Description(
            text="Change of the configuration that the sender has just read from the store.",
            options={},
        ),
        "cell": Description(
            text="Number of the cell whose daemons receive the message; negative for all daemons.",
            options={},
        ),
    }


@dataclass(slots=True, kw_only=True)
class GossipFrame(Struct):
    """One datagram."""

    messages: list[Gossip] = field(default_factory=list)
    relay: bool = False

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.LIST, "messages", (TType.STRUCT, Gossip), False),
        2: (TType.BOOL, "relay", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("messages", None),
        ("relay", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "messages": Description(text="", options={}),
        "relay": Description(
            text="The receiver forwards each message to the daemons of its cell in the receiver's zone.",
            options={},
        ),
    }


@dataclass(slots=True, kw_only=True)
class StateFetch(Struct):
    """Requests the state that a peer has in a newer version than the sender."""

    config_version: int = 0
    endpoints_revision: int = 0
    closed_zones_revision: int = 0

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "config_version", False),
        2: (TType.I64, "endpoints_revision", False),
        3: (TType.I64, "closed_zones_revision", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("config_version", None),
        ("endpoints_revision", None),
        ("closed_zones_revision", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "config_version": Description(text="", options={}),
        "endpoints_revision": Description(text="", options={}),
        "closed_zones_revision": Description(text="", options={}),
    }


@dataclass(slots=True, kw_only=True)
class StateUpdate(Struct):
    """State that a peer has in a newer version than the requester."""

    config: InstallationConfig | None = None
    endpoints: EndpointList | None = None
    closed_zones: ClosedZones | None = None

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRUCT, "config", InstallationConfig, False),
        2: (TType.STRUCT, "endpoints", EndpointList, False),
        3: (TType.STRUCT, "closed_zones", ClosedZones, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("config", None),
        ("endpoints", None),
        ("closed_zones", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "config": Description(text="", options={}),
        "endpoints": Description(text="", options={}),
        "closed_zones": Description(text="", options={}),
    }


@dataclass(slots=True, kw_only=True)
class DaemonRecord(Struct):
    """Record of an entry daemon in the store."""

    instance: str = ""
    zone: str = ""
    host: str = ""
    port: int = 0
    link_mbps: float = 0.0

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "instance", False),
        2: (TType.STRING, "zone", False),
        3: (TType.STRING, "host", False),
        4: (TType.I32, "port", False),
        5: (TType.DOUBLE, "link_mbps", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("instance", None),
        ("zone", None),
        ("host", None),
        ("port", None),
        ("link_mbps", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "instance": Description(text="", options={}),
        "zone": Description(text="", options={}),
        "host": Description(text="", options={}),
        "port": Description(text="", options={}),
        "link_mbps": Description(
            text="Bandwidth of the network link of the daemon's instance.",
            options={"unit": "Mbit/s"},
        ),
    }


__all__ = [
    "ConfigChanges",
    "DaemonRecord",
    "EndpointChanges",
    "EngineReport",
    "Gossip",
    "GossipFrame",
    "StateFetch",
    "StateUpdate",
    "WorkItem",
]
