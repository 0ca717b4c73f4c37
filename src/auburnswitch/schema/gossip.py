"""Datagrams and calls between entry daemons.

Generated from schema/gossip.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct
from auburnswitch.schema.installation import *


class WorkItem(Struct):
    """A request that a daemon has dispatched to endpoints."""

    __slots__ = (
        "due_ms",
        "endpoint",
        "helper_memory_tokens",
        "helpers",
        "holders",
        "id",
        "memory_tokens",
        "read_ms",
        "remaining_ms",
        "target_gap_ms",
        "writing",
    )

    id: int
    endpoint: str
    helpers: list[str]
    read_ms: float
    memory_tokens: int
    target_gap_ms: float
    remaining_ms: float
    writing: bool
    helper_memory_tokens: int
    holders: int
    due_ms: float

    def __init__(
        self,
        *,
        id: int = 0,
        endpoint: str = "",
        helpers: list[str] | None = None,
        read_ms: float = 0.0,
        memory_tokens: int = 0,
        target_gap_ms: float = 0.0,
        remaining_ms: float = 0.0,
        writing: bool = False,
        helper_memory_tokens: int = 0,
        holders: int = 0,
        due_ms: float = 0.0,
    ) -> None:
        self.id = id
        self.endpoint = endpoint
        self.helpers = [] if helpers is None else helpers
        self.read_ms = read_ms
        self.memory_tokens = memory_tokens
        self.target_gap_ms = target_gap_ms
        self.remaining_ms = remaining_ms
        self.writing = writing
        self.helper_memory_tokens = helper_memory_tokens
        self.holders = holders
        self.due_ms = due_ms

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


class ConfigChanges(Struct):
    """Changes of the configuration between two versions."""

    __slots__ = (
        "changed",
        "removed",
        "rest",
        "since_version",
        "version",
    )

    since_version: int
    version: int
    changed: list[Route]
    removed: list[str]
    rest: InstallationConfig

    def __init__(
        self,
        *,
        since_version: int = 0,
        version: int = 0,
        changed: list[Route] | None = None,
        removed: list[str] | None = None,
        rest: InstallationConfig | None = None,
    ) -> None:
        self.since_version = since_version
        self.version = version
        self.changed = [] if changed is None else changed
        self.removed = [] if removed is None else removed
        self.rest = InstallationConfig() if rest is None else rest

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


class EndpointChanges(Struct):
    """Changes of endpoints between two revisions of the store."""

    __slots__ = (
        "changed",
        "generation",
        "removed",
        "revision",
        "since_revision",
    )

    since_revision: int
    revision: int
    changed: list[EndpointEntry]
    removed: list[str]
    generation: int

    def __init__(
        self,
        *,
        since_revision: int = 0,
        revision: int = 0,
        changed: list[EndpointEntry] | None = None,
        removed: list[str] | None = None,
        generation: int = 0,
    ) -> None:
        self.since_revision = since_revision
        self.revision = revision
        self.changed = [] if changed is None else changed
        self.removed = [] if removed is None else removed
        self.generation = generation

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "since_revision", False),
        2: (TType.I64, "revision", False),
        3: (TType.LIST, "changed", (TType.STRUCT, EndpointEntry), False),
        4: (TType.LIST, "removed", TType.STRING, False),
        5: (TType.I64, "generation", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("since_revision", None),
        ("revision", None),
        ("changed", None),
        ("removed", None),
        ("generation", None),
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
        "generation": Description(
            text="Generation of the store that the revisions belong to; 0 if unknown.",
            options={},
        ),
    }


class EngineReport(Struct):
    """Difference between the load that an engine reports and the work that daemons have there."""

    __slots__ = (
        "endpoint",
        "slowdown",
        "unknown_requests",
        "unknown_tokens",
    )

    endpoint: str
    unknown_requests: int
    slowdown: float
    unknown_tokens: int

    def __init__(
        self,
        *,
        endpoint: str = "",
        unknown_requests: int = 0,
        slowdown: float = 1.0,
        unknown_tokens: int = 0,
    ) -> None:
        self.endpoint = endpoint
        self.unknown_requests = unknown_requests
        self.slowdown = slowdown
        self.unknown_tokens = unknown_tokens

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


class CrashSuspect(Struct):
    """A request whose answer had not got past its beginning when its endpoint crashed."""

    __slots__ = (
        "age_s",
        "boot_ms",
        "endpoint",
        "parts",
        "request",
        "service_name",
    )

    service_name: str
    endpoint: str
    boot_ms: int
    request: str
    parts: list[str]
    age_s: float

    def __init__(
        self,
        *,
        service_name: str = "",
        endpoint: str = "",
        boot_ms: int = 0,
        request: str = "",
        parts: list[str] | None = None,
        age_s: float = 0.0,
    ) -> None:
        self.service_name = service_name
        self.endpoint = endpoint
        self.boot_ms = boot_ms
        self.request = request
        self.parts = [] if parts is None else parts
        self.age_s = age_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "service_name", False),
        2: (TType.STRING, "endpoint", False),
        3: (TType.I64, "boot_ms", False),
        4: (TType.STRING, "request", False),
        5: (TType.LIST, "parts", TType.STRING, False),
        6: (TType.DOUBLE, "age_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("service_name", None),
        ("endpoint", None),
        ("boot_ms", None),
        ("request", None),
        ("parts", None),
        ("age_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "service_name": Description(text="", options={}),
        "endpoint": Description(text="", options={}),
        "boot_ms": Description(
            text="Start of the endpoint's process that crashed.",
            options={"unit": "milliseconds since the epoch"},
        ),
        "request": Description(text="Fingerprint of the request.", options={}),
        "parts": Description(
            text="Fingerprints of the shared parts of its prompt.", options={}
        ),
        "age_s": Description(
            text="Time since the crash.", options={"unit": "seconds"}
        ),
    }


class PartRefusal(Struct):
    """Prompt parts that crash endpoints: requests with all of them are refused."""

    __slots__ = (
        "confirmed",
        "evidence_age_s",
        "last_crash_age_s",
        "parts",
        "releases",
        "service_name",
        "stored_at_ms",
        "trials",
    )

    service_name: str
    parts: list[str]
    evidence_age_s: float
    last_crash_age_s: float
    trials: int
    releases: list[str]
    confirmed: bool
    stored_at_ms: int

    def __init__(
        self,
        *,
        service_name: str = "",
        parts: list[str] | None = None,
        evidence_age_s: float = 0.0,
        last_crash_age_s: float = 0.0,
        trials: int = 0,
        releases: list[str] | None = None,
        confirmed: bool = False,
        stored_at_ms: int = 0,
    ) -> None:
        self.service_name = service_name
        self.parts = [] if parts is None else parts
        self.evidence_age_s = evidence_age_s
        self.last_crash_age_s = last_crash_age_s
        self.trials = trials
        self.releases = [] if releases is None else releases
        self.confirmed = confirmed
        self.stored_at_ms = stored_at_ms

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "service_name", False),
        2: (TType.LIST, "parts", TType.STRING, False),
        3: (TType.DOUBLE, "evidence_age_s", False),
        4: (TType.DOUBLE, "last_crash_age_s", False),
        5: (TType.I32, "trials", False),
        6: (TType.LIST, "releases", TType.STRING, False),
        7: (TType.BOOL, "confirmed", False),
        8: (TType.I64, "stored_at_ms", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("service_name", None),
        ("parts", None),
        ("evidence_age_s", None),
        ("last_crash_age_s", None),
        ("trials", None),
        ("releases", None),
        ("confirmed", None),
        ("stored_at_ms", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "service_name": Description(text="", options={}),
        "parts": Description(text="Fingerprints of the parts.", options={}),
        "evidence_age_s": Description(
            text="Time since the first of the crashes that decided it.",
            options={"unit": "seconds"},
        ),
        "last_crash_age_s": Description(
            text="Time since the last crash under these parts.",
            options={"unit": "seconds"},
        ),
        "trials": Description(
            text="Number of requests that have been tried since.", options={}
        ),
        "releases": Description(
            text="Releases of the service's endpoints under which the parts crashed them.",
            options={},
        ),
        "confirmed": Description(
            text="The decision is final; until then each daemon may object.",
            options={},
        ),
        "stored_at_ms": Description(
            text="Time of day to which the ages refer; 0 in messages.",
            options={"unit": "milliseconds since the epoch"},
        ),
    }


class RequestRefusal(Struct):
    """A request that crashes endpoints and is refused, as kept in the store."""

    __slots__ = (
        "crashes",
        "request",
        "stored_at_ms",
    )

    request: str
    crashes: list[str]
    stored_at_ms: int

    def __init__(
        self,
        *,
        request: str = "",
        crashes: list[str] | None = None,
        stored_at_ms: int = 0,
    ) -> None:
        self.request = request
        self.crashes = [] if crashes is None else crashes
        self.stored_at_ms = stored_at_ms

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "request", False),
        2: (TType.LIST, "crashes", TType.STRING, False),
        3: (TType.I64, "stored_at_ms", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("request", None),
        ("crashes", None),
        ("stored_at_ms", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "request": Description(text="Fingerprint of the request.", options={}),
        "crashes": Description(
            text="The crashes, each by its endpoint and the start of its process.",
            options={},
        ),
        "stored_at_ms": Description(
            text="Time of day at which it was written.",
            options={"unit": "milliseconds since the epoch"},
        ),
    }


class PartStart(Struct):
    """A prompt part in an answer that has got past its beginning."""

    __slots__ = (
        "age_s",
        "part",
    )

    part: str
    age_s: float

    def __init__(self, *, part: str = "", age_s: float = 0.0) -> None:
        self.part = part
        self.age_s = age_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "part", False),
        2: (TType.DOUBLE, "age_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("part", None),
        ("age_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "part": Description(text="Fingerprint of the part.", options={}),
        "age_s": Description(
            text="Time since then.", options={"unit": "seconds"}
        ),
    }


class Gossip(Struct):
    """State that a daemon publishes to each peer when its work changes, and periodically."""

    __slots__ = (
        "cell",
        "changes",
        "closed_zones_generation",
        "closed_zones_revision",
        "complete",
        "config_changes",
        "config_version",
        "crash_strikes",
        "crash_suspects",
        "ended",
        "endpoints_generation",
        "endpoints_revision",
        "failed_endpoints",
        "host",
        "incarnation",
        "items",
        "leading",
        "link_mbps",
        "part_refusals",
        "part_starts",
        "port",
        "relayed",
        "reports",
        "sender",
        "sequence",
        "stopping",
        "store_generation",
        "store_read_age_ms",
        "zone",
    )

    sender: str
    incarnation: int
    sequence: int
    host: str
    port: int
    zone: str
    config_version: int
    endpoints_revision: int
    closed_zones_revision: int
    store_read_age_ms: float
    stopping: bool
    complete: bool
    items: list[WorkItem]
    ended: list[int]
    failed_endpoints: list[str]
    crash_strikes: list[str]
    changes: EndpointChanges | None
    reports: list[EngineReport]
    leading: bool
    relayed: bool
    link_mbps: float
    config_changes: ConfigChanges | None
    cell: int
    crash_suspects: list[CrashSuspect]
    part_refusals: list[PartRefusal]
    part_starts: list[PartStart]
    store_generation: int
    endpoints_generation: int
    closed_zones_generation: int

    def __init__(
        self,
        *,
        sender: str = "",
        incarnation: int = 0,
        sequence: int = 0,
        host: str = "",
        port: int = 0,
        zone: str = "",
        config_version: int = 0,
        endpoints_revision: int = 0,
        closed_zones_revision: int = 0,
        store_read_age_ms: float = -1.0,
        stopping: bool = False,
        complete: bool = False,
        items: list[WorkItem] | None = None,
        ended: list[int] | None = None,
        failed_endpoints: list[str] | None = None,
        crash_strikes: list[str] | None = None,
        changes: EndpointChanges | None = None,
        reports: list[EngineReport] | None = None,
        leading: bool = False,
        relayed: bool = False,
        link_mbps: float = 0.0,
        config_changes: ConfigChanges | None = None,
        cell: int = -1,
        crash_suspects: list[CrashSuspect] | None = None,
        part_refusals: list[PartRefusal] | None = None,
        part_starts: list[PartStart] | None = None,
        store_generation: int = 0,
        endpoints_generation: int = 0,
        closed_zones_generation: int = 0,
    ) -> None:
        self.sender = sender
        self.incarnation = incarnation
        self.sequence = sequence
        self.host = host
        self.port = port
        self.zone = zone
        self.config_version = config_version
        self.endpoints_revision = endpoints_revision
        self.closed_zones_revision = closed_zones_revision
        self.store_read_age_ms = store_read_age_ms
        self.stopping = stopping
        self.complete = complete
        self.items = [] if items is None else items
        self.ended = [] if ended is None else ended
        self.failed_endpoints = (
            [] if failed_endpoints is None else failed_endpoints
        )
        self.crash_strikes = [] if crash_strikes is None else crash_strikes
        self.changes = changes
        self.reports = [] if reports is None else reports
        self.leading = leading
        self.relayed = relayed
        self.link_mbps = link_mbps
        self.config_changes = config_changes
        self.cell = cell
        self.crash_suspects = [] if crash_suspects is None else crash_suspects
        self.part_refusals = [] if part_refusals is None else part_refusals
        self.part_starts = [] if part_starts is None else part_starts
        self.store_generation = store_generation
        self.endpoints_generation = endpoints_generation
        self.closed_zones_generation = closed_zones_generation

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
        24: (TType.LIST, "crash_suspects", (TType.STRUCT, CrashSuspect), False),
        25: (TType.LIST, "part_refusals", (TType.STRUCT, PartRefusal), False),
        26: (TType.LIST, "part_starts", (TType.STRUCT, PartStart), False),
        27: (TType.I64, "store_generation", False),
        28: (TType.I64, "endpoints_generation", False),
        29: (TType.I64, "closed_zones_generation", False),
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
        ("crash_suspects", None),
        ("part_refusals", None),
        ("part_starts", None),
        ("store_generation", None),
        ("endpoints_generation", None),
        ("closed_zones_generation", None),
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
            text="Crashes of endpoints, each as the fingerprint of a request in flight at the crash and the endpoint; without an endpoint, a request that has succeeded since.",
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
        "crash_suspects": Description(
            text="Requests at crashes that the sender has just observed.",
            options={},
        ),
        "part_refusals": Description(
            text="Refusals in force at the sender, in heartbeats, or that it has just found.",
            options={},
        ),
        "part_starts": Description(
            text="Parts of refusals that the sender knows to be sound.",
            options={},
        ),
        "store_generation": Description(
            text="Newest generation of the store known to the sender; 0 if unknown, as for the following.",
            options={},
        ),
        "endpoints_generation": Description(
            text="Generations that the sender's revisions belong to.",
            options={},
        ),
        "closed_zones_generation": Description(text="", options={}),
    }


class GossipFrame(Struct):
    """One datagram."""

    __slots__ = (
        "messages",
        "relay",
    )

    messages: list[Gossip]
    relay: bool

    def __init__(
        self, *, messages: list[Gossip] | None = None, relay: bool = False
    ) -> None:
        self.messages = [] if messages is None else messages
        self.relay = relay

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


class StateFetch(Struct):
    """Requests the state that a peer has in a newer version than the sender."""

    __slots__ = (
        "closed_zones_generation",
        "closed_zones_revision",
        "config_version",
        "endpoints_generation",
        "endpoints_revision",
    )

    config_version: int
    endpoints_revision: int
    closed_zones_revision: int
    endpoints_generation: int
    closed_zones_generation: int

    def __init__(
        self,
        *,
        config_version: int = 0,
        endpoints_revision: int = 0,
        closed_zones_revision: int = 0,
        endpoints_generation: int = 0,
        closed_zones_generation: int = 0,
    ) -> None:
        self.config_version = config_version
        self.endpoints_revision = endpoints_revision
        self.closed_zones_revision = closed_zones_revision
        self.endpoints_generation = endpoints_generation
        self.closed_zones_generation = closed_zones_generation

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "config_version", False),
        2: (TType.I64, "endpoints_revision", False),
        3: (TType.I64, "closed_zones_revision", False),
        4: (TType.I64, "endpoints_generation", False),
        5: (TType.I64, "closed_zones_generation", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("config_version", None),
        ("endpoints_revision", None),
        ("closed_zones_revision", None),
        ("endpoints_generation", None),
        ("closed_zones_generation", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "config_version": Description(text="", options={}),
        "endpoints_revision": Description(text="", options={}),
        "closed_zones_revision": Description(text="", options={}),
        "endpoints_generation": Description(text="", options={}),
        "closed_zones_generation": Description(text="", options={}),
    }


class StateUpdate(Struct):
    """State that a peer has in a newer version than the requester."""

    __slots__ = (
        "closed_zones",
        "config",
        "endpoints",
    )

    config: InstallationConfig | None
    endpoints: EndpointList | None
    closed_zones: ClosedZones | None

    def __init__(
        self,
        *,
        config: InstallationConfig | None = None,
        endpoints: EndpointList | None = None,
        closed_zones: ClosedZones | None = None,
    ) -> None:
        self.config = config
        self.endpoints = endpoints
        self.closed_zones = closed_zones

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


class DaemonRecord(Struct):
    """Record of an entry daemon in the store."""

    __slots__ = (
        "host",
        "instance",
        "link_mbps",
        "port",
        "zone",
    )

    instance: str
    zone: str
    host: str
    port: int
    link_mbps: float

    def __init__(
        self,
        *,
        instance: str = "",
        zone: str = "",
        host: str = "",
        port: int = 0,
        link_mbps: float = 0.0,
    ) -> None:
        self.instance = instance
        self.zone = zone
        self.host = host
        self.port = port
        self.link_mbps = link_mbps

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
    "CrashSuspect",
    "DaemonRecord",
    "EndpointChanges",
    "EngineReport",
    "Gossip",
    "GossipFrame",
    "PartRefusal",
    "PartStart",
    "RequestRefusal",
    "StateFetch",
    "StateUpdate",
    "WorkItem",
]
