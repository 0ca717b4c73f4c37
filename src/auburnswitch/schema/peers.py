"""Messages between daemons.

Generated from schema/peers.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct
from auburnswitch.schema.objects import *
from auburnswitch.schema.results import *


class LengthClass(enum.IntEnum):
    """Generated from the schema."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


LENGTHCLASS_INFO: Final = {
    LengthClass.SHORT: Description(text="", options={}),
    LengthClass.MEDIUM: Description(text="", options={}),
    LengthClass.LONG: Description(text="", options={}),
}


class EndpointPhase(enum.IntEnum):
    """Generated from the schema."""

    UNKNOWN = 0
    COLD = 1
    WARMING = 2
    WARM = 3
    LEAVING = 4
    OUT = 5
    DOWN = 6


ENDPOINTPHASE_INFO: Final = {
    EndpointPhase.UNKNOWN: Description(
        text="The endpoint has not been observed yet.", options={}
    ),
    EndpointPhase.COLD: Description(
        text="The endpoint has just started and tolerates little load.",
        options={},
    ),
    EndpointPhase.WARMING: Description(
        text="The load limit rises with each success.", options={}
    ),
    EndpointPhase.WARM: Description(text="", options={}),
    EndpointPhase.LEAVING: Description(
        text="No new work; running work finishes.", options={}
    ),
    EndpointPhase.OUT: Description(
        text="The availability zone is out of service.", options={}
    ),
    EndpointPhase.DOWN: Description(
        text="The endpoint does not respond.", options={}
    ),
}


class Hello(Struct):
    """First frame of each side of a peer connection."""

    __slots__ = (
        "member_id",
        "nonce",
        "protocol_version",
    )

    member_id: str
    nonce: str
    protocol_version: int

    def __init__(
        self, *, member_id: str = "", nonce: str = "", protocol_version: int = 1
    ) -> None:
        self.member_id = member_id
        self.nonce = nonce
        self.protocol_version = protocol_version

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "member_id", False),
        2: (TType.STRING, "nonce", False),
        3: (TType.I32, "protocol_version", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("member_id", None),
        ("nonce", None),
        ("protocol_version", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "member_id": Description(text="", options={}),
        "nonce": Description(text="", options={}),
        "protocol_version": Description(text="", options={}),
    }


class EndpointHint(Struct):
    """State that an owner publishes to peers about one of its endpoints."""

    __slots__ = (
        "boot_id",
        "endpoint",
        "free_tokens",
        "long_wait_s",
        "max_running",
        "phase",
        "reported_prefill_tokens",
        "running",
        "short_wait_s",
        "successes",
        "window",
    )

    endpoint: str
    phase: EndpointPhase
    free_tokens: int
    short_wait_s: float
    long_wait_s: float
    running: int
    max_running: int
    boot_id: str
    reported_prefill_tokens: int
    successes: int
    window: int

    def __init__(
        self,
        *,
        endpoint: str = "",
        phase: EndpointPhase = EndpointPhase.UNKNOWN,
        free_tokens: int = 0,
        short_wait_s: float = 0.0,
        long_wait_s: float = 0.0,
        running: int = 0,
        max_running: int = 0,
        boot_id: str = "",
        reported_prefill_tokens: int = 0,
        successes: int = 0,
        window: int = 0,
    ) -> None:
        self.endpoint = endpoint
        self.phase = phase
        self.free_tokens = free_tokens
        self.short_wait_s = short_wait_s
        self.long_wait_s = long_wait_s
        self.running = running
        self.max_running = max_running
        self.boot_id = boot_id
        self.reported_prefill_tokens = reported_prefill_tokens
        self.successes = successes
        self.window = window

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.I32, "phase", False),
        3: (TType.I64, "free_tokens", False),
        4: (TType.DOUBLE, "short_wait_s", False),
        5: (TType.DOUBLE, "long_wait_s", False),
        6: (TType.I32, "running", False),
        7: (TType.I32, "max_running", False),
        8: (TType.STRING, "boot_id", False),
        50: (TType.I64, "reported_prefill_tokens", False),
        40: (TType.I32, "successes", False),
        41: (TType.I32, "window", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("endpoint", None),
        ("phase", None),
        ("free_tokens", None),
        ("short_wait_s", None),
        ("long_wait_s", None),
        ("running", None),
        ("max_running", None),
        ("boot_id", None),
        ("reported_prefill_tokens", None),
        ("successes", None),
        ("window", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {
        "phase": EndpointPhase
    }
    descriptions: ClassVar[dict[str, Description]] = {
        "endpoint": Description(text="", options={}),
        "phase": Description(text="", options={}),
        "free_tokens": Description(text="", options={}),
        "short_wait_s": Description(
            text="Predicted wait of a new short request, in seconds.",
            options={},
        ),
        "long_wait_s": Description(
            text="Predicted wait of a new long request, in seconds.", options={}
        ),
        "running": Description(text="", options={}),
        "max_running": Description(text="", options={}),
        "boot_id": Description(
            text="Identifies one start of the endpoint.", options={}
        ),
        "reported_prefill_tokens": Description(
            text="Prompt tokens still to be prefilled, from the endpoint's last load report.",
            options={},
        ),
        "successes": Description(
            text="Requests that succeeded since the endpoint was cold.",
            options={},
        ),
        "window": Description(
            text="Concurrent requests allowed while the endpoint is warming.",
            options={},
        ),
    }


class RunningWork(Struct):
    """Reservation of a daemon on an endpoint, with its request."""

    __slots__ = (
        "attempt",
        "endpoint",
        "fingerprint",
        "length_class",
        "prefill_tokens",
        "prompt_tokens",
        "request_id",
        "reservation_id",
        "team",
        "tokens",
    )

    endpoint: str
    reservation_id: str
    tokens: int
    prefill_tokens: int
    length_class: LengthClass
    team: str
    fingerprint: str
    prompt_tokens: int
    request_id: str
    attempt: int

    def __init__(
        self,
        *,
        endpoint: str = "",
        reservation_id: str = "",
        tokens: int = 0,
        prefill_tokens: int = 0,
        length_class: LengthClass = LengthClass.SHORT,
        team: str = "",
        fingerprint: str = "",
        prompt_tokens: int = 0,
        request_id: str = "",
        attempt: int = 0,
    ) -> None:
        self.endpoint = endpoint
        self.reservation_id = reservation_id
        self.tokens = tokens
        self.prefill_tokens = prefill_tokens
        self.length_class = length_class
        self.team = team
        self.fingerprint = fingerprint
        self.prompt_tokens = prompt_tokens
        self.request_id = request_id
        self.attempt = attempt

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.STRING, "reservation_id", False),
        3: (TType.I64, "tokens", False),
        4: (TType.I64, "prefill_tokens", False),
        5: (TType.I32, "length_class", False),
        6: (TType.STRING, "team", False),
        7: (TType.STRING, "fingerprint", False),
        40: (TType.I64, "prompt_tokens", False),
        41: (TType.STRING, "request_id", False),
        42: (TType.I32, "attempt", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("endpoint", None),
        ("reservation_id", None),
        ("tokens", None),
        ("prefill_tokens", None),
        ("length_class", None),
        ("team", None),
        ("fingerprint", None),
        ("prompt_tokens", None),
        ("request_id", None),
        ("attempt", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {
        "length_class": LengthClass
    }
    descriptions: ClassVar[dict[str, Description]] = {
        "endpoint": Description(text="", options={}),
        "reservation_id": Description(text="", options={}),
        "tokens": Description(text="", options={}),
        "prefill_tokens": Description(
            text="Prompt tokens not yet prefilled.", options={}
        ),
        "length_class": Description(text="", options={}),
        "team": Description(text="", options={}),
        "fingerprint": Description(text="", options={}),
        "prompt_tokens": Description(
            text="Prompt tokens, prefilled or not.", options={}
        ),
        "request_id": Description(text="", options={}),
        "attempt": Description(
            text="Number of the attempt that was dispatched; 0 before the dispatch.",
            options={},
        ),
    }


class Strike(Struct):
    """A request that was in flight when an endpoint crashed."""

    __slots__ = (
        "age_s",
        "boot_id",
        "cleared",
        "endpoint",
        "fingerprint",
    )

    fingerprint: str
    endpoint: str
    boot_id: str
    age_s: float
    cleared: bool

    def __init__(
        self,
        *,
        fingerprint: str = "",
        endpoint: str = "",
        boot_id: str = "",
        age_s: float = 0.0,
        cleared: bool = False,
    ) -> None:
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        self.boot_id = boot_id
        self.age_s = age_s
        self.cleared = cleared

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "fingerprint", False),
        2: (TType.STRING, "endpoint", False),
        3: (TType.STRING, "boot_id", False),
        4: (TType.DOUBLE, "age_s", False),
        20: (TType.BOOL, "cleared", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("fingerprint", None),
        ("endpoint", None),
        ("boot_id", None),
        ("age_s", None),
        ("cleared", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "fingerprint": Description(text="", options={}),
        "endpoint": Description(text="", options={}),
        "boot_id": Description(text="", options={}),
        "age_s": Description(text="Seconds since the crash.", options={}),
        "cleared": Description(
            text="The request has since run to completion.", options={}
        ),
    }


class TeamUsage(Struct):
    """Tokens used and requests in flight by one team at one daemon."""

    __slots__ = (
        "in_flight",
        "team",
        "tokens",
        "tokens_per_second",
    )

    team: str
    tokens_per_second: float
    in_flight: int
    tokens: int

    def __init__(
        self,
        *,
        team: str = "",
        tokens_per_second: float = 0.0,
        in_flight: int = 0,
        tokens: int = 0,
    ) -> None:
        self.team = team
        self.tokens_per_second = tokens_per_second
        self.in_flight = in_flight
        self.tokens = tokens

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "team", False),
        2: (TType.DOUBLE, "tokens_per_second", False),
        3: (TType.I32, "in_flight", False),
        50: (TType.I64, "tokens", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("team", None),
        ("tokens_per_second", None),
        ("in_flight", None),
        ("tokens", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "team": Description(text="", options={}),
        "tokens_per_second": Description(
            text="Recent average of tokens per second.", options={}
        ),
        "in_flight": Description(text="", options={}),
        "tokens": Description(
            text="Tokens admitted since the last heartbeat to the receiver.",
            options={},
        ),
    }


class Heartbeat(Struct):
    """Generated from the schema."""

    __slots__ = (
        "epoch",
        "former_ids",
        "heard",
        "hints",
        "leaving",
        "leaving_endpoints",
        "quorum_ids",
        "reads_instances",
        "running",
        "sender",
        "sent_at",
        "state_digest",
        "store_age_s",
        "strikes",
        "usage",
    )

    sender: Member
    epoch: int
    sent_at: float
    hints: list[EndpointHint]
    running: list[RunningWork]
    state_digest: str
    leaving: bool
    strikes: list[Strike]
    usage: list[TeamUsage]
    heard: list[str]
    store_age_s: float
    leaving_endpoints: list[str]
    reads_instances: bool
    former_ids: list[str]
    quorum_ids: list[str]

    def __init__(
        self,
        *,
        sender: Member | None = None,
        epoch: int = 0,
        sent_at: float = 0.0,
        hints: list[EndpointHint] | None = None,
        running: list[RunningWork] | None = None,
        state_digest: str = "",
        leaving: bool = False,
        strikes: list[Strike] | None = None,
        usage: list[TeamUsage] | None = None,
        heard: list[str] | None = None,
        store_age_s: float = 0.0,
        leaving_endpoints: list[str] | None = None,
        reads_instances: bool = False,
        former_ids: list[str] | None = None,
        quorum_ids: list[str] | None = None,
    ) -> None:
        self.sender = Member() if sender is None else sender
        self.epoch = epoch
        self.sent_at = sent_at
        self.hints = [] if hints is None else hints
        self.running = [] if running is None else running
        self.state_digest = state_digest
        self.leaving = leaving
        self.strikes = [] if strikes is None else strikes
        self.usage = [] if usage is None else usage
        self.heard = [] if heard is None else heard
        self.store_age_s = store_age_s
        self.leaving_endpoints = (
            [] if leaving_endpoints is None else leaving_endpoints
        )
        self.reads_instances = reads_instances
        self.former_ids = [] if former_ids is None else former_ids
        self.quorum_ids = [] if quorum_ids is None else quorum_ids

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRUCT, "sender", Member, False),
        2: (TType.I64, "epoch", False),
        3: (TType.DOUBLE, "sent_at", False),
        4: (TType.LIST, "hints", (TType.STRUCT, EndpointHint), False),
        5: (TType.LIST, "running", (TType.STRUCT, RunningWork), False),
        6: (TType.STRING, "state_digest", False),
        7: (TType.BOOL, "leaving", False),
        8: (TType.LIST, "strikes", (TType.STRUCT, Strike), False),
        9: (TType.LIST, "usage", (TType.STRUCT, TeamUsage), False),
        10: (TType.LIST, "heard", TType.STRING, False),
        11: (TType.DOUBLE, "store_age_s", False),
        40: (TType.LIST, "leaving_endpoints", TType.STRING, False),
        41: (TType.BOOL, "reads_instances", False),
        30: (TType.LIST, "former_ids", TType.STRING, False),
        31: (TType.LIST, "quorum_ids", TType.STRING, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("sender", None),
        ("epoch", None),
        ("sent_at", None),
        ("hints", None),
        ("running", None),
        ("state_digest", None),
        ("leaving", None),
        ("strikes", None),
        ("usage", None),
        ("heard", None),
        ("store_age_s", None),
        ("leaving_endpoints", None),
        ("reads_instances", None),
        ("former_ids", None),
        ("quorum_ids", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "sender": Description(text="", options={}),
        "epoch": Description(text="", options={}),
        "sent_at": Description(
            text="Time of the sender's clock, echoed in the acknowledgement, in seconds.",
            options={},
        ),
        "hints": Description(text="", options={}),
        "running": Description(
            text="Reservations of the sender on endpoints that the receiver owns.",
            options={},
        ),
        "state_digest": Description(
            text="Digest of the sender's configuration state.", options={}
        ),
        "leaving": Description(text="", options={}),
        "strikes": Description(text="", options={}),
        "usage": Description(text="", options={}),
        "heard": Description(
            text="Members that the sender has recently received messages from.",
            options={},
        ),
        "store_age_s": Description(
            text="Seconds since the sender last read the platform's store.",
            options={},
        ),
        "leaving_endpoints": Description(
            text="Endpoints that are leaving according to the platform's instance list.",
            options={},
        ),
        "reads_instances": Description(
            text="Whether the sender has recently read the instance list.",
            options={},
        ),
        "former_ids": Description(
            text="Former incarnations of the sender, which have terminated.",
            options={},
        ),
        "quorum_ids": Description(
            text="Quorum set of the sender, if it differs from the roster.",
            options={},
        ),
    }


class HeartbeatAck(Struct):
    """Generated from the schema."""

    __slots__ = (
        "epoch",
        "leaving",
        "member_id",
        "sent_at",
        "state_digest",
    )

    member_id: str
    epoch: int
    sent_at: float
    state_digest: str
    leaving: bool

    def __init__(
        self,
        *,
        member_id: str = "",
        epoch: int = 0,
        sent_at: float = 0.0,
        state_digest: str = "",
        leaving: bool = False,
    ) -> None:
        self.member_id = member_id
        self.epoch = epoch
        self.sent_at = sent_at
        self.state_digest = state_digest
        self.leaving = leaving

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "member_id", False),
        2: (TType.I64, "epoch", False),
        3: (TType.DOUBLE, "sent_at", False),
        4: (TType.STRING, "state_digest", False),
        5: (TType.BOOL, "leaving", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("member_id", None),
        ("epoch", None),
        ("sent_at", None),
        ("state_digest", None),
        ("leaving", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "member_id": Description(text="", options={}),
        "epoch": Description(text="", options={}),
        "sent_at": Description(text="", options={}),
        "state_digest": Description(text="", options={}),
        "leaving": Description(text="", options={}),
    }


class ReserveRequest(Struct):
    """Requests a reservation of capacity from the owner of an endpoint."""

    __slots__ = (
        "answer_tokens",
        "attempt",
        "cached_tokens",
        "endpoint",
        "epoch",
        "fingerprint",
        "hold",
        "length_class",
        "max_start_wait_s",
        "max_wait_s",
        "prompt_tokens",
        "request_id",
        "service",
        "struck",
        "team",
        "team_weight",
        "time_left_s",
        "waited_s",
    )

    endpoint: str
    request_id: str
    attempt: int
    team: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int
    length_class: LengthClass
    time_left_s: float
    fingerprint: str
    struck: bool
    team_weight: float
    epoch: int
    max_wait_s: float
    max_start_wait_s: float
    waited_s: float
    service: str
    hold: bool

    def __init__(
        self,
        *,
        endpoint: str = "",
        request_id: str = "",
        attempt: int = 0,
        team: str = "",
        prompt_tokens: int = 0,
        answer_tokens: int = 0,
        cached_tokens: int = 0,
        length_class: LengthClass = LengthClass.SHORT,
        time_left_s: float = 0.0,
        fingerprint: str = "",
        struck: bool = False,
        team_weight: float = 1.0,
        epoch: int = 0,
        max_wait_s: float = 0.0,
        max_start_wait_s: float = 0.0,
        waited_s: float = 0.0,
        service: str = "",
        hold: bool = False,
    ) -> None:
        self.endpoint = endpoint
        self.request_id = request_id
        self.attempt = attempt
        self.team = team
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.cached_tokens = cached_tokens
        self.length_class = length_class
        self.time_left_s = time_left_s
        self.fingerprint = fingerprint
        self.struck = struck
        self.team_weight = team_weight
        self.epoch = epoch
        self.max_wait_s = max_wait_s
        self.max_start_wait_s = max_start_wait_s
        self.waited_s = waited_s
        self.service = service
        self.hold = hold

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.STRING, "request_id", False),
        3: (TType.I32, "attempt", False),
        4: (TType.STRING, "team", False),
        5: (TType.I64, "prompt_tokens", False),
        6: (TType.I64, "answer_tokens", False),
        7: (TType.I64, "cached_tokens", False),
        8: (TType.I32, "length_class", False),
        9: (TType.DOUBLE, "time_left_s", False),
        10: (TType.STRING, "fingerprint", False),
        11: (TType.BOOL, "struck", False),
        12: (TType.DOUBLE, "team_weight", False),
        13: (TType.I64, "epoch", False),
        14: (TType.DOUBLE, "max_wait_s", False),
        50: (TType.DOUBLE, "max_start_wait_s", False),
        51: (TType.DOUBLE, "waited_s", False),
        52: (TType.STRING, "service", False),
        40: (TType.BOOL, "hold", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("endpoint", None),
        ("request_id", None),
        ("attempt", None),
        ("team", None),
        ("prompt_tokens", None),
        ("answer_tokens", None),
        ("cached_tokens", None),
        ("length_class", None),
        ("time_left_s", None),
        ("fingerprint", None),
        ("struck", None),
        ("team_weight", None),
        ("epoch", None),
        ("max_wait_s", None),
        ("max_start_wait_s", None),
        ("waited_s", None),
        ("service", None),
        ("hold", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {
        "length_class": LengthClass
    }
    descriptions: ClassVar[dict[str, Description]] = {
        "endpoint": Description(text="", options={}),
        "request_id": Description(text="", options={}),
        "attempt": Description(text="", options={}),
        "team": Description(text="", options={}),
        "prompt_tokens": Description(text="", options={}),
        "answer_tokens": Description(text="", options={}),
        "cached_tokens": Description(text="", options={}),
        "length_class": Description(text="", options={}),
        "time_left_s": Description(
            text="Time left until the deadline, in seconds; 0 if no deadline is known.",
            options={},
        ),
        "fingerprint": Description(text="", options={}),
        "struck": Description(
            text="The request was in flight when an endpoint crashed.",
            options={},
        ),
        "team_weight": Description(text="", options={}),
        "epoch": Description(text="", options={}),
        "max_wait_s": Description(
            text="Longest time that the requester waits in the owner's queue, in seconds.",
            options={},
        ),
        "max_start_wait_s": Description(
            text="Longest predicted wait that the requester accepts, in seconds; 0 accepts any.",
            options={},
        ),
        "waited_s": Description(
            text="Time that the request has waited at other owners, in seconds.",
            options={},
        ),
        "service": Description(text="Service of the endpoint.", options={}),
        "hold": Description(
            text="The reservation is part of a group and is kept until it is released; only on an endpoint that is not cold.",
            options={},
        ),
    }


class ReserveReply(Struct):
    """Generated from the schema."""

    __slots__ = (
        "alternatives",
        "boot_id",
        "code",
        "hints",
        "reservation_id",
        "retry_after_s",
        "waited_s",
    )

    code: ResultCode
    reservation_id: str
    retry_after_s: float
    alternatives: list[str]
    boot_id: str
    waited_s: float
    hints: list[EndpointHint]

    def __init__(
        self,
        *,
        code: ResultCode = ResultCode.OK,
        reservation_id: str = "",
        retry_after_s: float = 0.0,
        alternatives: list[str] | None = None,
        boot_id: str = "",
        waited_s: float = 0.0,
        hints: list[EndpointHint] | None = None,
    ) -> None:
        self.code = code
        self.reservation_id = reservation_id
        self.retry_after_s = retry_after_s
        self.alternatives = [] if alternatives is None else alternatives
        self.boot_id = boot_id
        self.waited_s = waited_s
        self.hints = [] if hints is None else hints

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I32, "code", False),
        2: (TType.STRING, "reservation_id", False),
        3: (TType.DOUBLE, "retry_after_s", False),
        4: (TType.LIST, "alternatives", TType.STRING, False),
        5: (TType.STRING, "boot_id", False),
        40: (TType.DOUBLE, "waited_s", False),
        50: (TType.LIST, "hints", (TType.STRUCT, EndpointHint), False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("code", None),
        ("reservation_id", None),
        ("retry_after_s", None),
        ("alternatives", None),
        ("boot_id", None),
        ("waited_s", None),
        ("hints", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {"code": ResultCode}
    descriptions: ClassVar[dict[str, Description]] = {
        "code": Description(text="", options={}),
        "reservation_id": Description(text="", options={}),
        "retry_after_s": Description(
            text="Seconds after which the caller should retry.", options={}
        ),
        "alternatives": Description(
            text="Endpoints that have more free capacity as far as the owner knows.",
            options={},
        ),
        "boot_id": Description(text="", options={}),
        "waited_s": Description(
            text="Seconds from the arrival of the reservation request to its grant.",
            options={},
        ),
        "hints": Description(
            text="Hints on the owner's endpoints of the service, best first.",
            options={},
        ),
    }


class ReleaseRequest(Struct):
    """Ends a reservation, used or not."""

    __slots__ = (
        "endpoint",
        "endpoint_lost",
        "first_token_s",
        "may_still_run",
        "reservation_id",
        "succeeded",
        "used",
    )

    endpoint: str
    reservation_id: str
    used: bool
    succeeded: bool
    first_token_s: float
    endpoint_lost: bool
    may_still_run: bool

    def __init__(
        self,
        *,
        endpoint: str = "",
        reservation_id: str = "",
        used: bool = False,
        succeeded: bool = False,
        first_token_s: float = 0.0,
        endpoint_lost: bool = False,
        may_still_run: bool = False,
    ) -> None:
        self.endpoint = endpoint
        self.reservation_id = reservation_id
        self.used = used
        self.succeeded = succeeded
        self.first_token_s = first_token_s
        self.endpoint_lost = endpoint_lost
        self.may_still_run = may_still_run

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.STRING, "reservation_id", False),
        3: (TType.BOOL, "used", False),
        4: (TType.BOOL, "succeeded", False),
        5: (TType.DOUBLE, "first_token_s", False),
        6: (TType.BOOL, "endpoint_lost", False),
        40: (TType.BOOL, "may_still_run", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("endpoint", None),
        ("reservation_id", None),
        ("used", None),
        ("succeeded", None),
        ("first_token_s", None),
        ("endpoint_lost", None),
        ("may_still_run", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "endpoint": Description(text="", options={}),
        "reservation_id": Description(text="", options={}),
        "used": Description(text="", options={}),
        "succeeded": Description(text="", options={}),
        "first_token_s": Description(
            text="Seconds from dispatch to first token; 0 if there was none.",
            options={},
        ),
        "endpoint_lost": Description(
            text="The endpoint refused the connection or dropped it.",
            options={},
        ),
        "may_still_run": Description(
            text="The endpoint may still run the attempt.", options={}
        ),
    }


class ProgressRequest(Struct):
    """The prompt has been prefilled."""

    __slots__ = (
        "endpoint",
        "first_token_s",
        "reservation_id",
    )

    endpoint: str
    reservation_id: str
    first_token_s: float

    def __init__(
        self,
        *,
        endpoint: str = "",
        reservation_id: str = "",
        first_token_s: float = 0.0,
    ) -> None:
        self.endpoint = endpoint
        self.reservation_id = reservation_id
        self.first_token_s = first_token_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.STRING, "reservation_id", False),
        40: (TType.DOUBLE, "first_token_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("endpoint", None),
        ("reservation_id", None),
        ("first_token_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "endpoint": Description(text="", options={}),
        "reservation_id": Description(text="", options={}),
        "first_token_s": Description(
            text="Seconds from dispatch to first token.", options={}
        ),
    }


class Done(Struct):
    """Generated from the schema."""

    __slots__ = ("code",)

    code: ResultCode

    def __init__(self, *, code: ResultCode = ResultCode.OK) -> None:
        self.code = code

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I32, "code", False)
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [("code", None)]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {"code": ResultCode}
    descriptions: ClassVar[dict[str, Description]] = {
        "code": Description(text="", options={}),
    }


class StateRequest(Struct):
    """Requests a peer's configuration state."""

    __slots__ = ("state_digest",)

    state_digest: str

    def __init__(self, *, state_digest: str = "") -> None:
        self.state_digest = state_digest

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "state_digest", False)
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [("state_digest", None)]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "state_digest": Description(text="", options={}),
    }


class StateReply(Struct):
    """Generated from the schema."""

    __slots__ = (
        "heard_members",
        "roster",
        "snapshot",
    )

    snapshot: Snapshot
    roster: Roster | None
    heard_members: list[Member]

    def __init__(
        self,
        *,
        snapshot: Snapshot | None = None,
        roster: Roster | None = None,
        heard_members: list[Member] | None = None,
    ) -> None:
        self.snapshot = Snapshot() if snapshot is None else snapshot
        self.roster = roster
        self.heard_members = [] if heard_members is None else heard_members

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRUCT, "snapshot", Snapshot, False),
        2: (TType.STRUCT, "roster", Roster, False),
        30: (TType.LIST, "heard_members", (TType.STRUCT, Member), False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("snapshot", None),
        ("roster", None),
        ("heard_members", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "snapshot": Description(text="", options={}),
        "roster": Description(text="", options={}),
        "heard_members": Description(
            text="Daemons that the peer receives messages from, so that new daemons discover each other.",
            options={},
        ),
    }


class HandoverRequest(Struct):
    """A leaving owner releases its ownership leases on endpoints."""

    __slots__ = (
        "endpoints",
        "epoch",
        "holders",
        "member_id",
        "running",
        "states",
    )

    member_id: str
    epoch: int
    endpoints: list[str]
    states: list[EndpointHint]
    running: list[RunningWork]
    holders: list[str]

    def __init__(
        self,
        *,
        member_id: str = "",
        epoch: int = 0,
        endpoints: list[str] | None = None,
        states: list[EndpointHint] | None = None,
        running: list[RunningWork] | None = None,
        holders: list[str] | None = None,
    ) -> None:
        self.member_id = member_id
        self.epoch = epoch
        self.endpoints = [] if endpoints is None else endpoints
        self.states = [] if states is None else states
        self.running = [] if running is None else running
        self.holders = [] if holders is None else holders

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "member_id", False),
        2: (TType.I64, "epoch", False),
        3: (TType.LIST, "endpoints", TType.STRING, False),
        40: (TType.LIST, "states", (TType.STRUCT, EndpointHint), False),
        41: (TType.LIST, "running", (TType.STRUCT, RunningWork), False),
        42: (TType.LIST, "holders", TType.STRING, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("member_id", None),
        ("epoch", None),
        ("endpoints", None),
        ("states", None),
        ("running", None),
        ("holders", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "member_id": Description(text="", options={}),
        "epoch": Description(text="", options={}),
        "endpoints": Description(text="", options={}),
        "states": Description(
            text="State of each of these endpoints at the sender.", options={}
        ),
        "running": Description(
            text="Reservations that the sender has granted on these endpoints.",
            options={},
        ),
        "holders": Description(
            text="Member that holds each entry of running.", options={}
        ),
    }


class ClaimAction(enum.IntEnum):
    """Generated from the schema."""

    ADD = 0
    RECORD = 1


CLAIMACTION_INFO: Final = {
    ClaimAction.ADD: Description(text="", options={}),
    ClaimAction.RECORD: Description(text="", options={}),
}


class KeyClaimRequest(Struct):
    """Requests a change of a claim shard from the daemon that commits the shard."""

    __slots__ = (
        "action",
        "claim",
    )

    action: ClaimAction
    claim: Claim

    def __init__(
        self,
        *,
        action: ClaimAction = ClaimAction.ADD,
        claim: Claim | None = None,
    ) -> None:
        self.action = action
        self.claim = Claim() if claim is None else claim

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        60: (TType.I32, "action", False),
        61: (TType.STRUCT, "claim", Claim, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("action", None),
        ("claim", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {
        "action": ClaimAction
    }
    descriptions: ClassVar[dict[str, Description]] = {
        "action": Description(text="", options={}),
        "claim": Description(text="", options={}),
    }


class ClaimVerdict(enum.IntEnum):
    """Generated from the schema."""

    DONE = 0
    EXISTS = 1
    UNAVAILABLE = 2


CLAIMVERDICT_INFO: Final = {
    ClaimVerdict.DONE: Description(
        text="The claim was added, or its outcome recorded.", options={}
    ),
    ClaimVerdict.EXISTS: Description(
        text="Another claim holds the key.", options={}
    ),
    ClaimVerdict.UNAVAILABLE: Description(
        text="The change was not committed in time.", options={}
    ),
}


class KeyClaimReply(Struct):
    """Generated from the schema."""

    __slots__ = (
        "earlier",
        "verdict",
        "written",
    )

    verdict: ClaimVerdict
    earlier: Claim | None
    written: bool

    def __init__(
        self,
        *,
        verdict: ClaimVerdict = ClaimVerdict.DONE,
        earlier: Claim | None = None,
        written: bool = False,
    ) -> None:
        self.verdict = verdict
        self.earlier = earlier
        self.written = written

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        60: (TType.I32, "verdict", False),
        61: (TType.STRUCT, "earlier", Claim, False),
        62: (TType.BOOL, "written", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("verdict", None),
        ("earlier", None),
        ("written", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {
        "verdict": ClaimVerdict
    }
    descriptions: ClassVar[dict[str, Description]] = {
        "verdict": Description(text="", options={}),
        "earlier": Description(
            text="The claim that holds the key.", options={}
        ),
        "written": Description(
            text="The change may have taken effect although its commit was not confirmed.",
            options={},
        ),
    }


class AttemptId(Struct):
    """One attempt of a request."""

    __slots__ = (
        "attempt",
        "request_id",
    )

    request_id: str
    attempt: int

    def __init__(self, *, request_id: str = "", attempt: int = 0) -> None:
        self.request_id = request_id
        self.attempt = attempt

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "request_id", False),
        2: (TType.I32, "attempt", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("request_id", None),
        ("attempt", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "request_id": Description(text="", options={}),
        "attempt": Description(text="", options={}),
    }


class ClaimsRequest(Struct):
    """Requests the list of attempts on an endpoint that a member still has."""

    __slots__ = (
        "attempts",
        "endpoint",
    )

    endpoint: str
    attempts: list[AttemptId]

    def __init__(
        self, *, endpoint: str = "", attempts: list[AttemptId] | None = None
    ) -> None:
        self.endpoint = endpoint
        self.attempts = [] if attempts is None else attempts

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "endpoint", False),
        2: (TType.LIST, "attempts", (TType.STRUCT, AttemptId), False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("endpoint", None),
        ("attempts", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "endpoint": Description(text="", options={}),
        "attempts": Description(text="", options={}),
    }


class ClaimsReply(Struct):
    """Generated from the schema."""

    __slots__ = ("attempts",)

    attempts: list[AttemptId]

    def __init__(self, *, attempts: list[AttemptId] | None = None) -> None:
        self.attempts = [] if attempts is None else attempts

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.LIST, "attempts", (TType.STRUCT, AttemptId), False)
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [("attempts", None)]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "attempts": Description(
            text="The attempts that the member still has.", options={}
        ),
    }


class Envelope(Struct):
    """One frame of a peer connection; exactly one optional field is set."""

    __slots__ = (
        "call_id",
        "claims",
        "claims_reply",
        "done",
        "handover",
        "heartbeat",
        "heartbeat_ack",
        "hello",
        "is_reply",
        "key_claim",
        "key_claim_reply",
        "progress",
        "release",
        "reserve",
        "reserve_reply",
        "state_reply",
        "state_request",
    )

    call_id: int
    is_reply: bool
    heartbeat: Heartbeat | None
    heartbeat_ack: HeartbeatAck | None
    reserve: ReserveRequest | None
    reserve_reply: ReserveReply | None
    release: ReleaseRequest | None
    progress: ProgressRequest | None
    state_request: StateRequest | None
    state_reply: StateReply | None
    handover: HandoverRequest | None
    done: Done | None
    hello: Hello | None
    key_claim: KeyClaimRequest | None
    key_claim_reply: KeyClaimReply | None
    claims: ClaimsRequest | None
    claims_reply: ClaimsReply | None

    def __init__(
        self,
        *,
        call_id: int = 0,
        is_reply: bool = False,
        heartbeat: Heartbeat | None = None,
        heartbeat_ack: HeartbeatAck | None = None,
        reserve: ReserveRequest | None = None,
        reserve_reply: ReserveReply | None = None,
        release: ReleaseRequest | None = None,
        progress: ProgressRequest | None = None,
        state_request: StateRequest | None = None,
        state_reply: StateReply | None = None,
        handover: HandoverRequest | None = None,
        done: Done | None = None,
        hello: Hello | None = None,
        key_claim: KeyClaimRequest | None = None,
        key_claim_reply: KeyClaimReply | None = None,
        claims: ClaimsRequest | None = None,
        claims_reply: ClaimsReply | None = None,
    ) -> None:
        self.call_id = call_id
        self.is_reply = is_reply
        self.heartbeat = heartbeat
        self.heartbeat_ack = heartbeat_ack
        self.reserve = reserve
        self.reserve_reply = reserve_reply
        self.release = release
        self.progress = progress
        self.state_request = state_request
        self.state_reply = state_reply
        self.handover = handover
        self.done = done
        self.hello = hello
        self.key_claim = key_claim
        self.key_claim_reply = key_claim_reply
        self.claims = claims
        self.claims_reply = claims_reply

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "call_id", False),
        2: (TType.BOOL, "is_reply", False),
        3: (TType.STRUCT, "heartbeat", Heartbeat, False),
        4: (TType.STRUCT, "heartbeat_ack", HeartbeatAck, False),
        5: (TType.STRUCT, "reserve", ReserveRequest, False),
        6: (TType.STRUCT, "reserve_reply", ReserveReply, False),
        7: (TType.STRUCT, "release", ReleaseRequest, False),
        8: (TType.STRUCT, "progress", ProgressRequest, False),
        9: (TType.STRUCT, "state_request", StateRequest, False),
        10: (TType.STRUCT, "state_reply", StateReply, False),
        11: (TType.STRUCT, "handover", HandoverRequest, False),
        12: (TType.STRUCT, "done", Done, False),
        13: (TType.STRUCT, "hello", Hello, False),
        60: (TType.STRUCT, "key_claim", KeyClaimRequest, False),
        61: (TType.STRUCT, "key_claim_reply", KeyClaimReply, False),
        40: (TType.STRUCT, "claims", ClaimsRequest, False),
        41: (TType.STRUCT, "claims_reply", ClaimsReply, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("call_id", None),
        ("is_reply", None),
        ("heartbeat", None),
        ("heartbeat_ack", None),
        ("reserve", None),
        ("reserve_reply", None),
        ("release", None),
        ("progress", None),
        ("state_request", None),
        ("state_reply", None),
        ("handover", None),
        ("done", None),
        ("hello", None),
        ("key_claim", None),
        ("key_claim_reply", None),
        ("claims", None),
        ("claims_reply", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "call_id": Description(
            text="Pairs a reply with its call; 0 for messages without a reply.",
            options={},
        ),
        "is_reply": Description(text="", options={}),
        "heartbeat": Description(text="", options={}),
        "heartbeat_ack": Description(text="", options={}),
        "reserve": Description(text="", options={}),
        "reserve_reply": Description(text="", options={}),
        "release": Description(text="", options={}),
        "progress": Description(text="", options={}),
        "state_request": Description(text="", options={}),
        "state_reply": Description(text="", options={}),
        "handover": Description(text="", options={}),
        "done": Description(text="", options={}),
        "hello": Description(text="", options={}),
        "key_claim": Description(text="", options={}),
        "key_claim_reply": Description(text="", options={}),
        "claims": Description(text="", options={}),
        "claims_reply": Description(text="", options={}),
    }


__all__ = [
    "AttemptId",
    "CLAIMACTION_INFO",
    "CLAIMVERDICT_INFO",
    "ClaimAction",
    "ClaimVerdict",
    "ClaimsReply",
    "ClaimsRequest",
    "Done",
    "ENDPOINTPHASE_INFO",
    "EndpointHint",
    "EndpointPhase",
    "Envelope",
    "HandoverRequest",
    "Heartbeat",
    "HeartbeatAck",
    "Hello",
    "KeyClaimReply",
    "KeyClaimRequest",
    "LENGTHCLASS_INFO",
    "LengthClass",
    "ProgressRequest",
    "ReleaseRequest",
    "ReserveReply",
    "ReserveRequest",
    "RunningWork",
    "StateReply",
    "StateRequest",
    "Strike",
    "TeamUsage",
]
