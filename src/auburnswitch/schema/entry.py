"""Settings of the entry daemon, one struct for each section of the INI file.

Generated from schema/entry.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct


class InstanceSettings(Struct):
    """Identity of this daemon."""

    __slots__ = (
        "link_mbps",
        "name",
        "zone",
    )

    name: str
    zone: str
    link_mbps: float

    def __init__(
        self, *, name: str = "", zone: str = "", link_mbps: float = 100.0
    ) -> None:
        self.name = name
        self.zone = zone
        self.link_mbps = link_mbps

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "name", False),
        2: (TType.STRING, "zone", False),
        3: (TType.DOUBLE, "link_mbps", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("name", None),
        ("zone", None),
        ("link_mbps", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "name": Description(
            text="Name of the instance the daemon runs on.",
            options={"required": ""},
        ),
        "zone": Description(
            text="Availability zone of the instance.", options={"required": ""}
        ),
        "link_mbps": Description(
            text="Bandwidth of the instance's network link.",
            options={"unit": "Mbit/s", "min": "0.1"},
        ),
    }


class ListenSettings(Struct):
    """Addresses the daemon listens on."""

    __slots__ = (
        "callers",
        "metrics",
        "peer_host",
        "peer_port",
        "readiness",
    )

    callers: str
    readiness: str
    peer_host: str
    peer_port: int
    metrics: str

    def __init__(
        self,
        *,
        callers: str = "",
        readiness: str = "",
        peer_host: str = "",
        peer_port: int = 0,
        metrics: str = "",
    ) -> None:
        self.callers = callers
        self.readiness = readiness
        self.peer_host = peer_host
        self.peer_port = peer_port
        self.metrics = metrics

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "callers", False),
        2: (TType.STRING, "readiness", False),
        3: (TType.STRING, "peer_host", False),
        4: (TType.I32, "peer_port", False),
        5: (TType.STRING, "metrics", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("callers", None),
        ("readiness", None),
        ("peer_host", None),
        ("peer_port", None),
        ("metrics", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "callers": Description(
            text="Address for callers, as host:port.", options={"required": ""}
        ),
        "readiness": Description(
            text="Address for the readiness check, as host:port.",
            options={"required": ""},
        ),
        "peer_host": Description(
            text="IP address at which peers reach the daemon.",
            options={"required": ""},
        ),
        "peer_port": Description(
            text="UDP and TCP port for peers.",
            options={"min": "1", "max": "65535", "required": ""},
        ),
        "metrics": Description(
            text="Address that serves the metrics, as host:port; empty disables them.",
            options={},
        ),
    }


class StoreSettings(Struct):
    """The platform's object store."""

    __slots__ = (
        "address",
        "call_timeout_s",
        "peer_read_max_age_s",
        "probe_interval_s",
        "readers",
        "watch_wait_s",
    )

    address: str
    call_timeout_s: float
    watch_wait_s: float
    readers: int
    peer_read_max_age_s: float
    probe_interval_s: float

    def __init__(
        self,
        *,
        address: str = "",
        call_timeout_s: float = 0.8,
        watch_wait_s: float = 15.0,
        readers: int = 3,
        peer_read_max_age_s: float = 1.5,
        probe_interval_s: float = 2.0,
    ) -> None:
        self.address = address
        self.call_timeout_s = call_timeout_s
        self.watch_wait_s = watch_wait_s
        self.readers = readers
        self.peer_read_max_age_s = peer_read_max_age_s
        self.probe_interval_s = probe_interval_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "address", False),
        2: (TType.DOUBLE, "call_timeout_s", False),
        3: (TType.DOUBLE, "watch_wait_s", False),
        4: (TType.I32, "readers", False),
        5: (TType.DOUBLE, "peer_read_max_age_s", False),
        6: (TType.DOUBLE, "probe_interval_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("address", None),
        ("call_timeout_s", None),
        ("watch_wait_s", None),
        ("readers", None),
        ("peer_read_max_age_s", None),
        ("probe_interval_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "address": Description(
            text="Address as host:port.", options={"required": ""}
        ),
        "call_timeout_s": Description(
            text="Time to wait for the reply of a call, in addition to the wait that the call itself requests.",
            options={"unit": "seconds", "min": "0.05", "max": "60"},
        ),
        "watch_wait_s": Description(
            text="Longest wait of one watch call.",
            options={"unit": "seconds", "min": "0.1", "max": "30"},
        ),
        "readers": Description(
            text="Number of daemons that read the store for their peers.",
            options={"min": "1", "max": "1000"},
        ),
        "peer_read_max_age_s": Description(
            text="Age of the peers' newest read above which a daemon reads the store itself.",
            options={"unit": "seconds", "min": "0.1", "max": "60"},
        ),
        "probe_interval_s": Description(
            text="Interval of the calls that check, while a watch waits, that the store answers and that the watch has missed nothing.",
            options={"unit": "seconds", "min": "0.1", "max": "30"},
        ),
    }


class BoundSettings(Struct):
    """Limits of the installation that bound the guarantees to callers and operators."""

    __slots__ = (
        "cold_extra",
        "cold_ratio",
        "endpoint_heartbeat_ms",
        "lapsed_entry_grace_s",
        "refuse_crashing_parts",
        "reservation_max_ms",
        "retry_extra",
        "retry_ratio",
        "retry_window_s",
        "stop_grace_s",
    )

    stop_grace_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    cold_ratio: float
    cold_extra: float
    lapsed_entry_grace_s: float
    reservation_max_ms: float
    refuse_crashing_parts: bool
    endpoint_heartbeat_ms: float

    def __init__(
        self,
        *,
        stop_grace_s: float = 8.0,
        retry_ratio: float = 0.2,
        retry_extra: float = 100.0,
        retry_window_s: float = 10.0,
        cold_ratio: float = 1.0,
        cold_extra: float = 0.0,
        lapsed_entry_grace_s: float = 2.0,
        reservation_max_ms: float = 20000.0,
        refuse_crashing_parts: bool = True,
        endpoint_heartbeat_ms: float = 1200.0,
    ) -> None:
        self.stop_grace_s = stop_grace_s
        self.retry_ratio = retry_ratio
        self.retry_extra = retry_extra
        self.retry_window_s = retry_window_s
        self.cold_ratio = cold_ratio
        self.cold_extra = cold_extra
        self.lapsed_entry_grace_s = lapsed_entry_grace_s
        self.reservation_max_ms = reservation_max_ms
        self.refuse_crashing_parts = refuse_crashing_parts
        self.endpoint_heartbeat_ms = endpoint_heartbeat_ms

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.DOUBLE, "stop_grace_s", False),
        2: (TType.DOUBLE, "retry_ratio", False),
        3: (TType.DOUBLE, "retry_extra", False),
        4: (TType.DOUBLE, "retry_window_s", False),
        5: (TType.DOUBLE, "cold_ratio", False),
        6: (TType.DOUBLE, "cold_extra", False),
        7: (TType.DOUBLE, "lapsed_entry_grace_s", False),
        8: (TType.DOUBLE, "reservation_max_ms", False),
        9: (TType.BOOL, "refuse_crashing_parts", False),
        10: (TType.DOUBLE, "endpoint_heartbeat_ms", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("stop_grace_s", None),
        ("retry_ratio", None),
        ("retry_extra", None),
        ("retry_window_s", None),
        ("cold_ratio", None),
        ("cold_extra", None),
        ("lapsed_entry_grace_s", None),
        ("reservation_max_ms", None),
        ("refuse_crashing_parts", None),
        ("endpoint_heartbeat_ms", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "stop_grace_s": Description(
            text="Time within which a stopping daemon must exit.",
            options={"unit": "seconds", "min": "1", "max": "600"},
        ),
        "retry_ratio": Description(
            text="Retries allowed as a share of a service's requests.",
            options={"min": "0", "max": "1"},
        ),
        "retry_extra": Description(
            text="Retries that all daemons together may make in one window in addition to that share.",
            options={"min": "0", "max": "100000"},
        ),
        "retry_window_s": Description(
            text="Length of the retry window.",
            options={"unit": "seconds", "min": "1", "max": "600"},
        ),
        "cold_ratio": Description(
            text="Requests per second that a cold endpoint may receive, as a ratio of the rate stated for its service.",
            options={"min": "0.1", "max": "100"},
        ),
        "cold_extra": Description(
            text="Requests per second that a cold endpoint may receive in addition to that ratio.",
            options={"min": "0", "max": "1000"},
        ),
        "lapsed_entry_grace_s": Description(
            text="Time for which endpoint entries may be missing after the store has recovered.",
            options={"unit": "seconds", "min": "0", "max": "60"},
        ),
        "reservation_max_ms": Description(
            text="Longest time for which memory is reserved at an engine.",
            options={"unit": "milliseconds", "min": "100", "max": "600000"},
        ),
        "refuse_crashing_parts": Description(
            text="Refuse requests with prompt parts that crash endpoints. If not, such parts are still found, logged and told to peers.",
            options={},
        ),
        "endpoint_heartbeat_ms": Description(
            text="Interval at which endpoints renew their entries.",
            options={"unit": "milliseconds", "min": "10", "max": "600000"},
        ),
    }


class EntryLogSettings(Struct):
    """Structured logs."""

    __slots__ = (
        "level",
        "max_lines_per_s",
    )

    level: str
    max_lines_per_s: int

    def __init__(
        self, *, level: str = "info", max_lines_per_s: int = 200
    ) -> None:
        self.level = level
        self.max_lines_per_s = max_lines_per_s

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRING, "level", False),
        2: (TType.I32, "max_lines_per_s", False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("level", None),
        ("max_lines_per_s", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "level": Description(
            text="Lowest level that is logged.",
            options={"choices": "debug,info,warning,error"},
        ),
        "max_lines_per_s": Description(
            text="Maximum lines written per second; further lines are dropped and counted.",
            options={"min": "1", "max": "100000"},
        ),
    }


class EntrySettings(Struct):
    """All sections of the settings file."""

    __slots__ = (
        "bounds",
        "instance",
        "listen",
        "log",
        "store",
    )

    instance: InstanceSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    log: EntryLogSettings

    def __init__(
        self,
        *,
        instance: InstanceSettings | None = None,
        listen: ListenSettings | None = None,
        store: StoreSettings | None = None,
        bounds: BoundSettings | None = None,
        log: EntryLogSettings | None = None,
    ) -> None:
        self.instance = InstanceSettings() if instance is None else instance
        self.listen = ListenSettings() if listen is None else listen
        self.store = StoreSettings() if store is None else store
        self.bounds = BoundSettings() if bounds is None else bounds
        self.log = EntryLogSettings() if log is None else log

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {
        1: (TType.STRUCT, "instance", InstanceSettings, False),
        2: (TType.STRUCT, "listen", ListenSettings, False),
        3: (TType.STRUCT, "store", StoreSettings, False),
        4: (TType.STRUCT, "bounds", BoundSettings, False),
        5: (TType.STRUCT, "log", EntryLogSettings, False),
    }
    default_spec: ClassVar[list[tuple[str, Any]]] = [
        ("instance", None),
        ("listen", None),
        ("store", None),
        ("bounds", None),
        ("log", None),
    ]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]] = {}
    descriptions: ClassVar[dict[str, Description]] = {
        "instance": Description(text="", options={}),
        "listen": Description(text="", options={}),
        "store": Description(text="", options={}),
        "bounds": Description(text="", options={}),
        "log": Description(text="", options={}),
    }


__all__ = [
    "BoundSettings",
    "EntryLogSettings",
    "EntrySettings",
    "InstanceSettings",
    "ListenSettings",
    "StoreSettings",
]
