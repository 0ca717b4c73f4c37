"""A serving layer for prompts of a thousand to a million tokens."""

from __future__ import annotations
