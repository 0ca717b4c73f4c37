"""Defines the headers and paths of the platform's protocol."""

from __future__ import annotations

from typing import Final

ATTEMPT_ID_HEADER: Final = "x-attempt-id"  # unique per caller's attempt
DEADLINE_MS_HEADER: Final = "x-deadline-ms"  # time until the deadline
EXPECTED_ENDPOINT_HEADER: Final = "x-expect-instance"
TEAM_HEADER: Final = "x-tenant"
SIGNATURE_HEADER: Final = (
    "x-response-seal"  # on every response that an endpoint produced
)
NOT_EXECUTED_HEADER: Final = "x-not-executed"
TOKEN_COUNTS_HEADER: Final = (
    "x-token-counts"  # prompt tokens, maximum answer tokens
)
PROMPT_PARTS_HEADER: Final = "x-prompt-prefix"  # parts of the prompt in order
LENGTH_HINT_HEADER: Final = (
    "x-length-hint"  # the caller's estimate of answer tokens
)
PREFILL_HELPERS_HEADER: Final = "x-helpers"
LAST_EVENT_ID_HEADER: Final = "last-event-id"
AUTHORIZATION_HEADER: Final = "authorization"
BEARER_PREFIX: Final = "bearer "
FAILED_ENDPOINT_HEADER: Final = "at-server"
RETRY_AFTER_HEADER: Final = "retry-after"
ENDPOINT_ID_HEADER: Final = "x-instance-id"  # of the one that answers
LEAVING_HEADER: Final = "server-leaving"  # on every response of such a one

READINESS_PATH: Final = "/v1/readiness"
ORDER_PATH: Final = "/v1/order"
REPORT_PATH: Final = "/v1/report"
OBJECTS_PATH: Final = "/v1/objects"
STORE_GENERATION_HEADER: Final = "store-era"  # on every response of the store

CONFIG_KIND: Final = "config"
CONFIG_NAME: Final = "main"
ENDPOINTS_KIND: Final = "servers"
CLOSED_ZONES_KIND: Final = "evacuations"
DAEMONS_KIND: Final = "auburnswitch-daemons"
REFUSALS_KIND: Final = "auburnswitch-part-refusals"

__all__ = [
    "ATTEMPT_ID_HEADER",
    "AUTHORIZATION_HEADER",
    "BEARER_PREFIX",
    "CLOSED_ZONES_KIND",
    "CONFIG_KIND",
    "CONFIG_NAME",
    "DAEMONS_KIND",
    "DEADLINE_MS_HEADER",
    "ENDPOINTS_KIND",
    "ENDPOINT_ID_HEADER",
    "EXPECTED_ENDPOINT_HEADER",
    "FAILED_ENDPOINT_HEADER",
    "LAST_EVENT_ID_HEADER",
    "LEAVING_HEADER",
    "LENGTH_HINT_HEADER",
    "NOT_EXECUTED_HEADER",
    "OBJECTS_PATH",
    "ORDER_PATH",
    "READINESS_PATH",
    "PREFILL_HELPERS_HEADER",
    "PROMPT_PARTS_HEADER",
    "REFUSALS_KIND",
    "REPORT_PATH",
    "RETRY_AFTER_HEADER",
    "SIGNATURE_HEADER",
    "STORE_GENERATION_HEADER",
    "TEAM_HEADER",
    "TOKEN_COUNTS_HEADER",
]
