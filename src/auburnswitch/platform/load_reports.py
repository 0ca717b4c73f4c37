"""Decodes the load that engines report."""

from __future__ import annotations

from dataclasses import dataclass

from auburnswitch.json_values import JsonError, decode_json
from auburnswitch.platform import fields
from auburnswitch.platform.fields import FieldError


@dataclass(slots=True, kw_only=True)
class EngineLoadReport:
    """Load that an engine reports, a few hundred milliseconds late.

    Attributes:
        requests: Number of running and waiting requests.
        memory_tokens: KV cache in use that cannot be evicted, in tokens.
        slowdown: Duration of the engine's work relative to its usual duration.
    """

    requests: int
    memory_tokens: int
    slowdown: float


def decode_load_report(body: bytes) -> EngineLoadReport:
    """Decodes an engine's load report.

    Raises:
        FieldError: The body is no report.
    """
    try:
        data = decode_json(body)
    except JsonError as error:
        raise FieldError("the load report is no JSON") from error
    requests = fields.integer(data, "Running", 0) + fields.integer(
        data, "Waiting", 0
    )
    return EngineLoadReport(
        requests=min(requests, fields.MAX_INT32),
        memory_tokens=fields.integer(
            data, "KvUsed", 0, maximum=fields.MAX_INT64
        ),
        slowdown=fields.number(data, "pace", 1.0),
    )


__all__ = ["EngineLoadReport", "decode_load_report"]
