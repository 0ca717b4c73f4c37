"""Accepts operators' configuration changes and provides the result."""

from __future__ import annotations
