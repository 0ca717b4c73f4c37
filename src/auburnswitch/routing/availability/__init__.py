"""Which endpoints may get new requests, by what their processes have stated."""

from __future__ import annotations
