"""Reads settings files and reports all errors of a file together."""

from __future__ import annotations

import configparser
import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, TypeVar, get_type_hints

from expression import Error, Ok, Result

from auburnswitch.schema.entry import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.base import Description, Struct
    from auburnswitch.schema.settings import Settings

SettingsT = TypeVar("SettingsT")
_BOOLEANS: Final = {"true": True, "yes": True, "false": False, "no": False}


@dataclass(slots=True, kw_only=True)
class SettingsProblem:
    """One error in a settings file.

    Attributes:
        section: Section of the file; empty if the whole file is meant.
        key: Key in the section; empty if the whole section is meant.
        reason: Description of the error.
    """

    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        location = (
            f"[{self.section}] {self.key}".strip() if self.section else ""
        )
        return f"{location}: {self.reason}" if location else self.reason


def load_settings(path: Path) -> Result[Settings, list[SettingsProblem]]:
    """Reads a settings file and reports all of its errors together.

    Args:
        path: The INI file.

    Returns:
        The settings, or every error found.
    """
    return _read_file(path).bind(parse_settings)


def parse_settings(text: str) -> Result[Settings, list[SettingsProblem]]:
    """Reads settings from the text of an INI file."""
    # The entry daemon starts without these classes.
    from auburnswitch.schema.settings import Settings

    return _parse(text, Settings(), _check_settings)


def load_entry_settings(
    path: Path,
) -> Result[EntrySettings, list[SettingsProblem]]:
    """Reads an entry daemon's settings file, like ``load_settings``."""
    return _read_file(path).bind(parse_entry_settings)


def parse_entry_settings(
    text: str,
) -> Result[EntrySettings, list[SettingsProblem]]:
    """Reads an entry daemon's settings from the text of an INI file."""
    return _parse(text, EntrySettings(), _check_entry_settings)


def _read_file(path: Path) -> Result[str, list[SettingsProblem]]:
    try:
        return Ok(path.read_text("utf-8"))
    except OSError as error:
        reason = f"cannot read {path}: {error.strerror}"
        return Error([_make_problem("", "", reason)])


def _parse(
    text: str,
    settings: SettingsT,
    check_consistency: Callable[[SettingsT], list[SettingsProblem]],
) -> Result[SettingsT, list[SettingsProblem]]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Error([_make_problem("", "", str(error).replace("\n", " "))])
    problems: list[SettingsProblem] = []
    section_names = set(settings.field_names())
    for section in parser.sections():
        if section not in section_names:
            problems.append(_make_problem(section, "", "unknown section"))
    for name in section_names:
        values = dict(parser[name]) if parser.has_section(name) else {}
        section = getattr(settings, name)
        problems += _read_section(name, section, values)
    if not problems:
        problems += check_consistency(settings)
    return Error(sorted(problems, key=str)) if problems else Ok(settings)


def _make_problem(section: str, key: str, reason: str) -> SettingsProblem:
    return SettingsProblem(section=section, key=key, reason=reason)


def _read_section(
    name: str, section: Struct, values: dict[str, str]
) -> list[SettingsProblem]:
    problems = []
    types = get_type_hints(type(section))
    descriptions: dict[str, Description] = section.descriptions
    for key in values.keys() - descriptions.keys():
        problems.append(_make_problem(name, key, "unknown key"))
    for key, description in descriptions.items():
        if key not in values:
            if "required" in description.options:
                problems.append(_make_problem(name, key, "is required"))
            continue
        try:
            value = _convert(values[key].strip(), types[key])
            _check_bounds(value, description.options)
        except ValueError as error:
            problems.append(_make_problem(name, key, str(error)))
            continue
        setattr(section, key, value)
    return problems


def _convert(text: str, value_type: type) -> Any:
    if value_type is bool:
        if text.lower() not in _BOOLEANS:
            raise ValueError("must be true or false")
        return _BOOLEANS[text.lower()]
    if value_type is int:
        try:
            return int(text)
        except ValueError:
            raise ValueError("must be a whole number") from None
    if value_type is float:
        try:
            return float(text)
        except ValueError:
            raise ValueError("must be a number") from None
    return text


def _check_bounds(value: Any, options: Any) -> None:
    unit = f" {options['unit']}" if "unit" in options else ""
    if isinstance(value, float) and value != value:  # NaN
        raise ValueError("must be a number")
    if "min" in options and value < float(options["min"]):
        raise ValueError(f"must be at least {options['min']}{unit}")
    if "max" in options and value > float(options["max"]):
        raise ValueError(f"must be at most {options['max']}{unit}")
    if "choices" in options:
        choices = options["choices"].split(",")
        if value not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}")
    if "required" in options and not value:
        raise ValueError("must not be empty")
    if "secret-file" in options and value and not Path(value).is_file():
        raise ValueError("must name a file that can be read")


def _check_settings(settings: Settings) -> list[SettingsProblem]:
    problems = []
    sections_by_address: dict[tuple[str, int], str] = {}
    for name in ("callers", "operators", "peers"):
        section = getattr(settings, name)
        try:
            ipaddress.ip_address(section.host)
        except ValueError:
            problems.append(
                _make_problem(name, "host", "must be an IP address")
            )
        address = (section.host, section.port)
        if section.port and address in sections_by_address:
            reason = f"same address as [{sections_by_address[address]}]"
            problems.append(_make_problem(name, "port", reason))
        sections_by_address[address] = name
    if settings.routing.short_max_tokens >= settings.routing.medium_max_tokens:
        reason = "must be less than medium_max_tokens"
        problems.append(_make_problem("routing", "short_max_tokens", reason))
    return problems


def _check_entry_settings(settings: EntrySettings) -> list[SettingsProblem]:
    problems = []
    listen = settings.listen
    for section, key, address in (
        ("listen", "callers", listen.callers),
        ("listen", "readiness", listen.readiness),
        ("listen", "peer_host", f"{listen.peer_host}:{listen.peer_port}"),
        ("store", "address", settings.store.address),
        ("listen", "metrics", listen.metrics or "127.0.0.1:0"),
    ):
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host)
            int(port)
        except ValueError:
            reason = "must be an IP address and port"
            problems.append(_make_problem(section, key, reason))
    return problems


def read_secret(path: str) -> bytes:
    """Returns the key in a secret file, without surrounding white space."""
    return Path(path).read_bytes().strip()


__all__ = [
    "SettingsProblem",
    "load_entry_settings",
    "load_settings",
    "parse_entry_settings",
    "parse_settings",
    "read_secret",
]
