"""Provides the HTTP interface for tickets, status and audit trail."""

from __future__ import annotations
