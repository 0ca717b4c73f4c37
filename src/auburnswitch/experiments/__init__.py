"""Runs fleets of daemons and stand-ins for demos, tests and measurements."""

from __future__ import annotations
