"""Serves operators: tickets, status, audit."""

from __future__ import annotations
