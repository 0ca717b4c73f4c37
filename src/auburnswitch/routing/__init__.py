"""Chooses endpoints and limits work."""

from __future__ import annotations
