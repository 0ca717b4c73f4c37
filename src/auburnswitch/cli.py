"""The command-line tool."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Final

import fire
from expression import Result

from auburnswitch.settings.load import load_settings

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2


class SettingsCommands:
    """Commands about settings files."""

    def check(self, settings_file: str) -> int:
        """Checks a settings file and reports all of its faults.

        Args:
            settings_file: Path of the INI file.
        """
        match load_settings(Path(settings_file)):
            case Result(tag="ok"):
                print("ok")
                return EXIT_OK
            case Result(error=problems):
                for problem in problems:
                    print(problem, file=sys.stderr)
        return EXIT_USAGE


class Commands:
    """Operates auburnswitch."""

    def __init__(self) -> None:
        self.settings = SettingsCommands()

    def demo(self) -> int:
        """Runs a small fleet in one process and shows what it does."""
        from auburnswitch.experiments.demo import run_demo

        asyncio.run(run_demo())
        return EXIT_OK


def run() -> None:
    """Entry point of ``auburnswitch``."""
    code = fire.Fire(Commands, name="auburnswitch", serialize=lambda _: None)
    sys.exit(code if isinstance(code, int) else EXIT_OK)


if __name__ == "__main__":
    run()


__all__ = ["Commands", "run"]
