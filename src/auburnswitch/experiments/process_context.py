"""Names the part of a fleet that a task belongs to."""

from __future__ import annotations

import contextvars
from typing import Final

PROCESS_NAME: Final[contextvars.ContextVar[str]] = contextvars.ContextVar(
    "part", default=""
)

__all__ = ["PROCESS_NAME"]
