"""Selects endpoints by the work of all daemons on them."""

from __future__ import annotations
