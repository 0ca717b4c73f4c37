"""HTTP interface for operators: tickets, status and audit trail."""

from __future__ import annotations
