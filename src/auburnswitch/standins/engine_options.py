"""The engine stand-in's service times and limits, with their defaults.

Prefill runs one chunk at a time and takes `chunk / prefill_tokens_per_second`.
Decoding runs beside it: one step gives every running stream one token and
takes `decode_step_s + streams * decode_stream_cost_s`.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineOptions:
    """What one engine stand-in can do and how it fails.

    Attributes:
        model: Model that it serves first; empty serves any model name.
        memory_tokens: Tokens of prompt and answer that fit in memory.
        max_running: Requests in one batch.
        prefill_tokens_per_second: Prompt tokens prefilled in a second.
        prefill_chunk_tokens: Prompt tokens of one chunk.
        decode_step_s: Time of a decode step without streams.
        decode_stream_cost_s: Time that each stream adds to a decode step.
        cache_tokens: Tokens of cached prefix blocks.
        resumable_s: Time that a finished stream can be resumed.
        starts_warm: Whether the first start is warm.
        cold_max_running: Requests that a cold engine bears.
        cold_max_tokens: Prompt tokens that a cold engine bears.
        cold_delay_s: Time that each prompt takes longer on a cold engine.
        warm_after: Successful requests that end the cold state.
        restart_s: Time that the engine is down after a crash.
        restart_silent: Whether connections are accepted and left without an
            answer while it is down, instead of being refused.
        load_lag_s: Age of a load report.
        cache_event_delay_s: Shortest age of a published cache event.
        cache_event_jitter_s: Random addition to that age.
        cache_event_loss: Share of cache events that are never published.
        checks_fencing: Whether orders with an old fencing number are refused.
        model_load_s: Time to load a model.
        seed: Seed of the random choices.
    """

    model: str = ""
    memory_tokens: int = 500_000
    max_running: int = 512
    prefill_tokens_per_second: float = 20_000.0
    prefill_chunk_tokens: int = 2_000
    decode_step_s: float = 0.025
    decode_stream_cost_s: float = 0.00004
    cache_tokens: int = 200_000
    resumable_s: float = 10.0
    starts_warm: bool = False
    cold_max_running: int = 2
    cold_max_tokens: int = 20_000
    cold_delay_s: float = 0.0
    warm_after: int = 8
    restart_s: float = 5.0
    restart_silent: bool = False
    load_lag_s: float = 0.5
    cache_event_delay_s: float = 1.0
    cache_event_jitter_s: float = 1.0
    cache_event_loss: float = 0.05
    checks_fencing: bool = True
    model_load_s: float = 2.0
    seed: int = 0


def prefill_time_s(options: EngineOptions, tokens: int) -> float:
    """Returns the time to prefill some prompt tokens."""
    return tokens / options.prefill_tokens_per_second


def decode_time_s(options: EngineOptions, streams: int) -> float:
    """Returns the time of a decode step of some streams."""
    return options.decode_step_s + streams * options.decode_stream_cost_s


__all__ = ["EngineOptions", "decode_time_s", "prefill_time_s"]
