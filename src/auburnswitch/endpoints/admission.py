"""Decides whether a request fits on an endpoint now."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.schema.peers import ReserveRequest


def has_room(ledger: EndpointLedger, request: ReserveRequest) -> bool:
    """Tells whether a request fits beside what has been granted."""
    if len(ledger.reservations) >= ledger.max_running:
        return False
    if ledger.is_cold:
        limit = ledger.spec.cold_max_tokens
        return ledger.prefill_tokens + request.prompt_tokens <= limit
    return ledger.reserved_tokens + needed_tokens(request) <= (
        ledger.spec.memory_tokens
    )


def can_ever_hold(ledger: EndpointLedger, request: ReserveRequest) -> bool:
    """Tells whether a request fits when nothing else runs."""
    return needed_tokens(request) <= ledger.spec.memory_tokens


def needed_tokens(request: ReserveRequest) -> int:
    """Returns the memory that a request takes, in tokens."""
    return request.prompt_tokens + request.answer_tokens


def predicted_wait_s(ledger: EndpointLedger) -> float:
    """Returns the time to prefill what has been granted, in seconds."""
    rate = max(1, ledger.spec.prefill_tokens_per_second)
    return ledger.prefill_tokens / rate


__all__ = ["can_ever_hold", "has_room", "needed_tokens", "predicted_wait_s"]
