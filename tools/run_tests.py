"""Runs the test modules side by side and prints one verdict.

Tests listed in KNOWN-RED.txt are run and printed but do not fail the run.
Arguments name test modules; without them every module under tests/ runs.
"""

from __future__ import annotations

import concurrent.futures
import io
import os
import signal
import sys
import time
import unittest
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE: Final = ROOT / "KNOWN-RED.txt"
WORKERS: Final = max(2, (os.cpu_count() or 2) - 2)
MODULE_TIMEOUT_S: Final = 600  # a module that hangs fails instead


class ModuleTimeoutError(BaseException):
    """A test module ran for too long."""


class ModuleReport:
    """What one test module did.

    Attributes:
        name: The module's dotted name.
        run: How many tests ran.
        failures: Test id and traceback of each failed test.
        seconds: Wall time of the module.
    """

    def __init__(
        self,
        *,
        name: str,
        run: int,
        failures: list[tuple[str, str]],
        seconds: float,
    ) -> None:
        self.name = name
        self.run = run
        self.failures = failures
        self.seconds = seconds


def find_modules() -> list[str]:
    """Returns the dotted names of all test modules."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    return [
        ".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths
    ]


def run_module(name: str) -> ModuleReport:
    """Runs one test module and collects its failures."""
    started = time.monotonic()
    signal.signal(signal.SIGALRM, _end_module)
    signal.alarm(MODULE_TIMEOUT_S)
    runner = unittest.TextTestRunner(stream=io.StringIO(), verbosity=0)
    try:
        suite = unittest.defaultTestLoader.loadTestsFromName(name)
        result = runner.run(suite)
    except ModuleTimeoutError:
        return ModuleReport(
            name=name,
            run=1,
            failures=[(name, f"not done after {MODULE_TIMEOUT_S} s")],
            seconds=time.monotonic() - started,
        )
    finally:
        signal.alarm(0)
    problems = [*result.failures, *result.errors]
    failures = [(test.id(), trace) for test, trace in problems]
    failures += [
        (test.id(), "unexpected success") for test in result.unexpectedSuccesses
    ]
    return ModuleReport(
        name=name,
        run=result.testsRun,
        failures=failures,
        seconds=time.monotonic() - started,
    )


def _end_module(_: int, __: object) -> None:
    raise ModuleTimeoutError


def read_known_red() -> set[str]:
    """Returns the ids of tests that are known to fail."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text("utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def main(names: list[str]) -> int:
    """Runs the named modules, or all, and returns the exit code."""
    known_red = read_known_red()
    passed = failed = 0
    with concurrent.futures.ProcessPoolExecutor(
        WORKERS, max_tasks_per_child=1
    ) as pool:
        running = [
            pool.submit(run_module, name) for name in names or find_modules()
        ]
        for done in concurrent.futures.as_completed(running):
            report = done.result()
            red = [f for f in report.failures if f[0] in known_red]
            bad = [f for f in report.failures if f[0] not in known_red]
            for test_id, trace in bad:
                print(f"FAILED {test_id}\n{trace}")
            for test_id, _ in red:
                print(f"KNOWN RED {test_id}")
            verdict = "FAILED" if bad else "ok"
            print(
                f"{verdict} {report.name} {report.run} {report.seconds:.1f} s"
            )
            passed += report.run - len(red) - len(bad)
            failed += len(bad)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
