"""Tests of the daemon processes of a soak."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from auburnswitch.soak.daemon_process import DaemonProcess
from auburnswitch.soak.fault_proxy import FaultProxy

EXIT_STATUS = 7
PROCESSES = 20
TIMEOUT_S = 30.0


class SignalTest(unittest.IsolatedAsyncioTestCase):
    # A signal to a process that was just ending had it reported as status 255.
    async def test_signals_leave_the_exit_status_alone(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        proxy = FaultProxy(target=("127.0.0.1", 9))
        daemon = DaemonProcess(
            name="entry", folder=folder, store_proxy=proxy, stop_grace_s=6.0
        )
        async with asyncio.timeout(TIMEOUT_S):
            for _ in range(PROCESSES):
                daemon.process = await asyncio.create_subprocess_exec(
                    sys.executable, "-c", f"raise SystemExit({EXIT_STATUS})"
                )
                while daemon.process.returncode is None:
                    daemon.send_signal(signal.SIGWINCH)  # ignored
                    await asyncio.sleep(0)
                self.assertEqual(daemon.process.returncode, EXIT_STATUS)


if __name__ == "__main__":
    unittest.main()
