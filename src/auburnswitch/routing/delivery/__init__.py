"""Sends requests to endpoints, and relays their answers."""

from __future__ import annotations
