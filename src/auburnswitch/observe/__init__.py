"""Log events, metrics, invariants and background tasks."""

from __future__ import annotations
