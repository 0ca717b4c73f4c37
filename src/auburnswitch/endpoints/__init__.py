"""Owns, reserves, observes and calls endpoints."""

from __future__ import annotations
