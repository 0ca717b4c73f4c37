"""Soak tests: entry daemon processes under load and injected faults."""

from __future__ import annotations
