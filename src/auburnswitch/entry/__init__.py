"""Runs the entry daemon, which serves an installation on the platform."""

from __future__ import annotations
