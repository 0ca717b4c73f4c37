"""Defines refusals and failures with their numeric result codes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from auburnswitch.schema.results import RESULTCODE_INFO, Ran, ResultCode


@dataclass(slots=True, kw_only=True)
class Refusal:
    """An error answer to a request, with its result code.

    Attributes:
        code: The result code.
        message: Human-readable description of the error.
        ran: Whether an endpoint may have run the request.
        retry_after_s: Delay before the caller may retry, in seconds; None if
            none is given.
    """

    code: ResultCode
    message: str
    ran: Ran
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """HTTP status for the result code."""
        return int(RESULTCODE_INFO[self.code].options["http"])

    def headers(self) -> dict[str, str]:
        """Returns the additional HTTP headers of the refusal."""
        if self.retry_after_s is None:
            return {}
        return {"Retry-After": str(max(1, math.ceil(self.retry_after_s)))}

    def to_json(self) -> dict[str, Any]:
        """Returns the refusal's JSON body."""
        error: dict[str, Any] = {
            "code": int(self.code),
            "name": self.code.name.lower(),
            "message": self.message,
            "ran": self.ran.name.lower(),
        }
        if self.retry_after_s is not None:
            error["retry_after_s"] = round(self.retry_after_s, 3)
        return {"error": error}


def refusal(
    code: ResultCode,
    message: str = "",
    *,
    ran: Ran | None = None,
    retry_after_s: float | None = None,
) -> Refusal:
    """Builds a refusal; message and ``ran`` default to those of its code."""
    info = RESULTCODE_INFO[code]
    return Refusal(
        code=code,
        message=message or info.text,
        ran=Ran[info.options["ran"].upper()] if ran is None else ran,
        retry_after_s=retry_after_s,
    )


class RefusalError(Exception):
    """Carries a refusal to the handler that answers the caller."""

    def __init__(self, refused: Refusal) -> None:
        super().__init__(refused.message)
        self.refusal = refused


__all__ = ["Refusal", "RefusalError", "refusal"]
