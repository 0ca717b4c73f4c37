"""Runs a load test and prints or saves its report."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from auburnswitch.cli.errors import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_USAGE,
    CommandError,
)
from auburnswitch.cli.output import print_json, print_table
from auburnswitch.experiments.load import (
    LoadOptions,
    ModelTarget,
    RouteTarget,
    run_load,
)


def make_load_target(
    *, model: str, host: str, path: str
) -> ModelTarget | RouteTarget:
    """Returns the target of a load test.

    Raises:
        CommandError: Neither a model nor a route is given, or both are.
    """
    if model and not host and not path:
        return ModelTarget(model=model)
    if host and path and not model:
        return RouteTarget(host=host, path=path)
    message = "give either --model, or --host and --path"
    raise CommandError(message, EXIT_USAGE)


def run_load_command(options: LoadOptions, *, save: str, as_json: bool) -> int:
    """Runs a load test, prints its report and returns the exit code.

    Raises:
        CommandError: The options are not valid or the report cannot be saved.
    """
    try:
        report = asyncio.run(run_load(options)).to_json()
    except ValueError as error:
        raise CommandError(str(error), EXIT_USAGE) from error
    if save:
        _save_report(save, report)
    if as_json:
        print_json(report)
    else:
        _print_report(report)
    results = [
        length_report["results"] for length_report in report["lengths"].values()
    ]
    all_ok = all(set(counts) == {"ok"} for counts in results)
    return EXIT_OK if all_ok else EXIT_REFUSED


def _save_report(path: str, report: dict[str, Any]) -> None:
    try:
        Path(path).write_text(json.dumps(report, indent=2) + "\n", "utf-8")
    except OSError as error:
        message = f"cannot write {path}: {error.strerror}"
        raise CommandError(message, EXIT_USAGE) from error


def _print_report(report: dict[str, Any]) -> None:
    rows = []
    for name, length_report in report["lengths"].items():
        first_token_times_s = length_report["first_token_s"]
        results = ", ".join(
            f"{k} {v}" for k, v in length_report["results"].items()
        )
        rows.append(
            (
                name,
                length_report["requests"],
                *first_token_times_s.values(),
                results,
            )
        )
    columns = ("LENGTH", "REQUESTS", "P50 S", "P95 S", "P99 S", "RESULTS")
    print_table(columns, rows)
    print(f"took {report['took_s']} s")


__all__ = ["make_load_target", "run_load_command"]
