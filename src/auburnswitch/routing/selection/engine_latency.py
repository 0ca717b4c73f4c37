"""Predicts the prefill and decode times of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.schema.installation import EngineModel

_TOKENS_PER_KILOTOKEN: Final = 1000.0
_PAIRS_PER_MEGAPAIR: Final = 1e6
_MS_PER_S: Final = 1000.0


def prefill_ms(engine: EngineModel, tokens: int) -> float:
    """Returns the time to prefill a whole prompt alone, in milliseconds."""
    linear_ms = tokens / engine.read_tokens_per_s * _MS_PER_S
    pairs = tokens * (tokens + 1) / 2
    pairs_ms = pairs / _PAIRS_PER_MEGAPAIR * engine.read_per_megapair_ms
    return linear_ms + pairs_ms


def pass_ms(
    engine: EngineModel, decode_count: int, context_tokens: int = 0
) -> float:
    """Returns the time of a decode pass without prefill, in milliseconds.

    Args:
        engine: The engine.
        decode_count: Requests whose answers the engine decodes.
        context_tokens: Tokens of their prompts and of their answers so far.
    """
    step_ms = (
        engine.step_ms
        + decode_count * engine.step_per_request_ms
        + context_tokens / _TOKENS_PER_KILOTOKEN * engine.step_per_kilotoken_ms
    )
    return engine.steps_per_pass * step_ms


def decode_ms(
    engine: EngineModel,
    answer_tokens: int,
    decode_count: int,
    context_tokens: int = 0,
) -> float:
    """Returns the time to decode an answer, in milliseconds."""
    passes = max(1.0, answer_tokens / engine.steps_per_pass)
    return passes * pass_ms(engine, decode_count, context_tokens)


__all__ = ["decode_ms", "pass_ms", "prefill_ms"]
