"""Configuration by operators and the version in force."""

from __future__ import annotations
