"""Events, metrics and invariants."""

from __future__ import annotations
