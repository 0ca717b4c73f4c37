"""Generates requests whose length and time limit vary around stops."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.soak.workload_generator import (
    LONG_TOKEN_COUNTS,
    REQUEST_INTERVAL_RANGE_S,
    REQUEST_PATHS,
    RequestRecord,
    WorkloadGenerator,
)

if TYPE_CHECKING:
    from auburnswitch.soak.daemon_process import DaemonProcess, ProcessRun

STEP_S: Final = 0.02  # an engine's time for a token
INSISTENT_SHARE: Final = 0.25  # of the callers
LONG_PROMPT_SHARE: Final = 0.04  # of the streams
SLOW_PLAIN_SHARE: Final = 0.3
# Shares of the grace time: three kinds of streams, and time limits.
STREAM_WORK_RANGES: Final = ((0.03, 0.25), (0.25, 1.0), (0.8, 1.4))
SLOW_PLAIN_WORK_RANGE: Final = (0.03, 0.9)
DEADLINES: Final = (0.3, 1.0, 3.0)
MAX_CALLER_ATTEMPTS: Final = 3
MAX_RETRY_WAIT_SHARE: Final = 1 / 3  # of the time left
MIN_TIME_LEFT_S: Final = 0.1


class StopWorkload(WorkloadGenerator):
    """Sends requests as the users' callers do around a planned stop.

    Most callers keep their connections until they are asked to close them and
    then leave the process; insistent ones open a connection for each request,
    also to a stopping process. A refused request goes to another daemon.
    """

    async def run(self) -> None:
        """Sends requests until the task is cancelled."""
        insistent = self.rng.random() < INSISTENT_SHARE
        connector = aiohttp.TCPConnector(force_close=insistent)
        left_runs: set[ProcessRun] = set()
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_RANGE_S))
                await self._call(session, left_runs)
                if insistent:
                    left_runs.clear()

    async def _call(
        self, session: aiohttp.ClientSession, left_runs: set[ProcessRun]
    ) -> None:
        """Sends one request, again where it is refused for a while."""
        loop = asyncio.get_running_loop()
        first = self._choose_request()
        give_up_at = first.sent_at + first.deadline_s
        tried: set[str] = set()
        for _ in range(MAX_CALLER_ATTEMPTS):
            time_left_s = give_up_at - loop.time()
            if time_left_s < MIN_TIME_LEFT_S:
                return
            record = dataclasses.replace(
                first,
                id=self.next_id(),
                sent_at=loop.time(),
                deadline_s=time_left_s,
                timeout_s=time_left_s,
            )
            daemon = self._choose_daemon(left_runs, tried)
            run = daemon.runs[-1]
            await self.exchange(session, daemon, record)
            if record.closes or (run.terminated_at and not record.complete):
                left_runs.add(run)
            if record.retry_after_s is None:
                return
            tried.add(daemon.name)
            max_wait_s = MAX_RETRY_WAIT_SHARE * (give_up_at - loop.time())
            await asyncio.sleep(min(record.retry_after_s, max_wait_s))

    def _choose_daemon(
        self, left_runs: set[ProcessRun], tried: set[str]
    ) -> DaemonProcess:
        daemons = self.fleet.daemons
        untried = [daemon for daemon in daemons if daemon.name not in tried]
        open_ones = [d for d in untried if d.runs[-1] not in left_runs]
        return self.rng.choice(open_ones or untried or daemons)

    def _choose_request(self) -> RequestRecord:
        grace_s = self.fleet.options.stop_grace_s
        record = RequestRecord(
            id="",
            path=self.rng.choice((*REQUEST_PATHS, "/chat/1")),
            key=self.rng.choice(("key-1", "key-2")),
            sent_at=asyncio.get_running_loop().time(),
            deadline_s=self.rng.choice(DEADLINES) * grace_s,
        )
        if record.path.startswith("/chat"):
            work_range = self.rng.choice(STREAM_WORK_RANGES)
            record.work_s = self.rng.uniform(*work_range) * grace_s
            record.tokens = f"900,{round(record.work_s / STEP_S)}"
            if self.rng.random() < LONG_PROMPT_SHARE:
                record.tokens = LONG_TOKEN_COUNTS
        elif self.rng.random() < SLOW_PLAIN_SHARE:
            record.work_s = self.rng.uniform(*SLOW_PLAIN_WORK_RANGE) * grace_s
        return record


__all__ = ["STEP_S", "StopWorkload"]
