"""Claims idempotency keys, so that a request runs at most once."""

from __future__ import annotations
