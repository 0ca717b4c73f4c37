"""Checks that each violation of the rules for stops is detected."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp

from auburnswitch.soak.daemon_process import DaemonProcess, ProcessRun
from auburnswitch.soak.fault_proxy import FaultProxy
from auburnswitch.soak.fleet import FleetOptions, SoakFleet
from auburnswitch.soak.run import check_history
from auburnswitch.soak.stop_checks import (
    Ending,
    check_stops,
    classify_ending,
    find_exit_problem,
    find_failed_tasks,
    find_refusal_problem,
)
from auburnswitch.soak.workload_generator import (
    NOT_EXECUTED_STATUSES,
    RequestRecord,
    WorkloadGenerator,
)
from auburnswitch.standins.endpoint import EndpointStandIn, ReceivedRequest
from tests.soak.test_soak import make_fleet

STOPPED_AT = 100.0
LAST_SIXTH_AT = STOPPED_AT + 10.0  # of 12 s


def make_options() -> FleetOptions:
    return FleetOptions(stop_grace_s=12.0, route_timeout_ms=30_000)


def make_lost_record(sent_s: float, ended_s: float, **fields) -> RequestRecord:
    """Returns a request without an answer; times are from SIGTERM on."""
    fields = {"path": "/read/1", "deadline_s": 30.0, **fields}
    return RequestRecord(
        id="r1",
        key="key-1",
        sent_at=STOPPED_AT + sent_s,
        ended_at=STOPPED_AT + ended_s,
        run=ProcessRun(daemon="entry-0", terminated_at=STOPPED_AT),
        **fields,
    )


def make_work(ended_at: float) -> ReceivedRequest:
    headers = {"x-attempt-id": "r1"}
    return ReceivedRequest(
        headers=headers, target="/", body=b"", ran=True, ended_at=ended_at
    )


async def send_to_closing_process(*, is_read: bool) -> RequestRecord:
    """Sends a request on a connection that is closed 0.3 s later."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        daemon = mock.Mock(callers_address=f"127.0.0.1:{port_of(listener)}")
        daemon.runs = [ProcessRun(daemon="entry-0")]
        workload = WorkloadGenerator(fleet=SoakFleet(), rng=random.Random(1))
        record = make_lost_record(loop.time() - STOPPED_AT, 0.0)
        async with aiohttp.ClientSession() as session:
            sending = workload.exchange(session, daemon, record)
            task = asyncio.create_task(sending)
            connection, _ = await loop.sock_accept(listener)
            with connection:
                if is_read:
                    await loop.sock_recv(connection, 65536)
                await asyncio.sleep(0.3)
            await task
    return record


def port_of(listener: socket.socket) -> int:
    return listener.getsockname()[1]


class EndingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = make_fleet(make_options())

    def classify(self, record: RequestRecord, *work_ends: float) -> Ending:
        work = [make_work(ended_at) for ended_at in work_ends]
        return classify_ending(record, work, self.fleet)

    def test_detects_lost_request_whenever_it_was_sent(self):
        for sent_s in (-5.0, 0.0, 3.0, 3.1, 7.0):
            record = make_lost_record(sent_s, 9.9)
            ending = self.classify(record, LAST_SIXTH_AT - 0.1)
            self.assertIs(ending, Ending.LOST, sent_s)

    def test_excuses_only_early_request_with_work_in_last_sixth(self):
        for sent_s, ending in (
            (-5.0, Ending.EXCUSED),
            (3.0, Ending.EXCUSED),
            (3.01, Ending.LOST),
        ):
            record = make_lost_record(sent_s, 12.0)
            self.assertIs(self.classify(record, LAST_SIXTH_AT), ending)

    def test_detects_loss_without_stop(self):
        record = make_lost_record(0.0, 1.0)
        record.run = ProcessRun(daemon="entry-0")
        self.assertIs(self.classify(record, STOPPED_AT + 1.0), Ending.LOST)

    def test_excuses_request_at_its_time_limit(self):
        record = make_lost_record(0.0, 2.0, deadline_s=2.0)
        self.assertIs(self.classify(record, LAST_SIXTH_AT), Ending.OVER_TIME)
        record.deadline_s = 2.1
        self.assertIs(self.classify(record, 1.0), Ending.LOST)

    def test_excuses_request_at_its_routes_timeout(self):
        record = make_lost_record(-28.0, 2.0, deadline_s=90.0)
        self.assertIs(self.classify(record, 1.0), Ending.OVER_TIME)

    def test_detects_late_close_of_request_that_was_not_passed_on(self):
        crossing = make_lost_record(1.0, 1.19)
        self.assertIs(self.classify(crossing), Ending.ANSWERED)
        held = make_lost_record(1.0, 1.3)
        self.assertIs(self.classify(held), Ending.LOST)

    def test_tells_whether_the_process_had_read_the_request(self):
        for is_read, ending in ((True, Ending.LOST), (False, Ending.ANSWERED)):
            record = asyncio.run(send_to_closing_process(is_read=is_read))
            self.assertIs(self.classify(record), ending)

    def test_reports_lost_request_with_its_times(self):
        record = make_lost_record(3.5, 12.0)
        problems, endings = check_stops([record], self.fleet)
        self.assertEqual(endings[Ending.LOST], 1)
        self.assertIn("sent +3.50, ended +12.00", problems[0])


class RefusalTest(unittest.TestCase):
    def refuse(self, took_s: float, retry_after_s: float | None) -> str:
        record = make_lost_record(1.0, 1.0 + took_s, status=503)
        record.complete, record.retry_after_s = True, retry_after_s
        return find_refusal_problem(record)

    def test_accepts_prompt_refusal(self):
        self.assertEqual(self.refuse(0.5, 0.05), "")

    def test_detects_late_refusal(self):
        self.assertIn("after 0.60 s", self.refuse(0.6, 0.05))

    def test_detects_refusal_without_retry_after(self):
        self.assertIn("without Retry-After", self.refuse(0.1, None))

    def test_detects_run_of_refused_request(self):
        fleet = make_fleet(make_options())
        endpoint = EndpointStandIn(endpoint_id="desk-1")
        fleet.endpoints[endpoint.id] = endpoint
        endpoint.received_requests.append(make_work(STOPPED_AT))
        for status in NOT_EXECUTED_STATUSES:
            record = make_lost_record(1.0, 1.1, path="/book/1", status=status)
            problem = "r1: reported as not executed, but ran"
            self.assertEqual(check_history([record], fleet), [problem])


class ExitTest(unittest.TestCase):
    def test_detects_kill_and_status(self):
        run = ProcessRun(daemon="entry-0", terminated_at=1.0, status=0)
        self.assertEqual(find_exit_problem(run), "")
        for fields in ({"status": -9, "killed": True}, {"status": 1}):
            failed = dataclasses.replace(run, **fields)
            self.assertTrue(find_exit_problem(failed))

    def test_kills_process_at_end_of_grace_time(self):
        async def stop() -> ProcessRun:
            daemon = DaemonProcess(
                name="entry-0",
                folder=Path(),
                store_proxy=FaultProxy(target=("127.0.0.1", 1)),
                stop_grace_s=0.5,
            )
            program = "import signal as s; s.signal(s.SIGTERM, s.SIG_IGN)"
            program += "; print(flush=True); s.pause()"
            daemon.process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program, stdout=asyncio.subprocess.PIPE
            )
            await daemon.process.stdout.readline()
            daemon.runs.append(ProcessRun(daemon="entry-0"))
            await daemon.stop()
            return daemon.runs[-1]

        run = asyncio.run(stop())
        self.assertTrue(run.killed)
        self.assertEqual(run.status, -signal.SIGKILL)
        self.assertGreaterEqual(run.exited_at - run.terminated_at, 0.5)

    def test_detects_failed_task(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            line = '{"event": 103, "event_name": "task_failed"}\n'
            (folder / "entry-0.log").write_text("{}\n" + line)
            self.assertEqual(len(find_failed_tasks(folder)), 1)


if __name__ == "__main__":
    unittest.main()
