"""Runs the command-line tool as a module."""

from __future__ import annotations

from auburnswitch.cli.main import run

if __name__ == "__main__":
    run()
