"""Result codes, each with its statement on whether the request ran.

Generated from schema/results.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct


class Ran(enum.IntEnum):
    """Whether an endpoint may have run the request."""

    NO = 0
    UNKNOWN = 1
    YES = 2


RAN_INFO: Final = {
    Ran.NO: Description(
        text="No byte of the request reached an endpoint.", options={}
    ),
    Ran.UNKNOWN: Description(
        text="The request was sent, and its outcome is not known.", options={}
    ),
    Ran.YES: Description(
        text="An endpoint ran the request, at least in part.", options={}
    ),
}


class ResultCode(enum.IntEnum):
    """Numbered results of requests, operator calls and peer calls."""

    OK = 0
    BODY_TOO_LARGE = 1001
    BAD_JSON = 1002
    UNKNOWN_SERVICE = 1003
    UNKNOWN_MODEL = 1004
    BAD_CALLER_KEY = 1005
    BAD_DEADLINE = 1006
    HEADER_TOO_LARGE = 1007
    BAD_FIELD = 1008
    TEAM_NOT_ALLOWED = 1009
    PROMPT_TOO_LONG = 1010
    IDEMPOTENCY_KEY_REUSED = 1011
    BAD_IDEMPOTENCY_KEY = 1012
    BAD_METHOD = 1013
    TEAM_LIMIT = 2001
    QUEUE_FULL = 2002
    ISOLATED = 2003
    SHUTTING_DOWN = 2004
    NO_ENDPOINT = 2005
    CRASHING_REQUEST = 2006
    STORE_UNAVAILABLE = 2007
    IN_PROGRESS = 2008
    NOT_READY = 2009
    RETRY_BUDGET_SPENT = 2010
    ENDPOINT_COLD = 2011
    DEADLINE_EXCEEDED = 3001
    ENDPOINT_FAILED = 3002
    STREAM_BROKEN = 3003
    OUTCOME_UNKNOWN = 3004
    CALLER_GONE = 3005
    CALLER_TOO_SLOW = 3006
    TICKET_INVALID = 4001
    TICKET_CONFLICT = 4002
    TICKET_TOO_LARGE = 4003
    TICKET_NOT_FOUND = 4004
    BAD_OPERATOR_KEY = 4005
    BAD_SIGNATURE = 5001
    BAD_FRAME = 5002
    NOT_OWNER = 5003
    OWNERSHIP_PENDING = 5004
    PEER_UNREACHABLE = 5005
    BAD_SETTINGS = 6001
    ADDRESS_UNAVAILABLE = 6002
    INTERNAL = 9001


RESULTCODE_INFO: Final = {
    ResultCode.OK: Description(
        text="The request succeeded.", options={"http": "200", "ran": "yes"}
    ),
    ResultCode.BODY_TOO_LARGE: Description(
        text="The request body is larger than the configured limit.",
        options={"http": "413", "ran": "no"},
    ),
    ResultCode.BAD_JSON: Description(
        text="The request body is not valid JSON.",
        options={"http": "400", "ran": "no"},
    ),
    ResultCode.UNKNOWN_SERVICE: Description(
        text="No service has this name or path.",
        options={"http": "404", "ran": "no"},
    ),
    ResultCode.UNKNOWN_MODEL: Description(
        text="No service serves this model.",
        options={"http": "404", "ran": "no"},
    ),
    ResultCode.BAD_CALLER_KEY: Description(
        text="The caller key is missing or belongs to no team.",
        options={"http": "401", "ran": "no"},
    ),
    ResultCode.BAD_DEADLINE: Description(
        text="The deadline header is not a number of seconds within bounds.",
        options={"http": "400", "ran": "no"},
    ),
    ResultCode.HEADER_TOO_LARGE: Description(
        text="The request headers are larger than the configured limit.",
        options={"http": "431", "ran": "no"},
    ),
    ResultCode.BAD_FIELD: Description(
        text="A field of the request is missing or has a wrong type or value.",
        options={"http": "400", "ran": "no"},
    ),
    ResultCode.TEAM_NOT_ALLOWED: Description(
        text="The team may not use this service.",
        options={"http": "403", "ran": "no"},
    ),
    ResultCode.PROMPT_TOO_LONG: Description(
        text="No endpoint, or group of endpoints, of this service can hold the prompt and its answer.",
        options={"http": "422", "ran": "no"},
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: Description(
        text="The idempotency key was used before with another request.",
        options={"http": "422", "ran": "no"},
    ),
    ResultCode.BAD_IDEMPOTENCY_KEY: Description(
        text="The idempotency key is empty, too long or has unprintable characters.",
        options={"http": "400", "ran": "no"},
    ),
    ResultCode.BAD_METHOD: Description(
        text="The path does not accept this method.",
        options={"http": "405", "ran": "no"},
    ),
    ResultCode.TEAM_LIMIT: Description(
        text="The team has reached one of its limits.",
        options={"http": "429", "ran": "no"},
    ),
    ResultCode.QUEUE_FULL: Description(
        text="The request could not start within its deadline.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.ISOLATED: Description(
        text="This daemon reaches neither the platform nor enough peers.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.SHUTTING_DOWN: Description(
        text="This daemon is shutting down; another one will serve the request.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.NO_ENDPOINT: Description(
        text="No endpoint of the service can accept work now.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.CRASHING_REQUEST: Description(
        text="The request crashed endpoints that ran it and is refused.",
        options={"http": "422", "ran": "unknown"},
    ),
    ResultCode.STORE_UNAVAILABLE: Description(
        text="The platform's store is unavailable, and the request must not run without it.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.IN_PROGRESS: Description(
        text="A request with this idempotency key is in progress.",
        options={"http": "409", "ran": "unknown"},
    ),
    ResultCode.NOT_READY: Description(
        text="This daemon has no configuration yet.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.RETRY_BUDGET_SPENT: Description(
        text="The retry budget is spent.",
        options={"http": "503", "ran": "unknown"},
    ),
    ResultCode.ENDPOINT_COLD: Description(
        text="Every endpoint that could run the request is cold and does not tolerate a prompt of this length yet.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.DEADLINE_EXCEEDED: Description(
        text="The deadline passed before the answer was complete.",
        options={"http": "504", "ran": "unknown"},
    ),
    ResultCode.ENDPOINT_FAILED: Description(
        text="The endpoint failed while it ran the request.",
        options={"http": "502", "ran": "unknown"},
    ),
    ResultCode.STREAM_BROKEN: Description(
        text="The answer stream broke and could not be continued.",
        options={"http": "502", "ran": "yes"},
    ),
    ResultCode.OUTCOME_UNKNOWN: Description(
        text="The outcome of a non-idempotent request is not known; it will not be run again.",
        options={"http": "409", "ran": "unknown"},
    ),
    ResultCode.CALLER_GONE: Description(
        text="The caller closed the connection.",
        options={"http": "499", "ran": "unknown"},
    ),
    ResultCode.CALLER_TOO_SLOW: Description(
        text="The caller read its answer too slowly.",
        options={"http": "408", "ran": "yes"},
    ),
    ResultCode.TICKET_INVALID: Description(
        text="The ticket is not valid.", options={"http": "400", "ran": "no"}
    ),
    ResultCode.TICKET_CONFLICT: Description(
        text="Another ticket with this number was accepted before.",
        options={"http": "409", "ran": "no"},
    ),
    ResultCode.TICKET_TOO_LARGE: Description(
        text="The ticket is larger than one stored value can be.",
        options={"http": "413", "ran": "no"},
    ),
    ResultCode.TICKET_NOT_FOUND: Description(
        text="No ticket has this number.", options={"http": "404", "ran": "no"}
    ),
    ResultCode.BAD_OPERATOR_KEY: Description(
        text="The operator key is missing or wrong.",
        options={"http": "401", "ran": "no"},
    ),
    ResultCode.BAD_SIGNATURE: Description(
        text="A peer frame carries a wrong signature.",
        options={"http": "401", "ran": "no"},
    ),
    ResultCode.BAD_FRAME: Description(
        text="A peer frame has a wrong length or cannot be decoded.",
        options={"http": "400", "ran": "no"},
    ),
    ResultCode.NOT_OWNER: Description(
        text="The peer does not own the endpoint.",
        options={"http": "409", "ran": "no"},
    ),
    ResultCode.OWNERSHIP_PENDING: Description(
        text="The owner may not grant work on a cold endpoint yet.",
        options={"http": "503", "ran": "no"},
    ),
    ResultCode.PEER_UNREACHABLE: Description(
        text="The peer did not answer in time.",
        options={"http": "504", "ran": "no"},
    ),
    ResultCode.BAD_SETTINGS: Description(
        text="The settings are not valid.", options={"http": "500", "ran": "no"}
    ),
    ResultCode.ADDRESS_UNAVAILABLE: Description(
        text="A listener address is in use or cannot be bound.",
        options={"http": "500", "ran": "no"},
    ),
    ResultCode.INTERNAL: Description(
        text="An unexpected error occurred in the daemon.",
        options={"http": "500", "ran": "unknown"},
    ),
}


__all__ = [
    "RAN_INFO",
    "RESULTCODE_INFO",
    "Ran",
    "ResultCode",
]
