"""Tests of the stand-ins as separate processes on real sockets."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import unittest
from typing import Any

import aiohttp

TEST_TIMEOUT_S = 20


async def start_standin(
    *arguments: str,
) -> tuple[asyncio.subprocess.Process, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "auburnswitch.standins",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    line = await process.stdout.readline()
    return process, line.decode().strip()


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def exercise(
        self, arguments: list[str], path: str, control: Any
    ) -> str:
        process, url = await start_standin(*arguments)
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(url + path) as response:
                    self.assertEqual(response.status, 200)
                async with session.post(
                    url + "/control", json=control
                ) as response:
                    self.assertEqual(response.status, 200)
                async with session.post(
                    url + "/control", json={"x": 1}
                ) as response:
                    self.assertEqual(response.status, 400)
                async with session.get(url + "/control/history") as response:
                    history = await response.text()
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            self.assertEqual((process.returncode, errors), (0, b""))
        finally:
            if process.returncode is None:
                process.kill()
        return history

    async def test_each_standin_serves_and_exits_cleanly(self):
        cases = [
            (["platform", "--writes_per_second=5"], "/objects", "outage"),
            (["engine", "--name=e1", "--starts_warm"], "/load", "turn_cold"),
            (["plain", "--name=p1"], "/slots", "leaving"),
            (["weights"], "/weights/m/1", "outage"),
        ]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            histories = [
                await self.exercise(arguments, path, {switch: True})
                for arguments, path, switch in cases
            ]
        self.assertIn('"kind":"turned_cold"', histories[1])
        self.assertIn('"path":"/slots"', histories[2])

    async def test_open_stream_is_aborted_on_shutdown(self):
        process, url = await start_standin("engine", "--starts_warm")
        body = {"prompt": "hello", "max_tokens": 5_000, "stream": True}
        try:
            async with (
                asyncio.timeout(TEST_TIMEOUT_S),
                aiohttp.ClientSession() as session,
                session.post(url + "/v1/completions", json=body) as response,
            ):
                await response.content.readline()
                process.terminate()
                with self.assertRaises(aiohttp.ClientPayloadError):
                    await response.read()
                self.assertEqual(await process.wait(), 0)
        finally:
            if process.returncode is None:
                process.kill()


if __name__ == "__main__":
    unittest.main()
