"""Reads and checks the settings file."""

from __future__ import annotations
