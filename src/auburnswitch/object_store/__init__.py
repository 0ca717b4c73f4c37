"""Accesses the object store that daemons share."""

from __future__ import annotations
