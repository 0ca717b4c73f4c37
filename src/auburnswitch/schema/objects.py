"""Objects kept in the platform's store and changed by tickets. A trailing underscore avoids a reserved word of the IDL and is dropped.

Generated from schema/objects.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct


class ServiceKind(enum.IntEnum):
    """Generated from the schema."""

    MODEL = 0
    PLAIN = 1


SERVICEKIND_INFO: Final = {
    ServiceKind.MODEL: Description(
        text="A model served by engines with streamed completions.", options={}
    ),
    ServiceKind.PLAIN: Description(
        text="An HTTP service whose requests are passed through.", options={}
    ),
}


class FencingSupport(enum.IntEnum):
    """Generated from the schema."""

    IGNORED = 0
    CHECKED = 1


FENCINGSUPPORT_INFO: Final = {
    FencingSupport.IGNORED: Description(
        text="The engine ignores fencing numbers on orders.", options={}
    ),
    FencingSupport.CHECKED: Description(
        text="The engine refuses an order with an old fencing number.",
        options={},
    ),
}


class ObjectKind(enum.IntEnum):
    """Kinds of object that a ticket can change."""

    TEAM = 1
    AVAILABILITY_ZONE = 2
    SERVICE = 3
    ENDPOINT = 4


OBJECTKIND_INFO: Final = {
    ObjectKind.TEAM: Description(text="", options={}),
    ObjectKind.AVAILABILITY_ZONE: Description(text="", options={}),
    ObjectKind.SERVICE: Description(text="", options={}),
    ObjectKind.ENDPOINT: Description(text="", options={}),
}


class Team(Struct):
    """A customer whose callers share limits."""

    __slots__ = (
        "burst_tokens",
        "key_digests",
        "max_in_flight",
        "tokens_per_second",
        "weight",
    )

    key_digests: list[str]
    tokens_per_second: float
    burst_tokens: float
    max_in_flight: int
    weight: float

    def __init__(
        self,
        *,
        key_digests: list[str] | None = None,
        tokens_per_second: float = 0.0,
        burst_tokens: float = 0.0,
        max_in_flight: int = 0,
        weight: float = 1.0,
    ) -> None:
        self.key_digests = [] if key_digests is None else key_digests
        self.tokens_per_second = tokens_per_second
        self.burst_tokens = burst_tokens
        self.max_in_flight = max_in_flight
        self.weight = weight

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.LIST, "key_digests", TType.STRING, False),
        2: (TType.DOUBLE, "tokens_per_second", False),
        3: (TType.DOUBLE, "burst_tokens", False),
        4: (TType.I32, "max_in_flight", False),
        5: (TType.DOUBLE, "weight", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("key_digests", None),
        ("tokens_per_second", None),
        ("burst_tokens", None),
        ("max_in_flight", None),
        ("weight", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "key_digests": Description(
            text="SHA-256 digests of the caller keys, in hexadecimal.",
            options={},
        ),
        "tokens_per_second": Description(
            text="Sustained tokens per second, prompt and answer; 0 means no limit.",
            options={},
        ),
        "burst_tokens": Description(
            text="Tokens that may be used in a burst above the sustained rate.",
            options={},
        ),
        "max_in_flight": Description(
            text="Requests in flight at one time; 0 means no limit.", options={}
        ),
        "weight": Description(
            text="Share of the fleet relative to other teams when requests queue.",
            options={},
        ),
    }


class AvailabilityZone(Struct):
    """A failure domain: its instances and endpoints can fail together."""

    __slots__ = (
        "out",
        "region",
    )

    region: str
    out: bool

    def __init__(self, *, region: str = "", out: bool = False) -> None:
        self.region = region
        self.out = out

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "region", False),
        2: (TType.BOOL, "out", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("region", None),
        ("out", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "region": Description(text="", options={}),
        "out": Description(
            text="Operators have taken the zone out of service.", options={}
        ),
    }


class Service(Struct):
    """A model or a plain service that teams may call."""

    __slots__ = (
        "allow_continuation",
        "idempotent_methods",
        "idempotent_paths",
        "kind",
        "long_deadline_s",
        "max_attempts",
        "medium_deadline_s",
        "model",
        "short_deadline_s",
        "teams",
    )

    kind: ServiceKind
    model: str
    teams: list[str]
    short_deadline_s: float
    medium_deadline_s: float
    long_deadline_s: float
    idempotent_methods: list[str]
    allow_continuation: bool
    max_attempts: int
    idempotent_paths: list[str]

    def __init__(
        self,
        *,
        kind: ServiceKind = ServiceKind.MODEL,
        model: str = "",
        teams: list[str] | None = None,
        short_deadline_s: float = 60.0,
        medium_deadline_s: float = 300.0,
        long_deadline_s: float = 1800.0,
        idempotent_methods: list[str] | None = None,
        allow_continuation: bool = True,
        max_attempts: int = 3,
        idempotent_paths: list[str] | None = None,
    ) -> None:
        self.kind = kind
        self.model = model
        self.teams = [] if teams is None else teams
        self.short_deadline_s = short_deadline_s
        self.medium_deadline_s = medium_deadline_s
        self.long_deadline_s = long_deadline_s
        self.idempotent_methods = (
            ["GET", "HEAD"]
            if idempotent_methods is None
            else idempotent_methods
        )
        self.allow_continuation = allow_continuation
        self.max_attempts = max_attempts
        self.idempotent_paths = (
            [] if idempotent_paths is None else idempotent_paths
        )

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I32, "kind", False),
        2: (TType.STRING, "model", False),
        3: (TType.LIST, "teams", TType.STRING, False),
        4: (TType.DOUBLE, "short_deadline_s", False),
        5: (TType.DOUBLE, "medium_deadline_s", False),
        6: (TType.DOUBLE, "long_deadline_s", False),
        7: (TType.LIST, "idempotent_methods", TType.STRING, False),
        8: (TType.BOOL, "allow_continuation", False),
        9: (TType.I32, "max_attempts", False),
        10: (TType.LIST, "idempotent_paths", TType.STRING, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("kind", None),
        ("model", None),
        ("teams", None),
        ("short_deadline_s", None),
        ("medium_deadline_s", None),
        ("long_deadline_s", None),
        ("idempotent_methods", None),
        ("allow_continuation", None),
        ("max_attempts", None),
        ("idempotent_paths", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {"kind": ServiceKind}
    descriptions: ClassVar[dict[str, Description]] = {
        "kind": Description(text="", options={}),
        "model": Description(
            text="Model name in completion requests; empty means the service's own name.",
            options={},
        ),
        "teams": Description(
            text="Teams that may call the service; empty means every team.",
            options={},
        ),
        "short_deadline_s": Description(
            text="Default deadlines by length class, in seconds.", options={}
        ),
        "medium_deadline_s": Description(text="", options={}),
        "long_deadline_s": Description(text="", options={}),
        "idempotent_methods": Description(
            text="HTTP methods whose requests are idempotent on a plain service.",
            options={},
        ),
        "allow_continuation": Description(
            text="An interrupted answer may be continued on another endpoint.",
            options={},
        ),
        "max_attempts": Description(
            text="Attempts allowed for one idempotent request.", options={}
        ),
        "idempotent_paths": Description(
            text="Path prefixes whose requests are idempotent whatever their method.",
            options={},
        ),
    }


class Endpoint(Struct):
    """A back end that runs requests of one service."""

    __slots__ = (
        "cold_max_running",
        "cold_max_tokens",
        "fencing",
        "host",
        "instance",
        "leaving",
        "long_share",
        "max_running",
        "memory_tokens",
        "model_version",
        "port",
        "prefill_tokens_per_second",
        "role",
        "service",
        "warm_after",
        "zone",
    )

    service: str
    zone: str
    host: str
    port: int
    memory_tokens: int
    prefill_tokens_per_second: int
    max_running: int
    cold_max_running: int
    cold_max_tokens: int
    warm_after: int
    fencing: FencingSupport
    leaving: bool
    long_share: float
    model_version: str
    role: str
    instance: str

    def __init__(
        self,
        *,
        service: str = "",
        zone: str = "",
        host: str = "",
        port: int = 0,
        memory_tokens: int = 500000,
        prefill_tokens_per_second: int = 20000,
        max_running: int = 64,
        cold_max_running: int = 2,
        cold_max_tokens: int = 20000,
        warm_after: int = 8,
        fencing: FencingSupport = FencingSupport.IGNORED,
        leaving: bool = False,
        long_share: float = 0.6,
        model_version: str = "",
        role: str = "",
        instance: str = "",
    ) -> None:
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.memory_tokens = memory_tokens
        self.prefill_tokens_per_second = prefill_tokens_per_second
        self.max_running = max_running
        self.cold_max_running = cold_max_running
        self.cold_max_tokens = cold_max_tokens
        self.warm_after = warm_after
        self.fencing = fencing
        self.leaving = leaving
        self.long_share = long_share
        self.model_version = model_version
        self.role = role
        self.instance = instance

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "service", False),
        2: (TType.STRING, "zone", False),
        3: (TType.STRING, "host", False),
        4: (TType.I32, "port", False),
        5: (TType.I64, "memory_tokens", False),
        6: (TType.I64, "prefill_tokens_per_second", False),
        7: (TType.I32, "max_running", False),
        8: (TType.I32, "cold_max_running", False),
        9: (TType.I64, "cold_max_tokens", False),
        10: (TType.I32, "warm_after", False),
        11: (TType.I32, "fencing", False),
        12: (TType.BOOL, "leaving", False),
        13: (TType.DOUBLE, "long_share", False),
        40: (TType.STRING, "model_version", False),
        41: (TType.STRING, "role", False),
        42: (TType.STRING, "instance", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("service", None),
        ("zone", None),
        ("host", None),
        ("port", None),
        ("memory_tokens", None),
        ("prefill_tokens_per_second", None),
        ("max_running", None),
        ("cold_max_running", None),
        ("cold_max_tokens", None),
        ("warm_after", None),
        ("fencing", None),
        ("leaving", None),
        ("long_share", None),
        ("model_version", None),
        ("role", None),
        ("instance", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {
        "fencing": FencingSupport
    }
    descriptions: ClassVar[dict[str, Description]] = {
        "service": Description(text="", options={}),
        "zone": Description(text="", options={}),
        "host": Description(text="", options={}),
        "port": Description(text="", options={}),
        "memory_tokens": Description(
            text="Tokens of prompt and answer that fit in memory.", options={}
        ),
        "prefill_tokens_per_second": Description(
            text="Prompt tokens that the endpoint prefills per second.",
            options={},
        ),
        "max_running": Description(
            text="Maximum concurrent requests of a warm endpoint.", options={}
        ),
        "cold_max_running": Description(
            text="Concurrent requests that a cold endpoint tolerates.",
            options={},
        ),
        "cold_max_tokens": Description(
            text="Concurrent prompt tokens that a cold endpoint tolerates.",
            options={},
        ),
        "warm_after": Description(
            text="Successful requests before the endpoint counts as warm.",
            options={},
        ),
        "fencing": Description(text="", options={}),
        "leaving": Description(
            text="The endpoint is leaving and receives no new work.", options={}
        ),
        "long_share": Description(
            text="Long prefill tokens allowed at one time, as a share of memory.",
            options={},
        ),
        "model_version": Description(
            text="Model version that the engine should load; empty leaves it unchanged.",
            options={},
        ),
        "role": Description(
            text="Role that the engine should have; empty leaves it unchanged.",
            options={},
        ),
        "instance": Description(
            text="Instance that the endpoint runs on; empty means the endpoint's own name.",
            options={},
        ),
    }


class Change(Struct):
    """Complete new state of one object within a ticket."""

    __slots__ = (
        "deleted",
        "endpoint",
        "kind",
        "name",
        "service",
        "team",
        "zone",
    )

    kind: ObjectKind
    name: str
    deleted: bool
    team: Team | None
    zone: AvailabilityZone | None
    service: Service | None
    endpoint: Endpoint | None

    def __init__(
        self,
        *,
        kind: ObjectKind = ObjectKind.TEAM,
        name: str = "",
        deleted: bool = False,
        team: Team | None = None,
        zone: AvailabilityZone | None = None,
        service: Service | None = None,
        endpoint: Endpoint | None = None,
    ) -> None:
        self.kind = kind
        self.name = name
        self.deleted = deleted
        self.team = team
        self.zone = zone
        self.service = service
        self.endpoint = endpoint

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I32, "kind", False),
        2: (TType.STRING, "name", False),
        3: (TType.BOOL, "deleted", False),
        4: (TType.STRUCT, "team", Team, False),
        5: (TType.STRUCT, "zone", AvailabilityZone, False),
        6: (TType.STRUCT, "service", Service, False),
        7: (TType.STRUCT, "endpoint", Endpoint, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("kind", None),
        ("name", None),
        ("deleted", None),
        ("team", None),
        ("zone", None),
        ("service", None),
        ("endpoint", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {"kind": ObjectKind}
    descriptions: ClassVar[dict[str, Description]] = {
        "kind": Description(text="", options={}),
        "name": Description(text="", options={}),
        "deleted": Description(text="The object is removed.", options={}),
        "team": Description(text="", options={}),
        "zone": Description(text="", options={}),
        "service": Description(text="", options={}),
        "endpoint": Description(text="", options={}),
    }


class VersionedChange(Struct):
    """The newest change of one object and the ticket that made it."""

    __slots__ = (
        "change",
        "number",
    )

    number: int
    change: Change

    def __init__(
        self, *, number: int = 0, change: Change | None = None
    ) -> None:
        self.number = number
        self.change = Change() if change is None else change

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "number", False),
        2: (TType.STRUCT, "change", Change, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("number", None),
        ("change", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "number": Description(text="", options={}),
        "change": Description(text="", options={}),
    }


class Ticket(Struct):
    """A numbered change of configuration. A later number supersedes an earlier one."""

    __slots__ = (
        "accepted_at",
        "author",
        "before",
        "changes",
        "note",
        "number",
        "operator",
    )

    number: int
    author: str
    note: str
    changes: list[Change]
    accepted_at: float
    operator: str
    before: list[VersionedChange]

    def __init__(
        self,
        *,
        number: int = 0,
        author: str = "",
        note: str = "",
        changes: list[Change] | None = None,
        accepted_at: float = 0.0,
        operator: str = "",
        before: list[VersionedChange] | None = None,
    ) -> None:
        self.number = number
        self.author = author
        self.note = note
        self.changes = [] if changes is None else changes
        self.accepted_at = accepted_at
        self.operator = operator
        self.before = [] if before is None else before

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "number", False),
        2: (TType.STRING, "author", False),
        3: (TType.STRING, "note", False),
        4: (TType.LIST, "changes", (TType.STRUCT, Change), False),
        5: (TType.DOUBLE, "accepted_at", False),
        60: (TType.STRING, "operator", False),
        61: (TType.LIST, "before", (TType.STRUCT, VersionedChange), False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("number", None),
        ("author", None),
        ("note", None),
        ("changes", None),
        ("accepted_at", None),
        ("operator", None),
        ("before", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "number": Description(text="", options={}),
        "author": Description(text="", options={}),
        "note": Description(text="", options={}),
        "changes": Description(text="", options={}),
        "accepted_at": Description(
            text="Wall-clock time of acceptance, in seconds since the epoch.",
            options={},
        ),
        "operator": Description(
            text="Operator whose key authenticated the ticket.", options={}
        ),
        "before": Description(
            text="Previous state of the ticket's objects in the daemon that accepted it; an object without an entry did not exist.",
            options={},
        ),
    }


class Snapshot(Struct):
    """Merged state of many tickets."""

    __slots__ = (
        "entries",
        "included_through",
    )

    entries: list[VersionedChange]
    included_through: int

    def __init__(
        self,
        *,
        entries: list[VersionedChange] | None = None,
        included_through: int = 0,
    ) -> None:
        self.entries = [] if entries is None else entries
        self.included_through = included_through

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.LIST, "entries", (TType.STRUCT, VersionedChange), False),
        2: (TType.I64, "included_through", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("entries", None),
        ("included_through", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "entries": Description(text="", options={}),
        "included_through": Description(
            text="Highest number among the included tickets; tickets with a lower number may still arrive.",
            options={},
        ),
    }


class Member(Struct):
    """One incarnation (process start) of a daemon."""

    __slots__ = (
        "host",
        "id",
        "instance",
        "port",
        "zone",
    )

    id: str
    instance: str
    zone: str
    host: str
    port: int

    def __init__(
        self,
        *,
        id: str = "",
        instance: str = "",
        zone: str = "",
        host: str = "",
        port: int = 0,
    ) -> None:
        self.id = id
        self.instance = instance
        self.zone = zone
        self.host = host
        self.port = port

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "id", False),
        2: (TType.STRING, "instance", False),
        3: (TType.STRING, "zone", False),
        4: (TType.STRING, "host", False),
        5: (TType.I32, "port", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("id", None),
        ("instance", None),
        ("zone", None),
        ("host", None),
        ("port", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "id": Description(text="", options={}),
        "instance": Description(
            text="Name of the instance that the daemon runs on.", options={}
        ),
        "zone": Description(text="", options={}),
        "host": Description(text="", options={}),
        "port": Description(text="", options={}),
    }


class Roster(Struct):
    """Agreed membership of one cell."""

    __slots__ = (
        "epoch",
        "members",
    )

    epoch: int
    members: list[Member]

    def __init__(
        self, *, epoch: int = 0, members: list[Member] | None = None
    ) -> None:
        self.epoch = epoch
        self.members = [] if members is None else members

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "epoch", False),
        2: (TType.LIST, "members", (TType.STRUCT, Member), False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("epoch", None),
        ("members", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "epoch": Description(text="", options={}),
        "members": Description(text="", options={}),
    }


class ClaimState(enum.IntEnum):
    """Generated from the schema."""

    CLAIMED = 0
    DONE = 1
    UNKNOWN = 2


CLAIMSTATE_INFO: Final = {
    ClaimState.CLAIMED: Description(
        text="The key is claimed; the request may have been dispatched.",
        options={},
    ),
    ClaimState.DONE: Description(text="The outcome is recorded.", options={}),
    ClaimState.UNKNOWN: Description(
        text="The request was sent and ended without an answer.", options={}
    ),
}


class Claim(Struct):
    """A claim on one idempotency key."""

    __slots__ = (
        "body",
        "body_dropped",
        "content_type",
        "deadline_at",
        "dispatch_by",
        "expires_at",
        "key_hash",
        "member_id",
        "nonce",
        "request_hash",
        "state",
        "status",
    )

    key_hash: str
    request_hash: str
    nonce: str
    state: ClaimState
    expires_at: float
    status: int
    content_type: str
    body: str
    member_id: str
    body_dropped: bool
    dispatch_by: float
    deadline_at: float

    def __init__(
        self,
        *,
        key_hash: str = "",
        request_hash: str = "",
        nonce: str = "",
        state: ClaimState = ClaimState.CLAIMED,
        expires_at: float = 0.0,
        status: int = 0,
        content_type: str = "",
        body: str = "",
        member_id: str = "",
        body_dropped: bool = False,
        dispatch_by: float = 0.0,
        deadline_at: float = 0.0,
    ) -> None:
        self.key_hash = key_hash
        self.request_hash = request_hash
        self.nonce = nonce
        self.state = state
        self.expires_at = expires_at
        self.status = status
        self.content_type = content_type
        self.body = body
        self.member_id = member_id
        self.body_dropped = body_dropped
        self.dispatch_by = dispatch_by
        self.deadline_at = deadline_at

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "key_hash", False),
        2: (TType.STRING, "request_hash", False),
        3: (TType.STRING, "nonce", False),
        4: (TType.I32, "state", False),
        5: (TType.DOUBLE, "expires_at", False),
        6: (TType.I32, "status", False),
        7: (TType.STRING, "content_type", False),
        8: (TType.STRING, "body", False),
        9: (TType.STRING, "member_id", False),
        10: (TType.BOOL, "body_dropped", False),
        60: (TType.DOUBLE, "dispatch_by", False),
        61: (TType.DOUBLE, "deadline_at", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("key_hash", None),
        ("request_hash", None),
        ("nonce", None),
        ("state", None),
        ("expires_at", None),
        ("status", None),
        ("content_type", None),
        ("body", None),
        ("member_id", None),
        ("body_dropped", None),
        ("dispatch_by", None),
        ("deadline_at", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {"state": ClaimState}
    descriptions: ClassVar[dict[str, Description]] = {
        "key_hash": Description(text="Team and key, hashed.", options={}),
        "request_hash": Description(
            text="Hash of method, path and body.", options={}
        ),
        "nonce": Description(text="", options={}),
        "state": Description(text="", options={}),
        "expires_at": Description(
            text="Wall-clock time after which the claim may be dropped, in seconds since the epoch.",
            options={},
        ),
        "status": Description(text="", options={}),
        "content_type": Description(text="", options={}),
        "body": Description(text="Base64 of the recorded answer.", options={}),
        "member_id": Description(
            text="Member that dispatched the request.", options={}
        ),
        "body_dropped": Description(
            text="The recorded answer was too large to keep.", options={}
        ),
        "dispatch_by": Description(
            text="Wall-clock time after which the claimant no longer dispatches the request, in seconds since the epoch.",
            options={},
        ),
        "deadline_at": Description(
            text="Wall-clock time by which the request has ended, in seconds since the epoch.",
            options={},
        ),
    }


class ClaimShard(Struct):
    """A group of claims stored as one value."""

    __slots__ = (
        "claims",
        "split_into",
    )

    claims: list[Claim]
    split_into: str

    def __init__(
        self, *, claims: list[Claim] | None = None, split_into: str = ""
    ) -> None:
        self.claims = [] if claims is None else claims
        self.split_into = split_into

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.LIST, "claims", (TType.STRUCT, Claim), False),
        60: (TType.STRING, "split_into", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("claims", None),
        ("split_into", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "claims": Description(text="", options={}),
        "split_into": Description(
            text="Suffix of the two shards that this shard was split into; empty while it stores its own claims.",
            options={},
        ),
    }


class ClaimLayout(Struct):
    """Initial number of claim shards; equal for all daemons and never changed."""

    __slots__ = ("shards",)

    shards: int

    def __init__(self, *, shards: int = 0) -> None:
        self.shards = shards

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I32, "shards", False)
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [("shards", None)]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "shards": Description(text="", options={}),
    }


class FencingRecord(Struct):
    """The fencing number of orders to one endpoint."""

    __slots__ = (
        "member_id",
        "number",
    )

    number: int
    member_id: str

    def __init__(self, *, number: int = 0, member_id: str = "") -> None:
        self.number = number
        self.member_id = member_id

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "number", False),
        2: (TType.STRING, "member_id", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("number", None),
        ("member_id", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "number": Description(text="", options={}),
        "member_id": Description(text="", options={}),
    }


__all__ = [
    "AvailabilityZone",
    "CLAIMSTATE_INFO",
    "Change",
    "Claim",
    "ClaimLayout",
    "ClaimShard",
    "ClaimState",
    "Endpoint",
    "FENCINGSUPPORT_INFO",
    "FencingRecord",
    "FencingSupport",
    "Member",
    "OBJECTKIND_INFO",
    "ObjectKind",
    "Roster",
    "SERVICEKIND_INFO",
    "Service",
    "ServiceKind",
    "Snapshot",
    "Team",
    "Ticket",
    "VersionedChange",
]
