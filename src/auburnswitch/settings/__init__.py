"""Reads and validates the settings files."""

from __future__ import annotations
