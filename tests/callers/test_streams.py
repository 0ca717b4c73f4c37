"""Tests of answer streams that break or stall, or whose caller disconnects."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections import Counter
from typing import ClassVar
from urllib.parse import urlsplit

from auburnswitch.experiments.caller import stream_completion
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    Fleet,
    FleetOptions,
    open_fleet,
)
from auburnswitch.schema.objects import (
    Change,
    ObjectKind,
    Service,
    ServiceKind,
)
from auburnswitch.standins.answers import answer_text, prompt_digest
from auburnswitch.standins.engine_options import EngineOptions
from auburnswitch.standins.history import HistoryKind
from tests.virtual_time import SimulatedConnector, run_virtual

HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}
PROMPT = "one more question about the season " * 30
ANSWER_TOKENS = 200
PREFILL_BYTES = 240_000  # 3 s of prefill
CLEANUP_TIMEOUT_S = 5


def customize_settings(settings):
    settings.endpoints.stream_idle_timeout_s = 3
    settings.callers.slow_caller_timeout_s = 5


@contextlib.asynccontextmanager
async def open_warm_fleet(connector=SimulatedConnector):
    options = FleetOptions(
        engines=2,
        daemons=2,
        engine=EngineOptions(starts_warm=True),
        endpoint={"warm_after": 1},
        connector=connector,
        customize_settings=customize_settings,
    )
    async with open_fleet(options) as fleet:
        for _ in range(8):
            outcome = await complete(fleet, tokens=1)
            assert outcome.result == "ok", outcome
        yield fleet


async def complete(
    fleet: Fleet, *, tokens: int = ANSWER_TOKENS, deadline_s=60.0
):
    return await stream_completion(
        fleet.session,
        fleet.caller_url("entry-0"),
        {"model": MODEL, "prompt": PROMPT, "max_tokens": tokens},
        HEADERS | {"X-Deadline-Seconds": str(deadline_s)},
    )


def running_engine(fleet: Fleet):
    return next(e for e in fleet.engines.values() if e.batch.jobs())


def count_started(fleet: Fleet) -> int:
    return len(list(fleet.history.select(HistoryKind.REQUEST_STARTED)))


def count_running(fleet: Fleet) -> list[int]:
    return [len(engine.batch.jobs()) for engine in fleet.engines.values()]


def count_held(fleet: Fleet) -> list[int]:
    return [len(d.reservations.held) for d in fleet.daemons.values()]


def expected_answer() -> str:
    return answer_text(prompt_digest(PROMPT), ANSWER_TOKENS)


class StreamTest(unittest.TestCase):
    def run_fault(self, fault, **options):
        """Injects a fault into the engine that is running a request.

        Returns:
            The outcome, and the number of times that an engine started the
            request.
        """

        async def scenario():
            async with open_warm_fleet() as fleet:
                before = count_started(fleet)
                task = asyncio.create_task(complete(fleet, **options))
                await asyncio.sleep(2)
                await fault(fleet, running_engine(fleet))
                outcome = await task
                return outcome, count_started(fleet) - before

        return run_virtual(scenario)

    def test_dropped_connection_is_resumed(self):
        async def fault(_, engine):
            engine.drop_connections()

        outcome, runs = self.run_fault(fault)
        self.assertEqual((outcome.result, runs), ("ok", 1))
        self.assertEqual(outcome.text, expected_answer())
        self.assertEqual(outcome.tokens, ANSWER_TOKENS)

    def test_connection_dropped_during_prefill_is_resumed(self):
        async def scenario():
            async with open_warm_fleet() as fleet:
                before = count_started(fleet)
                body = {
                    "model": MODEL,
                    "prompt": "x" * PREFILL_BYTES,
                    "max_tokens": 4,
                }
                url = fleet.caller_url("entry-0")
                task = asyncio.create_task(
                    stream_completion(fleet.session, url, body, HEADERS)
                )
                await asyncio.sleep(1)
                for engine in fleet.engines.values():
                    engine.drop_connections()
                return (await task).result, count_started(fleet) - before

        self.assertEqual(run_virtual(scenario), ("ok", 1))

    def test_crash_is_continued_elsewhere(self):
        async def fault(_, engine):
            engine.crash()

        outcome, runs = self.run_fault(fault)
        self.assertEqual((outcome.result, runs), ("ok", 2))
        self.assertEqual(outcome.text, expected_answer())
        self.assertEqual(outcome.tokens, ANSWER_TOKENS)

    def test_stalled_answer_is_continued_elsewhere(self):
        async def fault(_, engine):
            engine.freeze(40)

        outcome, _ = self.run_fault(fault)
        self.assertEqual(outcome.result, "ok")
        self.assertEqual(outcome.text, expected_answer())

    def test_no_continuation_ends_with_an_error(self):
        async def fault(fleet, engine):
            service = Service(kind=ServiceKind.MODEL, allow_continuation=False)
            change = Change(
                kind=ObjectKind.SERVICE, name=MODEL, service=service
            )
            await fleet.apply(fleet.ticket([change]))
            await fleet.wait_until_converged()
            task = asyncio.create_task(complete(fleet))
            await asyncio.sleep(2)
            for each in fleet.engines.values():
                each.crash()
            self.crash_outcome = await task

        self.run_fault(fault)
        self.assertEqual(
            (
                self.crash_outcome.result,
                self.crash_outcome.ran,
            ),
            ("stream_broken", "yes"),
        )
        self.assertTrue(expected_answer().startswith(self.crash_outcome.text))

    def test_deadline_is_final(self):
        async def fault(_, __):
            pass

        outcome, _ = self.run_fault(fault, deadline_s=3.0)
        self.assertEqual(outcome.result, "deadline_exceeded")
        self.assertEqual(outcome.ran, "yes")
        self.assertAlmostEqual(outcome.total_s, 3.0, delta=0.5)


class CallerTest(unittest.TestCase):
    def test_disconnected_caller_frees_the_engine(self):
        async def scenario():
            async with open_warm_fleet() as fleet:
                task = asyncio.create_task(complete(fleet))
                await asyncio.sleep(2)
                engine = running_engine(fleet)
                task.cancel()
                await asyncio.sleep(CLEANUP_TIMEOUT_S)
                held = [
                    len(d.reservations.held) for d in fleet.daemons.values()
                ]
                return len(engine.batch.jobs()), held

        self.assertEqual(run_virtual(scenario), (0, [0, 0]))

    def test_slow_caller_frees_the_engine(self):
        async def scenario():
            async with open_warm_fleet() as fleet:
                body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 40_000}
                response = await fleet.session.post(
                    fleet.caller_url("entry-0") + "/v1/completions",
                    json=body | {"stream": True},
                    headers=HEADERS | {"X-Deadline-Seconds": "7000"},
                )
                await asyncio.sleep(400)  # the caller never reads
                running = count_running(fleet)
                held = [
                    len(d.reservations.held) for d in fleet.daemons.values()
                ]
                response.close()
                return running, held

        self.assertEqual(run_virtual(scenario), ([0, 0], [0, 0]))


class CountingConnector(SimulatedConnector):
    """Counts the connections that were opened to each port."""

    opened: ClassVar[Counter[int]] = Counter()

    async def _wrap_create_connection(self, *args, **options):
        CountingConnector.opened[options["addr_infos"][0][4][1]] += 1
        return await super()._wrap_create_connection(*args, **options)


class ConnectionTest(unittest.TestCase):
    def test_connections_to_engines_are_reused(self):
        async def scenario():
            async with open_warm_fleet(CountingConnector) as fleet:
                await asyncio.sleep(5)
                ports = [
                    urlsplit(engine.url).port
                    for engine in fleet.engines.values()
                ]

                def count():
                    return sum(CountingConnector.opened[p] for p in ports)

                before = count()
                for number in range(6):
                    outcome = await complete(fleet, tokens=2 + number)
                    self.assertEqual(outcome.result, "ok")
                self.assertGreater(before, 0)
                return count() - before

        self.assertLess(run_virtual(scenario), 3)  # fewer than one per request
