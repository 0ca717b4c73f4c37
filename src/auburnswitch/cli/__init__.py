"""Provides the command-line tool."""

from __future__ import annotations

from auburnswitch.cli.main import run

__all__ = ["run"]
