"""Talks to the platform's object store."""

from __future__ import annotations
