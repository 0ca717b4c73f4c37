"""Fleets of daemons and stand-ins in one process, for demo and measurement."""

from __future__ import annotations
