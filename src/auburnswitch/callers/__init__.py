"""Serves callers over HTTP."""

from __future__ import annotations
