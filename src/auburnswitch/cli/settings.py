"""Provides the commands for settings files."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from expression import Result

from auburnswitch.cli.errors import EXIT_OK, EXIT_USAGE, CommandError
from auburnswitch.cli.output import print_json
from auburnswitch.schema.base import to_json
from auburnswitch.settings.loader import load_entry_settings, load_settings

if TYPE_CHECKING:
    from auburnswitch.schema.entry import EntrySettings
    from auburnswitch.schema.settings import Settings


class SettingsCommands:
    """Checks and shows settings files."""

    def check(self, settings_file: str, entry: bool = False) -> int:
        """Checks a settings file and reports all errors.

        Args:
            settings_file: Path of the INI file.
            entry: The file is the settings file of an entry daemon.
        """
        _load(settings_file, entry=entry)
        print("ok")
        return EXIT_OK

    def show(
        self, settings_file: str, entry: bool = False, json: bool = False
    ) -> int:
        """Shows every setting with its effective value, but no secret keys.

        Args:
            settings_file: Path of the INI file.
            entry: The file is the settings file of an entry daemon.
            json: Print JSON.
        """
        data = to_json(_load(settings_file, entry=entry))
        if json:
            print_json(data)
            return EXIT_OK
        for section, values in data.items():
            print(f"[{section}]")
            for key, value in values.items():
                print(f"{key} = {value}")
            print()
        return EXIT_OK


def _load(settings_file: str, *, entry: bool) -> Settings | EntrySettings:
    load = load_entry_settings if entry else load_settings
    match load(Path(settings_file)):
        case Result(tag="ok", ok=settings):
            return settings
        case Result(error=problems):
            lines = "\n".join(str(problem) for problem in problems)
            raise CommandError(lines, EXIT_USAGE)


__all__ = ["SettingsCommands"]
