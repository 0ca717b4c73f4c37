"""Provides log events, metrics, invariant checks and background tasks."""

from __future__ import annotations
