"""Small stand-ins for external systems, used by tests and the demo."""

from __future__ import annotations
