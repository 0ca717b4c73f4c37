"""Knows which daemons are alive."""

from __future__ import annotations
