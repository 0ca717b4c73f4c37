"""Membership, peer communication and endpoint ownership of daemons."""

from __future__ import annotations
