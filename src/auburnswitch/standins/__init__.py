"""Simulates external systems for tests and the demo."""

from __future__ import annotations
