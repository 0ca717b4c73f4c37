"""Settings of the daemon, one struct for each section of the INI file.

Generated from schema/settings.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct


class DaemonSettings(Struct):
    """Identity of this daemon."""

    __slots__ = (
        "instance",
        "seed",
        "stop_grace_s",
        "zone",
    )

    instance: str
    zone: str
    seed: int
    stop_grace_s: float

    def __init__(
        self,
        *,
        instance: str = "",
        zone: str = "",
        seed: int = 0,
        stop_grace_s: float = 0.0,
    ) -> None:
        self.instance = instance
        self.zone = zone
        self.seed = seed
        self.stop_grace_s = stop_grace_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "instance", False),
        2: (TType.STRING, "zone", False),
        3: (TType.I64, "seed", False),
        4: (TType.DOUBLE, "stop_grace_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("instance", None),
        ("zone", None),
        ("seed", None),
        ("stop_grace_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "instance": Description(
            text="Name of the instance the daemon runs on.",
            options={"required": ""},
        ),
        "zone": Description(
            text="Availability zone of the instance.", options={"required": ""}
        ),
        "seed": Description(
            text="Seed of the daemon's random number generator; 0 uses a seed from the operating system.",
            options={"min": "0"},
        ),
        "stop_grace_s": Description(
            text="Time within which the daemon exits after a stop signal, cutting off what is left; 0 waits for every request.",
            options={"unit": "seconds", "min": "0", "max": "86400"},
        ),
    }


class CallersSettings(Struct):
    """The listener for callers."""

    __slots__ = (
        "host",
        "max_body_bytes",
        "max_deadline_s",
        "max_header_bytes",
        "port",
        "slow_caller_timeout_s",
        "stream_buffer_bytes",
    )

    host: str
    port: int
    max_body_bytes: int
    max_header_bytes: int
    max_deadline_s: float
    stream_buffer_bytes: int
    slow_caller_timeout_s: float

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 8080,
        max_body_bytes: int = 16777216,
        max_header_bytes: int = 16384,
        max_deadline_s: float = 7200.0,
        stream_buffer_bytes: int = 65536,
        slow_caller_timeout_s: float = 30.0,
    ) -> None:
        self.host = host
        self.port = port
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes
        self.max_deadline_s = max_deadline_s
        self.stream_buffer_bytes = stream_buffer_bytes
        self.slow_caller_timeout_s = slow_caller_timeout_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "host", False),
        2: (TType.I32, "port", False),
        3: (TType.I64, "max_body_bytes", False),
        4: (TType.I32, "max_header_bytes", False),
        5: (TType.DOUBLE, "max_deadline_s", False),
        6: (TType.I64, "stream_buffer_bytes", False),
        7: (TType.DOUBLE, "slow_caller_timeout_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("host", None),
        ("port", None),
        ("max_body_bytes", None),
        ("max_header_bytes", None),
        ("max_deadline_s", None),
        ("stream_buffer_bytes", None),
        ("slow_caller_timeout_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "host": Description(text="IP address to listen on.", options={}),
        "port": Description(
            text="TCP port to listen on.", options={"min": "0", "max": "65535"}
        ),
        "max_body_bytes": Description(
            text="Largest size of a request body.",
            options={"unit": "bytes", "min": "1024", "max": "67108864"},
        ),
        "max_header_bytes": Description(
            text="Largest total size of the request headers.",
            options={"unit": "bytes", "min": "1024", "max": "65536"},
        ),
        "max_deadline_s": Description(
            text="Longest deadline that a caller may request.",
            options={"unit": "seconds", "min": "1", "max": "86400"},
        ),
        "stream_buffer_bytes": Description(
            text="Bytes of an answer buffered for a slow caller before the stream is paused.",
            options={"unit": "bytes", "min": "1024", "max": "16777216"},
        ),
        "slow_caller_timeout_s": Description(
            text="Longest time that a caller may leave its answer unread.",
            options={"unit": "seconds", "min": "1", "max": "600"},
        ),
    }


class OperatorsSettings(Struct):
    """The listener for operators."""

    __slots__ = (
        "host",
        "key_file",
        "port",
    )

    host: str
    port: int
    key_file: str

    def __init__(
        self, *, host: str = "127.0.0.1", port: int = 8081, key_file: str = ""
    ) -> None:
        self.host = host
        self.port = port
        self.key_file = key_file

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "host", False),
        2: (TType.I32, "port", False),
        3: (TType.STRING, "key_file", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("host", None),
        ("port", None),
        ("key_file", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "host": Description(text="IP address to listen on.", options={}),
        "port": Description(
            text="TCP port to listen on.", options={"min": "0", "max": "65535"}
        ),
        "key_file": Description(
            text='File with the operator keys, one on each line as "name:key"; empty rejects all operator calls except health and metrics.',
            options={"secret-file": ""},
        ),
    }


class PeersSettings(Struct):
    """The listener for other daemons."""

    __slots__ = (
        "call_timeout_s",
        "host",
        "key_file",
        "max_calls",
        "max_frame_bytes",
        "max_unsent_bytes",
        "port",
    )

    host: str
    port: int
    key_file: str
    max_frame_bytes: int
    call_timeout_s: float
    max_unsent_bytes: int
    max_calls: int

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 8082,
        key_file: str = "",
        max_frame_bytes: int = 4194304,
        call_timeout_s: float = 1.0,
        max_unsent_bytes: int = 1048576,
        max_calls: int = 1024,
    ) -> None:
        self.host = host
        self.port = port
        self.key_file = key_file
        self.max_frame_bytes = max_frame_bytes
        self.call_timeout_s = call_timeout_s
        self.max_unsent_bytes = max_unsent_bytes
        self.max_calls = max_calls

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "host", False),
        2: (TType.I32, "port", False),
        3: (TType.STRING, "key_file", False),
        4: (TType.I32, "max_frame_bytes", False),
        5: (TType.DOUBLE, "call_timeout_s", False),
        30: (TType.I64, "max_unsent_bytes", False),
        31: (TType.I32, "max_calls", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("host", None),
        ("port", None),
        ("key_file", None),
        ("max_frame_bytes", None),
        ("call_timeout_s", None),
        ("max_unsent_bytes", None),
        ("max_calls", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "host": Description(
            text="IP address to listen on, at which peers reach the daemon.",
            options={},
        ),
        "port": Description(
            text="TCP port to listen on.", options={"min": "0", "max": "65535"}
        ),
        "key_file": Description(
            text="File with the key that authenticates daemons to each other.",
            options={"secret-file": "", "required": ""},
        ),
        "max_frame_bytes": Description(
            text="Largest size of a frame.",
            options={"unit": "bytes", "min": "4096", "max": "16777216"},
        ),
        "call_timeout_s": Description(
            text="Time to wait for a peer's reply.",
            options={"unit": "seconds", "min": "0.01", "max": "60"},
        ),
        "max_unsent_bytes": Description(
            text="Unsent bytes above which a connection to a peer that does not read is dropped.",
            options={"unit": "bytes", "min": "65536", "max": "67108864"},
        ),
        "max_calls": Description(
            text="Maximum calls of one peer in progress; further calls are read when one has ended.",
            options={"min": "16", "max": "65536"},
        ),
    }


class PlatformSettings(Struct):
    """The platform's object store."""

    __slots__ = (
        "call_timeout_s",
        "calls_per_second",
        "claim_retention_s",
        "claim_shards",
        "claim_split_bytes",
        "fleet_reads_per_second",
        "fleet_writes_per_second",
        "max_concurrency",
        "max_value_bytes",
        "url",
        "watch_timeout_s",
    )

    url: str
    call_timeout_s: float
    watch_timeout_s: float
    max_concurrency: int
    calls_per_second: float
    max_value_bytes: int
    claim_shards: int
    claim_retention_s: float
    claim_split_bytes: int
    fleet_reads_per_second: float
    fleet_writes_per_second: float

    def __init__(
        self,
        *,
        url: str = "",
        call_timeout_s: float = 2.0,
        watch_timeout_s: float = 30.0,
        max_concurrency: int = 8,
        calls_per_second: float = 40.0,
        max_value_bytes: int = 1000000,
        claim_shards: int = 16,
        claim_retention_s: float = 86400.0,
        claim_split_bytes: int = 131072,
        fleet_reads_per_second: float = 1500.0,
        fleet_writes_per_second: float = 250.0,
    ) -> None:
        self.url = url
        self.call_timeout_s = call_timeout_s
        self.watch_timeout_s = watch_timeout_s
        self.max_concurrency = max_concurrency
        self.calls_per_second = calls_per_second
        self.max_value_bytes = max_value_bytes
        self.claim_shards = claim_shards
        self.claim_retention_s = claim_retention_s
        self.claim_split_bytes = claim_split_bytes
        self.fleet_reads_per_second = fleet_reads_per_second
        self.fleet_writes_per_second = fleet_writes_per_second

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "url", False),
        2: (TType.DOUBLE, "call_timeout_s", False),
        3: (TType.DOUBLE, "watch_timeout_s", False),
        4: (TType.I32, "max_concurrency", False),
        5: (TType.DOUBLE, "calls_per_second", False),
        6: (TType.I64, "max_value_bytes", False),
        7: (TType.I32, "claim_shards", False),
        8: (TType.DOUBLE, "claim_retention_s", False),
        60: (TType.I64, "claim_split_bytes", False),
        61: (TType.DOUBLE, "fleet_reads_per_second", False),
        62: (TType.DOUBLE, "fleet_writes_per_second", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("url", None),
        ("call_timeout_s", None),
        ("watch_timeout_s", None),
        ("max_concurrency", None),
        ("calls_per_second", None),
        ("max_value_bytes", None),
        ("claim_shards", None),
        ("claim_retention_s", None),
        ("claim_split_bytes", None),
        ("fleet_reads_per_second", None),
        ("fleet_writes_per_second", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "url": Description(
            text="Base URL of the object API.", options={"required": ""}
        ),
        "call_timeout_s": Description(
            text="Timeout of one call.",
            options={"unit": "seconds", "min": "0.05", "max": "60"},
        ),
        "watch_timeout_s": Description(
            text="Longest wait of one watch call.",
            options={"unit": "seconds", "min": "1", "max": "300"},
        ),
        "max_concurrency": Description(
            text="Calls in flight at one time.",
            options={"min": "1", "max": "1000"},
        ),
        "calls_per_second": Description(
            text="Maximum reads per second, and maximum writes per second, of this daemon.",
            options={"unit": "calls/s", "min": "0.1", "max": "1000"},
        ),
        "max_value_bytes": Description(
            text="Largest size of a stored value.",
            options={"unit": "bytes", "min": "1024", "max": "16777216"},
        ),
        "claim_shards": Description(
            text="Initial number of shards of the idempotency claims; a number already in the store takes precedence.",
            options={"min": "1", "max": "4096"},
        ),
        "claim_retention_s": Description(
            text="Time that an idempotency claim is kept after its request's deadline.",
            options={"unit": "seconds", "min": "1", "max": "2592000"},
        ),
        "claim_split_bytes": Description(
            text="Size at which a shard of claims is split into two.",
            options={"unit": "bytes", "min": "1024", "max": "1000000"},
        ),
        "fleet_reads_per_second": Description(
            text="Reads per second that all daemons together may make, waiting watches included.",
            options={"unit": "calls/s", "min": "1", "max": "100000"},
        ),
        "fleet_writes_per_second": Description(
            text="Writes per second that all daemons together may make.",
            options={"unit": "calls/s", "min": "1", "max": "100000"},
        ),
    }


class MembersSettings(Struct):
    """Membership of the daemons."""

    __slots__ = (
        "heartbeat_interval_s",
        "instances_lag_s",
        "isolated_after_s",
        "remove_after_s",
        "reservation_ttl_s",
        "seeds",
        "strict_lease_s",
        "suspect_after_s",
    )

    heartbeat_interval_s: float
    suspect_after_s: float
    remove_after_s: float
    strict_lease_s: float
    reservation_ttl_s: float
    isolated_after_s: float
    seeds: str
    instances_lag_s: float

    def __init__(
        self,
        *,
        heartbeat_interval_s: float = 0.5,
        suspect_after_s: float = 2.0,
        remove_after_s: float = 10.0,
        strict_lease_s: float = 3.0,
        reservation_ttl_s: float = 1.0,
        isolated_after_s: float = 3.0,
        seeds: str = "",
        instances_lag_s: float = 10.0,
    ) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.suspect_after_s = suspect_after_s
        self.remove_after_s = remove_after_s
        self.strict_lease_s = strict_lease_s
        self.reservation_ttl_s = reservation_ttl_s
        self.isolated_after_s = isolated_after_s
        self.seeds = seeds
        self.instances_lag_s = instances_lag_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.DOUBLE, "heartbeat_interval_s", False),
        2: (TType.DOUBLE, "suspect_after_s", False),
        3: (TType.DOUBLE, "remove_after_s", False),
        4: (TType.DOUBLE, "strict_lease_s", False),
        5: (TType.DOUBLE, "reservation_ttl_s", False),
        6: (TType.DOUBLE, "isolated_after_s", False),
        7: (TType.STRING, "seeds", False),
        30: (TType.DOUBLE, "instances_lag_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("heartbeat_interval_s", None),
        ("suspect_after_s", None),
        ("remove_after_s", None),
        ("strict_lease_s", None),
        ("reservation_ttl_s", None),
        ("isolated_after_s", None),
        ("seeds", None),
        ("instances_lag_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "heartbeat_interval_s": Description(
            text="Time between two heartbeats to one peer.",
            options={"unit": "seconds", "min": "0.05", "max": "10"},
        ),
        "suspect_after_s": Description(
            text="Time without messages after which a peer is excluded from routing.",
            options={"unit": "seconds", "min": "0.1", "max": "60"},
        ),
        "remove_after_s": Description(
            text="Time without messages after which a member is removed from the roster.",
            options={"unit": "seconds", "min": "1", "max": "600"},
        ),
        "strict_lease_s": Description(
            text="Age up to which acknowledgements of a majority keep ownership leases valid.",
            options={"unit": "seconds", "min": "0.5", "max": "60"},
        ),
        "reservation_ttl_s": Description(
            text="Time after its request within which a reservation must be used.",
            options={"unit": "seconds", "min": "0.1", "max": "60"},
        ),
        "isolated_after_s": Description(
            text="Time without contact to the platform and to peers after which new work is refused.",
            options={"unit": "seconds", "min": "0.5", "max": "60"},
        ),
        "seeds": Description(
            text='Addresses of daemons to contact when the platform does not respond, as "host:port, host:port".',
            options={},
        ),
        "instances_lag_s": Description(
            text="Maximum lag of the platform's list of instances.",
            options={"unit": "seconds", "min": "0", "max": "600"},
        ),
    }


class RoutingSettings(Struct):
    """Length classes, queues and retries."""

    __slots__ = (
        "aging_s",
        "bytes_per_token",
        "default_answer_tokens",
        "medium_max_tokens",
        "policy",
        "retry_budget_floor",
        "retry_budget_share",
        "short_max_tokens",
        "short_memory_share",
        "strike_retention_s",
    )

    short_max_tokens: int
    medium_max_tokens: int
    bytes_per_token: float
    default_answer_tokens: int
    retry_budget_share: float
    retry_budget_floor: int
    short_memory_share: float
    policy: str
    aging_s: float
    strike_retention_s: float

    def __init__(
        self,
        *,
        short_max_tokens: int = 8000,
        medium_max_tokens: int = 100000,
        bytes_per_token: float = 4.0,
        default_answer_tokens: int = 256,
        retry_budget_share: float = 0.1,
        retry_budget_floor: int = 10,
        short_memory_share: float = 0.1,
        policy: str = "owner",
        aging_s: float = 60.0,
        strike_retention_s: float = 900.0,
    ) -> None:
        self.short_max_tokens = short_max_tokens
        self.medium_max_tokens = medium_max_tokens
        self.bytes_per_token = bytes_per_token
        self.default_answer_tokens = default_answer_tokens
        self.retry_budget_share = retry_budget_share
        self.retry_budget_floor = retry_budget_floor
        self.short_memory_share = short_memory_share
        self.policy = policy
        self.aging_s = aging_s
        self.strike_retention_s = strike_retention_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.I64, "short_max_tokens", False),
        2: (TType.I64, "medium_max_tokens", False),
        3: (TType.DOUBLE, "bytes_per_token", False),
        4: (TType.I32, "default_answer_tokens", False),
        5: (TType.DOUBLE, "retry_budget_share", False),
        6: (TType.I32, "retry_budget_floor", False),
        7: (TType.DOUBLE, "short_memory_share", False),
        8: (TType.STRING, "policy", False),
        9: (TType.DOUBLE, "aging_s", False),
        10: (TType.DOUBLE, "strike_retention_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("short_max_tokens", None),
        ("medium_max_tokens", None),
        ("bytes_per_token", None),
        ("default_answer_tokens", None),
        ("retry_budget_share", None),
        ("retry_budget_floor", None),
        ("short_memory_share", None),
        ("policy", None),
        ("aging_s", None),
        ("strike_retention_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "short_max_tokens": Description(
            text="Prompts up to this many tokens are short.",
            options={"unit": "tokens", "min": "1"},
        ),
        "medium_max_tokens": Description(
            text="Prompts up to this many tokens are medium; larger ones are long.",
            options={"unit": "tokens", "min": "1"},
        ),
        "bytes_per_token": Description(
            text="Bytes of text counted as one token.",
            options={"unit": "bytes", "min": "1", "max": "16"},
        ),
        "default_answer_tokens": Description(
            text="Answer tokens assumed when the caller specifies none.",
            options={"unit": "tokens", "min": "1"},
        ),
        "retry_budget_share": Description(
            text="Retries allowed as a share of admitted requests.",
            options={"min": "0", "max": "1"},
        ),
        "retry_budget_floor": Description(
            text="Retries allowed in addition to the share.",
            options={"min": "0", "max": "1000"},
        ),
        "short_memory_share": Description(
            text="Share of each endpoint's memory reserved for short requests.",
            options={"min": "0", "max": "0.9"},
        ),
        "policy": Description(
            text="Policy that selects a request's endpoint.",
            options={"choices": "owner,two-choices"},
        ),
        "aging_s": Description(
            text="Queueing time after which a long request is as urgent as a short one.",
            options={"unit": "seconds", "min": "1"},
        ),
        "strike_retention_s": Description(
            text="Time for which crash strikes are kept.",
            options={"unit": "seconds", "min": "1"},
        ),
    }


class EndpointsSettings(Struct):
    """How endpoints are called and observed."""

    __slots__ = (
        "connect_timeout_s",
        "down_after_failures",
        "instances_interval_s",
        "load_interval_s",
        "load_lag_s",
        "orphan_interval_s",
        "slow_first_token_ratio",
        "stream_idle_timeout_s",
        "weight_loads_per_second",
        "weight_store_url",
    )

    connect_timeout_s: float
    load_interval_s: float
    stream_idle_timeout_s: float
    down_after_failures: int
    orphan_interval_s: float
    load_lag_s: float
    weight_store_url: str
    weight_loads_per_second: float
    slow_first_token_ratio: float
    instances_interval_s: float

    def __init__(
        self,
        *,
        connect_timeout_s: float = 2.0,
        load_interval_s: float = 1.0,
        stream_idle_timeout_s: float = 30.0,
        down_after_failures: int = 3,
        orphan_interval_s: float = 2.0,
        load_lag_s: float = 1.0,
        weight_store_url: str = "",
        weight_loads_per_second: float = 0.4,
        slow_first_token_ratio: float = 8.0,
        instances_interval_s: float = 1.0,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.load_interval_s = load_interval_s
        self.stream_idle_timeout_s = stream_idle_timeout_s
        self.down_after_failures = down_after_failures
        self.orphan_interval_s = orphan_interval_s
        self.load_lag_s = load_lag_s
        self.weight_store_url = weight_store_url
        self.weight_loads_per_second = weight_loads_per_second
        self.slow_first_token_ratio = slow_first_token_ratio
        self.instances_interval_s = instances_interval_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.DOUBLE, "connect_timeout_s", False),
        2: (TType.DOUBLE, "load_interval_s", False),
        3: (TType.DOUBLE, "stream_idle_timeout_s", False),
        4: (TType.I32, "down_after_failures", False),
        40: (TType.DOUBLE, "orphan_interval_s", False),
        41: (TType.DOUBLE, "load_lag_s", False),
        42: (TType.STRING, "weight_store_url", False),
        43: (TType.DOUBLE, "weight_loads_per_second", False),
        44: (TType.DOUBLE, "slow_first_token_ratio", False),
        45: (TType.DOUBLE, "instances_interval_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("connect_timeout_s", None),
        ("load_interval_s", None),
        ("stream_idle_timeout_s", None),
        ("down_after_failures", None),
        ("orphan_interval_s", None),
        ("load_lag_s", None),
        ("weight_store_url", None),
        ("weight_loads_per_second", None),
        ("slow_first_token_ratio", None),
        ("instances_interval_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "connect_timeout_s": Description(
            text="Timeout for opening a connection.",
            options={"unit": "seconds", "min": "0.05", "max": "60"},
        ),
        "load_interval_s": Description(
            text="Time between two load reports of one endpoint.",
            options={"unit": "seconds", "min": "0.1", "max": "60"},
        ),
        "stream_idle_timeout_s": Description(
            text="Idle time after which a stream counts as broken.",
            options={"unit": "seconds", "min": "0.5", "max": "600"},
        ),
        "down_after_failures": Description(
            text="Consecutive load reports without a reply after which an endpoint counts as down.",
            options={"min": "1", "max": "100"},
        ),
        "orphan_interval_s": Description(
            text="Time between two comparisons of an engine's streams and KV caches with what daemons report.",
            options={"unit": "seconds", "min": "0.5", "max": "600"},
        ),
        "load_lag_s": Description(
            text="Maximum lag of the lists that an engine reports.",
            options={"unit": "seconds", "min": "0", "max": "60"},
        ),
        "weight_store_url": Description(
            text="Base URL of the weight store; empty disables admission of model loads.",
            options={},
        ),
        "weight_loads_per_second": Description(
            text="Model loads per second that all daemons together may start.",
            options={"unit": "loads/s", "min": "0.001", "max": "1000"},
        ),
        "slow_first_token_ratio": Description(
            text="Multiple of the endpoint's baseline ratio of measured to expected time to first token above which a first token counts as slow.",
            options={"min": "2", "max": "1000"},
        ),
        "instances_interval_s": Description(
            text="Time between two reads of the platform's instance list by one daemon.",
            options={"unit": "seconds", "min": "0.2", "max": "60"},
        ),
    }


class LogSettings(Struct):
    """Structured logs."""

    __slots__ = ("level",)

    level: str

    def __init__(self, *, level: str = "info") -> None:
        self.level = level

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "level", False)
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [("level", None)]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "level": Description(
            text="Lowest level that is logged.",
            options={"choices": "debug,info,warning,error"},
        ),
    }


class Settings(Struct):
    """All sections of the settings file."""

    __slots__ = (
        "callers",
        "daemon",
        "endpoints",
        "log",
        "members",
        "operators",
        "peers",
        "platform",
        "routing",
    )

    daemon: DaemonSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    members: MembersSettings
    routing: RoutingSettings
    endpoints: EndpointsSettings
    log: LogSettings

    def __init__(
        self,
        *,
        daemon: DaemonSettings | None = None,
        callers: CallersSettings | None = None,
        operators: OperatorsSettings | None = None,
        peers: PeersSettings | None = None,
        platform: PlatformSettings | None = None,
        members: MembersSettings | None = None,
        routing: RoutingSettings | None = None,
        endpoints: EndpointsSettings | None = None,
        log: LogSettings | None = None,
    ) -> None:
        self.daemon = DaemonSettings() if daemon is None else daemon
        self.callers = CallersSettings() if callers is None else callers
        self.operators = OperatorsSettings() if operators is None else operators
        self.peers = PeersSettings() if peers is None else peers
        self.platform = PlatformSettings() if platform is None else platform
        self.members = MembersSettings() if members is None else members
        self.routing = RoutingSettings() if routing is None else routing
        self.endpoints = EndpointsSettings() if endpoints is None else endpoints
        self.log = LogSettings() if log is None else log

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRUCT, "daemon", DaemonSettings, False),
        2: (TType.STRUCT, "callers", CallersSettings, False),
        3: (TType.STRUCT, "operators", OperatorsSettings, False),
        4: (TType.STRUCT, "peers", PeersSettings, False),
        5: (TType.STRUCT, "platform", PlatformSettings, False),
        6: (TType.STRUCT, "members", MembersSettings, False),
        7: (TType.STRUCT, "routing", RoutingSettings, False),
        8: (TType.STRUCT, "endpoints", EndpointsSettings, False),
        9: (TType.STRUCT, "log", LogSettings, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("daemon", None),
        ("callers", None),
        ("operators", None),
        ("peers", None),
        ("platform", None),
        ("members", None),
        ("routing", None),
        ("endpoints", None),
        ("log", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "daemon": Description(text="", options={}),
        "callers": Description(text="", options={}),
        "operators": Description(text="", options={}),
        "peers": Description(text="", options={}),
        "platform": Description(text="", options={}),
        "members": Description(text="", options={}),
        "routing": Description(text="", options={}),
        "endpoints": Description(text="", options={}),
        "log": Description(text="", options={}),
    }


__all__ = [
    "CallersSettings",
    "DaemonSettings",
    "EndpointsSettings",
    "LogSettings",
    "MembersSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "RoutingSettings",
    "Settings",
]
