"""Defines the error type and exit codes of the command-line tool."""

from __future__ import annotations

from typing import Final

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
EXIT_NOT_IN_FORCE: Final = 4


class CommandError(Exception):
    """A command failed; the message is printed without a traceback.

    Attributes:
        exit_code: Exit code of the tool.
    """

    def __init__(self, message: str, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code


__all__ = [
    "EXIT_NOT_IN_FORCE",
    "EXIT_OK",
    "EXIT_REFUSED",
    "EXIT_UNREACHABLE",
    "EXIT_USAGE",
    "CommandError",
]
