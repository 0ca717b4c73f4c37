"""Checks an endpoint's capacity for a request and predicts queueing delays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.endpoints.backlog import CHUNK_DELAY_S
from auburnswitch.schema.peers import LengthClass

if TYPE_CHECKING:
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.schema.peers import ReserveRequest
    from auburnswitch.schema.settings import RoutingSettings


def has_capacity(
    ledger: EndpointLedger, request: ReserveRequest, settings: RoutingSettings
) -> bool:
    """Returns whether a request fits in addition to the reservations."""
    needed = needed_tokens(request)
    if ledger.reserved_tokens + needed > ledger.spec.memory_tokens:
        return False
    if request.length_class == LengthClass.SHORT:
        return True
    return _fits_beside_short(ledger, needed, settings) and (
        request.length_class != LengthClass.LONG
        or _fits_long_prefill(ledger, request)
    )


def _fits_beside_short(
    ledger: EndpointLedger, needed: int, settings: RoutingSettings
) -> bool:
    """Returns whether enough memory remains for short requests.

    A request that is not short may use the share reserved for short requests
    if no other such request holds a reservation.
    """
    reserved = ledger.reserved_tokens
    if not any(
        r.length_class is not LengthClass.SHORT
        for r in ledger.reservations.values()
    ):
        return True
    limit = ledger.spec.memory_tokens * (1 - settings.short_memory_share)
    return reserved + needed <= limit


def _fits_long_prefill(ledger: EndpointLedger, request: ReserveRequest) -> bool:
    """Returns whether the prefill of long prompts stays within its limit.

    A single long prompt may exceed the limit.
    """
    prefill = sum(
        r.prefill_tokens
        for r in ledger.reservations.values()
        if r.length_class is LengthClass.LONG
    )
    limit = ledger.spec.memory_tokens * ledger.spec.long_share
    return not prefill or prefill + request.prompt_tokens <= limit


def fits_when_idle(ledger: EndpointLedger, request: ReserveRequest) -> bool:
    """Returns whether a request fits on an otherwise idle endpoint."""
    return needed_tokens(request) <= ledger.spec.memory_tokens


def needed_tokens(request: ReserveRequest) -> int:
    """Returns the memory that a request requires, in tokens."""
    return request.prompt_tokens + request.answer_tokens


def predicted_wait_s(ledger: EndpointLedger, length: LengthClass) -> float:
    """Returns the time until a new prompt's prefill starts, in seconds."""
    rate = prefill_rate(ledger)
    ledger.backlog.update(ledger.reservations, rate)
    wait_s = ledger.backlog.wait_s(length, rate)
    if ledger.backlog.must_wait_for_chunk(length):
        wait_s += CHUNK_DELAY_S
    return wait_s


def prefill_rate(ledger: EndpointLedger) -> float:
    """Returns the endpoint's prefill rate, in prompt tokens per second."""
    return float(max(1, ledger.spec.prefill_tokens_per_second))


def deadline_overrun_s(
    ledger: EndpointLedger, request: ReserveRequest, wait_s: float
) -> float:
    """Returns by how many seconds the first token would miss its deadline.

    The result is negative if the first token is expected in time.
    """
    prefill = request.prompt_tokens - request.cached_tokens
    return wait_s + prefill / prefill_rate(ledger) - request.time_left_s


__all__ = [
    "fits_when_idle",
    "has_capacity",
    "deadline_overrun_s",
    "needed_tokens",
    "predicted_wait_s",
    "prefill_rate",
]
