"""Generated messages, settings and stored objects."""

from __future__ import annotations
