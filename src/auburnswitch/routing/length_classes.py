"""Estimates token counts and assigns prompts to length classes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from auburnswitch.schema.peers import LengthClass

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Service
    from auburnswitch.schema.settings import RoutingSettings


def estimate_tokens(text: str, settings: RoutingSettings) -> int:
    """Estimates the number of tokens of a text from its size in UTF-8."""
    size_bytes = len(text) if text.isascii() else len(text.encode())
    return max(1, math.ceil(size_bytes / settings.bytes_per_token))


def classify_length(tokens: int, settings: RoutingSettings) -> LengthClass:
    """Returns the length class of a prompt."""
    if tokens <= settings.short_max_tokens:
        return LengthClass.SHORT
    if tokens <= settings.medium_max_tokens:
        return LengthClass.MEDIUM
    return LengthClass.LONG


def default_deadline_s(service: Service, length: LengthClass) -> float:
    """Returns a service's default deadline for a length class, in seconds."""
    match length:
        case LengthClass.SHORT:
            return service.short_deadline_s
        case LengthClass.MEDIUM:
            return service.medium_deadline_s
        case _:
            return service.long_deadline_s


__all__ = ["estimate_tokens", "default_deadline_s", "classify_length"]
