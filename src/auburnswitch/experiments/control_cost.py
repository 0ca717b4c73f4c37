"""Measures what heartbeats cost by number of daemons.

Prints, for each number of daemons in one process and in virtual time, the
heartbeat calls and bytes that one daemon sends in a second, and the processor
time that the whole exchange takes from one daemon in a second of its life. The
daemons have a roster, hold no requests and own no endpoints.
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


class FrameMeter:
    """Counts the frames and bytes that are sent in the process.

    Attributes:
        frames: Frames sent.
        sent_bytes: Their size.
    """

    __slots__ = ("frames", "sent_bytes")

    def __init__(self) -> None:
        self.frames = 0
        self.sent_bytes = 0

    def install(self) -> None:
        """Counts all frames from now on."""
        encode = FrameWriter.encode

        def counted(writer: FrameWriter, envelope: Envelope) -> bytes:
            frame = encode(writer, envelope)
            self.frames += 1
            self.sent_bytes += len(frame)
            return frame

        FrameWriter.encode = counted  # type: ignore[method-assign]


async def measure(daemons: int, meter: FrameMeter) -> list[float]:
    """Returns frames, bytes and processor seconds per daemon and second."""
    options = FleetOptions(
        engines=0,
        plain_services=0,
        daemons=daemons,
        connector=SimulatedConnector,
    )
    async with open_fleet(options):
        await asyncio.sleep(SETTLE_S)
        frames, sent_bytes = meter.frames, meter.sent_bytes
        started_s = time.process_time()
        await asyncio.sleep(MEASURE_S)
        spent_s = time.process_time() - started_s
        share = daemons * MEASURE_S
        return [
            (meter.frames - frames) / share,
            (meter.sent_bytes - sent_bytes) / share,
            spent_s / share,
        ]


def main(*daemons: int) -> None:
    """Prints a table for some numbers of daemons."""
    meter = FrameMeter()
    meter.install()
    print("| Daemons | Frames/s | Bytes/s | Core share |")
    print("|---|---|---|---|")
    for number in daemons or DAEMON_COUNTS:
        frames, sent, core = run_virtual(lambda n=number: measure(n, meter))
        print(f"| {number} | {frames:.1f} | {sent:.0f} | {core:.2%} |")


if __name__ == "__main__":
    fire.Fire(main)


__all__ = ["FrameMeter", "main", "measure"]
