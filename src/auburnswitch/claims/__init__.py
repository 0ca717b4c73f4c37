"""Claims on idempotency keys of requests that may run only once."""

from __future__ import annotations
