"""Measures the cost of heartbeats by number of daemons.

Runs each number of daemons in one process and in virtual time. Prints the
heartbeat frames and bytes that one daemon sends per second, and the CPU time
that the heartbeat exchange costs one daemon per second of virtual time. The
daemons have a roster, no requests and no endpoints.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import fire

from auburnswitch.experiments.fleet import FleetOptions, open_fleet
from auburnswitch.experiments.virtual_time import (
    SimulatedConnector,
    run_virtual,
)
from auburnswitch.members.frames import FrameWriter

if TYPE_CHECKING:
    from auburnswitch.schema.peers import Envelope

SETTLE_S: Final = 20.0
MEASURE_S: Final = 10.0
DAEMON_COUNTS: Final = (3, 9, 27)


class FrameCounter:
    """Counts the frames and bytes that all daemons of the process send.

    Attributes:
        frames: Number of frames sent.
        sent_bytes: Total size of the frames, in bytes.
    """

    __slots__ = ("frames", "sent_bytes")

    def __init__(self) -> None:
        self.frames = 0
        self.sent_bytes = 0

    def install(self) -> None:
        """Wraps `FrameWriter.encode` so that all further frames are counted."""
        encode = FrameWriter.encode

        def counting_encode(writer: FrameWriter, envelope: Envelope) -> bytes:
            frame = encode(writer, envelope)
            self.frames += 1
            self.sent_bytes += len(frame)
            return frame

        FrameWriter.encode = counting_encode  # type: ignore[method-assign]


async def measure(daemons: int, counter: FrameCounter) -> list[float]:
    """Returns frames, bytes and CPU seconds per daemon and second."""
    options = FleetOptions(
        engines=0,
        plain_services=0,
        daemons=daemons,
        connector=SimulatedConnector,
    )
    async with open_fleet(options):
        await asyncio.sleep(SETTLE_S)
        frames, sent_bytes = counter.frames, counter.sent_bytes
        started_s = time.process_time()
        await asyncio.sleep(MEASURE_S)
        cpu_s = time.process_time() - started_s
        daemon_seconds = daemons * MEASURE_S
        return [
            (counter.frames - frames) / daemon_seconds,
            (counter.sent_bytes - sent_bytes) / daemon_seconds,
            cpu_s / daemon_seconds,
        ]


def main(*daemons: int) -> None:
    """Prints a table with a row per number of daemons.

    Args:
        *daemons: Numbers of daemons; `DAEMON_COUNTS` if empty.
    """
    counter = FrameCounter()
    counter.install()
    print("| Daemons | Frames/s | Bytes/s | Core share |")
    print("|---|---|---|---|")
    for number in daemons or DAEMON_COUNTS:
        frames, bytes_per_s, cpu_share = run_virtual(
            lambda n=number: measure(n, counter)
        )
        print(
            f"| {number} | {frames:.1f} | {bytes_per_s:.0f} | {cpu_share:.2%} |"
        )


if __name__ == "__main__":
    fire.Fire(main)


__all__ = ["FrameCounter", "main", "measure"]
