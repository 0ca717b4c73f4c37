"""Context variable that names the simulated process of a task."""

from __future__ import annotations

import contextvars
from typing import Final

PROCESS_NAME: Final[contextvars.ContextVar[str]] = contextvars.ContextVar(
    "part", default=""
)

__all__ = ["PROCESS_NAME"]
