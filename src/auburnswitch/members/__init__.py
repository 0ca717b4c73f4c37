"""Manages membership, peer communication and endpoint ownership."""

from __future__ import annotations
