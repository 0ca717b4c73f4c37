"""Defines the engine stand-in's service times and limits.

Prefill runs one chunk at a time and takes `chunk / prefill_tokens_per_second`.
Decode runs concurrently with prefill: one step decodes one token of every
decoding stream and takes `decode_step_s + streams * decode_stream_cost_s`.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineOptions:
    """Limits, service times and faults of one engine stand-in.

    Attributes:
        model: Model served after the start; empty accepts any model name.
        memory_tokens: Tokens of prompt and answer that fit in memory.
        max_running: Maximum number of requests in one batch.
        prefill_tokens_per_second: Prompt tokens prefilled per second.
        prefill_chunk_tokens: Maximum prompt tokens in one chunk.
        decode_step_s: Base time of a decode step, without streams.
        decode_stream_cost_s: Time that each stream adds to a decode step.
        cache_tokens: Capacity of the prefix cache.
        resumable_s: Time for which a finished stream can be resumed.
        starts_warm: Whether the engine is warm when it is created.
        cold_max_running: Maximum number of requests on a cold engine; one more
            crashes the engine.
        cold_max_tokens: Maximum prompt tokens on a cold engine; one more
            crashes the engine.
        cold_delay_s: Time added to each prefill on a cold engine.
        warm_after: Number of successful requests that ends the cold state.
        restart_s: Downtime after a crash.
        restart_silent: Whether connections are accepted without a response
            during the downtime, instead of being refused.
        load_lag_s: Age of a load report.
        cache_event_delay_s: Minimum age of a published cache event.
        cache_event_jitter_s: Maximum random addition to that age.
        cache_event_loss: Share of cache events that are never published.
        checks_fencing: Whether orders with a lower fencing number than the last
            accepted one are rejected.
        model_load_s: Time to load a model.
        seed: Seed of the random number generator.
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
    """Returns the time to prefill a number of prompt tokens."""
    return tokens / options.prefill_tokens_per_second


def decode_time_s(options: EngineOptions, streams: int) -> float:
    """Returns the time of a decode step with a number of streams."""
    return options.decode_step_s + streams * options.decode_stream_cost_s


__all__ = ["EngineOptions", "decode_time_s", "prefill_time_s"]
