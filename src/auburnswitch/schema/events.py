"""Numbered log events.

Generated from schema/events.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct


class EventId(enum.IntEnum):
    """Generated from the schema."""

    DAEMON_STARTED = 100
    DAEMON_STOPPING = 101
    DAEMON_STOPPED = 102
    TASK_FAILED = 103
    REQUEST_FINISHED = 200
    REQUEST_FAILED = 201
    REQUEST_RETRIED = 202
    LATE_FRAME_DROPPED = 203
    PEER_CONNECTED = 300
    PEER_DISCONNECTED = 301
    PEER_FRAME_REJECTED = 302
    ROSTER_CHANGED = 303
    MEMBER_REMOVED = 304
    ISOLATED = 305
    ISOLATION_ENDED = 306
    STRICT_RIGHTS_WAITING = 330
    STRICT_RIGHTS_RESUMED = 331
    INSTANCE_NAME_SHARED = 332
    ITEM_NOT_ENCODED = 334
    PEER_STALLED = 333
    ENDPOINT_PHASE_CHANGED = 400
    ENDPOINT_UNREACHABLE = 401
    ORPHAN_FREED = 402
    CRASH_STRIKE = 403
    PARTS_SUSPECTED = 404
    PARTS_REFUSED = 405
    PARTS_CLEARED = 406
    PARTS_TRIED = 407
    CRASH_MEMORY_FULL = 408
    PARTS_NOT_STORED = 409
    ORDER_SENT = 440
    TICKET_ACCEPTED = 500
    TICKET_REFUSED = 501
    STATE_CHANGED = 502
    STORE_UNAVAILABLE = 600
    STORE_RECOVERED = 601
    WATCH_ANSWER_MISSED = 605
    STORE_RESTORED = 602
    DIRECTORY_RESTORED = 603
    SHARED_KEY_CHANGED = 604
    INVARIANT_VIOLATED = 900
    ENTRY_STARTED = 110
    ENTRY_STOPPING = 111
    ENTRY_STOPPED = 112
    SETTINGS_RELOADED = 113
    SETTINGS_REJECTED = 114
    ENTRY_DRAINED = 115
    ENTRY_LISTENER_CLOSED = 116
    ENTRY_REQUEST_ENDED = 210
    REQUEST_PLACED = 211
    FIRST_EVENT = 212
    MEMORY_RESERVED = 213
    MEMORY_NOT_RELEASED = 214
    REQUEST_UNFINISHED = 215
    ATTEMPT_FAILED = 216
    ENDPOINT_SILENT = 217
    ANSWER_END_UNCERTAIN = 218
    PEER_EXCHANGE_FAILED = 340
    DAEMON_RECORD_REJECTED = 341
    DIRECTORY_JOINED = 342
    DIRECTORY_FAILED = 343
    ENGINE_LOAD_DIFFERS = 453
    ENDPOINTS_ADOPTED = 454
    PEER_FORGOTTEN = 344
    ENDPOINT_ENTRY_CHANGED = 450
    ENDPOINT_ENTRY_REJECTED = 451
    ENDPOINT_SUSPECTED = 452
    ENDPOINT_MARKED = 455
    ENDPOINT_MARK_IDENTIFIED = 457
    ENDPOINT_MARK_ENDED = 456
    CONFIG_ADOPTED = 510
    CONFIG_REJECTED = 511
    CLOSED_ZONES_CHANGED = 512


EVENTID_INFO: Final = {
    EventId.DAEMON_STARTED: Description(
        text="The daemon has started and its listeners are open.",
        options={"level": "info"},
    ),
    EventId.DAEMON_STOPPING: Description(
        text="The daemon received a stop signal and refuses new work.",
        options={"level": "info"},
    ),
    EventId.DAEMON_STOPPED: Description(
        text="The daemon has finished its work and exits.",
        options={"level": "info"},
    ),
    EventId.TASK_FAILED: Description(
        text="A task of the daemon ended with an unexpected error.",
        options={"level": "error"},
    ),
    EventId.REQUEST_FINISHED: Description(
        text="A request was answered.", options={"level": "info"}
    ),
    EventId.REQUEST_FAILED: Description(
        text="A request was refused or failed.", options={"level": "info"}
    ),
    EventId.REQUEST_RETRIED: Description(
        text="After a failed attempt the request is sent to another endpoint.",
        options={"level": "info"},
    ),
    EventId.LATE_FRAME_DROPPED: Description(
        text="A frame of another attempt was dropped.",
        options={"level": "warning"},
    ),
    EventId.PEER_CONNECTED: Description(
        text="A peer connection was opened.", options={"level": "debug"}
    ),
    EventId.PEER_DISCONNECTED: Description(
        text="A peer connection was closed.", options={"level": "info"}
    ),
    EventId.PEER_FRAME_REJECTED: Description(
        text="A peer frame was rejected.", options={"level": "warning"}
    ),
    EventId.ROSTER_CHANGED: Description(
        text="The roster changed.", options={"level": "info"}
    ),
    EventId.MEMBER_REMOVED: Description(
        text="A member was removed from the roster.",
        options={"level": "warning"},
    ),
    EventId.ISOLATED: Description(
        text="This daemon is isolated and refuses new work.",
        options={"level": "error"},
    ),
    EventId.ISOLATION_ENDED: Description(
        text="This daemon is no longer isolated.", options={"level": "info"}
    ),
    EventId.STRICT_RIGHTS_WAITING: Description(
        text="Ownership leases are suspended: no majority of the roster acknowledges its epoch, and the unresponsive members cannot be shown to have terminated.",
        options={"level": "error"},
    ),
    EventId.STRICT_RIGHTS_RESUMED: Description(
        text="Ownership leases resume: a majority of the roster acknowledges its epoch again.",
        options={"level": "info"},
    ),
    EventId.INSTANCE_NAME_SHARED: Description(
        text="Another live daemon uses this daemon's instance name.",
        options={"level": "error"},
    ),
    EventId.ITEM_NOT_ENCODED: Description(
        text="Part of a message to peers could not be encoded and was left out.",
        options={"level": "error"},
    ),
    EventId.PEER_STALLED: Description(
        text="A peer does not read its messages; the connection is dropped.",
        options={"level": "warning"},
    ),
    EventId.ENDPOINT_PHASE_CHANGED: Description(
        text="The phase of an endpoint changed.", options={"level": "info"}
    ),
    EventId.ENDPOINT_UNREACHABLE: Description(
        text="A load report of an endpoint could not be read.",
        options={"level": "warning"},
    ),
    EventId.ORPHAN_FREED: Description(
        text="Orphaned memory of an endpoint was freed.",
        options={"level": "warning"},
    ),
    EventId.CRASH_STRIKE: Description(
        text="A request was in flight when its endpoint crashed.",
        options={"level": "warning"},
    ),
    EventId.PARTS_SUSPECTED: Description(
        text="Prompt parts are suspected of crashing endpoints; peers may object.",
        options={"level": "warning"},
    ),
    EventId.PARTS_REFUSED: Description(
        text="Requests with these prompt parts are refused, as they crash endpoints.",
        options={"level": "error"},
    ),
    EventId.PARTS_CLEARED: Description(
        text="Prompt parts are no longer refused or suspected.",
        options={"level": "info"},
    ),
    EventId.PARTS_TRIED: Description(
        text="A request with refused prompt parts is tried again.",
        options={"level": "warning"},
    ),
    EventId.CRASH_MEMORY_FULL: Description(
        text="A limit on what is remembered of crashes was reached; the oldest is forgotten.",
        options={"level": "warning"},
    ),
    EventId.PARTS_NOT_STORED: Description(
        text="A refusal of prompt parts could not be written to or read from the store.",
        options={"level": "warning"},
    ),
    EventId.ORDER_SENT: Description(
        text="An order was sent to an engine.", options={"level": "info"}
    ),
    EventId.TICKET_ACCEPTED: Description(
        text="A ticket was accepted.", options={"level": "info"}
    ),
    EventId.TICKET_REFUSED: Description(
        text="A ticket was refused.", options={"level": "warning"}
    ),
    EventId.STATE_CHANGED: Description(
        text="A newer configuration is in force in this daemon.",
        options={"level": "info"},
    ),
    EventId.STORE_UNAVAILABLE: Description(
        text="The platform's store does not respond.",
        options={"level": "warning"},
    ),
    EventId.STORE_RECOVERED: Description(
        text="The platform's store responds again.", options={"level": "info"}
    ),
    EventId.WATCH_ANSWER_MISSED: Description(
        text="A watch of the store has not returned a change; it was read otherwise.",
        options={"level": "warning"},
    ),
    EventId.STORE_RESTORED: Description(
        text="The platform's store came back from an older copy; what was read before is read again.",
        options={"level": "warning"},
    ),
    EventId.DIRECTORY_RESTORED: Description(
        text="Records of daemons or the shared key, lost with the store's last seconds, were written again.",
        options={"level": "warning"},
    ),
    EventId.SHARED_KEY_CHANGED: Description(
        text="The daemons agreed on another shared key.",
        options={"level": "warning"},
    ),
    EventId.INVARIANT_VIOLATED: Description(
        text="An invariant does not hold.", options={"level": "error"}
    ),
    EventId.ENTRY_STARTED: Description(
        text="The entry daemon has started and its listeners are open.",
        options={"level": "info"},
    ),
    EventId.ENTRY_STOPPING: Description(
        text="The entry daemon received a stop signal and is no longer ready.",
        options={"level": "info"},
    ),
    EventId.ENTRY_STOPPED: Description(
        text="The entry daemon has closed its listeners and exits.",
        options={"level": "info"},
    ),
    EventId.SETTINGS_RELOADED: Description(
        text="The settings file was read again.", options={"level": "info"}
    ),
    EventId.SETTINGS_REJECTED: Description(
        text="The changed settings file is not valid; the previous settings stay in force.",
        options={"level": "error"},
    ),
    EventId.ENTRY_DRAINED: Description(
        text="The stopping entry daemon waits for no further request.",
        options={"level": "info"},
    ),
    EventId.ENTRY_LISTENER_CLOSED: Description(
        text="A listener of the stopping entry daemon was closed.",
        options={"level": "info"},
    ),
    EventId.ENTRY_REQUEST_ENDED: Description(
        text="A caller's request through a route has ended.",
        options={"level": "info"},
    ),
    EventId.REQUEST_PLACED: Description(
        text="Endpoints were chosen for a request.", options={"level": "info"}
    ),
    EventId.FIRST_EVENT: Description(
        text="The first event of an answer was received from its endpoint.",
        options={"level": "info"},
    ),
    EventId.MEMORY_RESERVED: Description(
        text="Memory for a prompt was requested from several engines.",
        options={"level": "info"},
    ),
    EventId.MEMORY_NOT_RELEASED: Description(
        text="A memory reservation could not be released; it expires at the engine.",
        options={"level": "warning"},
    ),
    EventId.REQUEST_UNFINISHED: Description(
        text="A request was still in flight when the stopping daemon stopped waiting.",
        options={"level": "warning"},
    ),
    EventId.ATTEMPT_FAILED: Description(
        text="An attempt at an endpoint failed.", options={"level": "info"}
    ),
    EventId.ENDPOINT_SILENT: Description(
        text="An endpoint has been silent for too long; another one is sought.",
        options={"level": "info"},
    ),
    EventId.ANSWER_END_UNCERTAIN: Description(
        text="An endpoint's answer was broken off, or only the end of its connection marks its end.",
        options={"level": "info"},
    ),
    EventId.PEER_EXCHANGE_FAILED: Description(
        text="State could not be fetched from or sent to a peer.",
        options={"level": "warning"},
    ),
    EventId.DAEMON_RECORD_REJECTED: Description(
        text="The record of another daemon is not valid and is ignored.",
        options={"level": "warning"},
    ),
    EventId.DIRECTORY_JOINED: Description(
        text="This daemon is registered in the store and has read the records of the others.",
        options={"level": "info"},
    ),
    EventId.DIRECTORY_FAILED: Description(
        text="This daemon could not be registered in the store and retries.",
        options={"level": "warning"},
    ),
    EventId.ENGINE_LOAD_DIFFERS: Description(
        text="An engine reports more requests than daemons have there or a slowdown, or has stopped doing so.",
        options={"level": "info"},
    ),
    EventId.ENDPOINTS_ADOPTED: Description(
        text="The first list of endpoints was adopted.",
        options={"level": "info"},
    ),
    EventId.PEER_FORGOTTEN: Description(
        text="Another daemon has not been heard from for too long and was removed.",
        options={"level": "info"},
    ),
    EventId.ENDPOINT_ENTRY_CHANGED: Description(
        text="An endpoint's entry was added, changed or removed.",
        options={"level": "info"},
    ),
    EventId.ENDPOINT_ENTRY_REJECTED: Description(
        text="An endpoint's entry is not valid and is ignored.",
        options={"level": "warning"},
    ),
    EventId.ENDPOINT_SUSPECTED: Description(
        text="An endpoint failed several requests; other endpoints are preferred.",
        options={"level": "warning"},
    ),
    EventId.ENDPOINT_MARKED: Description(
        text="An endpoint stated that it is leaving, or that it wants no requests for some time.",
        options={"level": "info"},
    ),
    EventId.ENDPOINT_MARK_IDENTIFIED: Description(
        text="It became known which process of an endpoint a mark is about.",
        options={"level": "info"},
    ),
    EventId.ENDPOINT_MARK_ENDED: Description(
        text="An endpoint's mark has ended: it may receive requests again, or is gone.",
        options={"level": "info"},
    ),
    EventId.CONFIG_ADOPTED: Description(
        text="A newer configuration is in force.", options={"level": "info"}
    ),
    EventId.CONFIG_REJECTED: Description(
        text="A configuration is not valid and is ignored.",
        options={"level": "error"},
    ),
    EventId.CLOSED_ZONES_CHANGED: Description(
        text="The set of availability zones that receive no new requests changed.",
        options={"level": "info"},
    ),
}


__all__ = [
    "EVENTID_INFO",
    "EventId",
]
