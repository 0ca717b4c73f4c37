"""Selects endpoints for requests and limits the load on them."""

from __future__ import annotations
