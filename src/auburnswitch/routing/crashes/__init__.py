"""Keeps requests that crash endpoints away from them."""

from __future__ import annotations
