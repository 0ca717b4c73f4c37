"""Provides the top-level commands of the command-line tool."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import fire

from auburnswitch.cli.client import OperatorClient, read_key
from auburnswitch.cli.errors import EXIT_OK, EXIT_USAGE, CommandError
from auburnswitch.cli.output import print_fields, print_json, print_table
from auburnswitch.cli.settings import SettingsCommands
from auburnswitch.cli.tickets import TicketCommands


class Commands:
    """Commands that operate auburnswitch.

    The operators' listener and its key come from --url and --key_file, or from
    the variables AUBURNSWITCH_URL and AUBURNSWITCH_KEY_FILE.
    """

    def __init__(self) -> None:
        self.ticket = TicketCommands()
        self.settings = SettingsCommands()

    def status(
        self, url: str = "", key_file: str = "", json: bool = False
    ) -> int:
        """Shows the status of one daemon.

        Args:
            url: Base URL of the daemon's operators' listener.
            key_file: File with the operator key.
            json: Print JSON.
        """
        client = OperatorClient(url=url, key_file=key_file)
        body = asyncio.run(client.get("/status"))
        if json:
            print_json(body)
        else:
            print_fields(body)
        return EXIT_OK

    def endpoints(
        self, url: str = "", key_file: str = "", json: bool = False
    ) -> int:
        """Lists the endpoints with their phase, load and owner.

        Args:
            url: Base URL of a daemon's operators' listener.
            key_file: File with the operator key.
            json: Print JSON.
        """
        client = OperatorClient(url=url, key_file=key_file)
        body = asyncio.run(client.get("/endpoints"))
        if json:
            print_json(body)
            return EXIT_OK
        rows = [
            (
                row["endpoint"],
                row["service"],
                row["zone"],
                row["phase"],
                f"{row['running']}/{row['max_running']}",
                row["free_tokens"],
                row["owner"],
            )
            for row in body["endpoints"]
        ]
        columns = (
            "ENDPOINT",
            "SERVICE",
            "ZONE",
            "PHASE",
            "RUNNING",
            "FREE TOKENS",
            "OWNER",
        )
        print_table(columns, rows)
        return EXIT_OK

    def audit(
        self,
        object_name: str = "",
        author: str = "",
        url: str = "",
        key_file: str = "",
    ) -> int:
        """Shows the audit trail of accepted changes as JSON.

        Args:
            object_name: Only changes of this object, such as endpoint/e1.
            author: Only changes of this author.
            url: Base URL of a daemon's operators' listener.
            key_file: File with the operator key.
        """
        client = OperatorClient(url=url, key_file=key_file)
        query = {"object": object_name, "author": author}
        filters = {name: value for name, value in query.items() if value}
        print_json(asyncio.run(client.get("/audit", **filters)))
        return EXIT_OK

    def load(
        self,
        urls: str,
        key_file: str,
        model: str = "",
        host: str = "",
        path: str = "",
        requests: int = 100,
        rate_per_s: float = 10.0,
        answer_tokens: int = 16,
        seed: int = 1,
        save: str = "",
        json: bool = False,
    ) -> int:
        """Sends requests with a mix of prompt lengths and reports the results.

        Args:
            urls: Base URLs of daemons for callers, separated by commas.
            key_file: File with a caller key.
            model: Model to request through the completion API.
            host: Host of a route to call instead of a model.
            path: Path on the host of the route.
            requests: Number of requests to send.
            rate_per_s: Mean arrival rate, in requests per second.
            answer_tokens: Number of tokens of each answer.
            seed: Seed of the prompt lengths and arrival times.
            save: File for the report as JSON.
            json: Print JSON.
        """
        from auburnswitch.cli.load import make_load_target, run_load_command
        from auburnswitch.experiments.load import LoadOptions

        options = LoadOptions(
            urls=str(urls).split(","),
            caller_key=read_key(key_file),
            target=make_load_target(model=model, host=host, path=path),
            requests=requests,
            rate_per_s=rate_per_s,
            answer_tokens=answer_tokens,
            seed=seed,
        )
        return run_load_command(options, save=save, as_json=json)

    def explain(self, request_id: str, *log_files: str) -> int:
        """Shows the log events of one request and of its endpoints.

        Args:
            request_id: Id of the request, or a prefix of the id.
            *log_files: Logs of the daemons.
        """
        from auburnswitch.cli.explain import explain

        return explain(str(request_id), log_files)

    def demo(self) -> int:
        """Runs two small fleets in one process and prints their activity."""
        from auburnswitch.experiments.demo import run_demo
        from auburnswitch.experiments.entry_demo import run_entry_demo

        asyncio.run(run_demo())
        asyncio.run(run_entry_demo())
        return EXIT_OK


def run(arguments: list[str] | None = None) -> None:
    """Runs ``auburnswitch`` and exits with the exit code of the command."""
    try:
        result: Any = fire.Fire(
            Commands(),
            command=arguments,
            name="auburnswitch",
            serialize=lambda _: None,
        )
    except CommandError as error:
        print(f"auburnswitch: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    except KeyboardInterrupt:
        sys.exit(EXIT_USAGE)
    sys.exit(result if isinstance(result, int) else EXIT_OK)


__all__ = ["Commands", "run"]
