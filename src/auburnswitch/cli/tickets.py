"""Provides the commands for change tickets."""

from __future__ import annotations

import asyncio
import datetime
import sys
import time
from pathlib import Path
from typing import Any, Final

from auburnswitch.cli.client import OperatorClient
from auburnswitch.cli.errors import (
    EXIT_NOT_IN_FORCE,
    EXIT_OK,
    EXIT_USAGE,
    CommandError,
)
from auburnswitch.cli.output import print_json, print_table
from auburnswitch.operators.ticket_file import parse_ticket
from auburnswitch.schema.base import SchemaError, to_json

WAIT_TIMEOUT_S: Final = 60.0
WAIT_POLL_INTERVAL_S: Final = 0.25


class TicketCommands:
    """Applies, lists and shows change tickets."""

    def apply(
        self,
        ticket_file: str,
        wait: bool = False,
        timeout_s: float = WAIT_TIMEOUT_S,
        url: str = "",
        key_file: str = "",
        json: bool = False,
    ) -> int:
        """Applies the ticket in a TOML file.

        Args:
            ticket_file: Path of the file.
            wait: Wait until the ticket is in force in every daemon.
            timeout_s: Longest wait, in seconds.
            url: Base URL of a daemon's operators' listener.
            key_file: File with the operator key.
            json: Print JSON.
        """
        ticket = _read_ticket(ticket_file)
        client = OperatorClient(url=url, key_file=key_file)
        report = asyncio.run(_apply(client, ticket, wait, timeout_s))
        if json:
            print_json(report)
        else:
            _print_report(report)
        return EXIT_NOT_IN_FORCE if report.get("pending") else EXIT_OK

    def list(
        self, url: str = "", key_file: str = "", json: bool = False
    ) -> int:
        """Lists the accepted tickets.

        Args:
            url: Base URL of a daemon's operators' listener.
            key_file: File with the operator key.
            json: Print JSON.
        """
        client = OperatorClient(url=url, key_file=key_file)
        body = asyncio.run(client.get("/tickets"))
        if json:
            print_json(body)
            return EXIT_OK
        rows = [
            (
                ticket["number"],
                _format_time(ticket["accepted_at"]),
                ticket["author"],
                len(ticket["changes"]),
                ticket["note"],
            )
            for ticket in body["tickets"]
        ]
        print_table(("NUMBER", "ACCEPTED", "AUTHOR", "CHANGES", "NOTE"), rows)
        return EXIT_OK

    def show(self, number: int, url: str = "", key_file: str = "") -> int:
        """Shows one ticket as JSON.

        Args:
            number: The ticket's number.
            url: Base URL of a daemon's operators' listener.
            key_file: File with the operator key.
        """
        client = OperatorClient(url=url, key_file=key_file)
        print_json(asyncio.run(client.get(f"/tickets/{number}")))
        return EXIT_OK


async def _apply(
    client: OperatorClient, ticket: dict[str, Any], wait: bool, timeout_s: float
) -> dict[str, Any]:
    body = await client.post("/tickets", ticket)
    number = body["ticket"]["number"]
    for warning in body["warnings"]:
        print(f"warning: {warning}", file=sys.stderr)
    report = {"ticket": number, "accepted": True}
    return report | (
        await _wait_until_in_force(client, number, timeout_s) if wait else {}
    )


async def _wait_until_in_force(
    client: OperatorClient, number: int, timeout_s: float
) -> dict[str, Any]:
    started_at = time.monotonic()
    while True:
        body = await client.get(f"/tickets/{number}/in-force")
        waited_s = time.monotonic() - started_at
        if not body["pending"] or waited_s > timeout_s:
            return {
                "in_force": body["in_force"],
                "pending": body["pending"],
                "waited_s": round(waited_s, 3),
            }
        await asyncio.sleep(WAIT_POLL_INTERVAL_S)


def _print_report(report: dict[str, Any]) -> None:
    print(f"ticket {report['ticket']} accepted")
    if "in_force" not in report:
        return
    count = len(report["in_force"])
    print(f"in force in {count} daemons after {report['waited_s']} s")
    if report["pending"]:
        print(f"not yet in force in: {', '.join(report['pending'])}")


def _read_ticket(ticket_file: str) -> dict[str, Any]:
    try:
        text = Path(ticket_file).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"cannot read {ticket_file}: {error}"
        raise CommandError(message, EXIT_USAGE) from error
    try:
        return to_json(parse_ticket(text))
    except SchemaError as error:
        raise CommandError(f"{ticket_file}: {error}", EXIT_USAGE) from error


def _format_time(seconds: float) -> str:
    time_utc = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time_utc.strftime("%Y-%m-%d %H:%M:%S")


__all__ = ["TicketCommands"]
