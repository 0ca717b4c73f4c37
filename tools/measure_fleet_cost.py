"""Measures what a large fleet costs one entry daemon that serves nothing.

Starts one daemon as a process on loopback and sends it the datagrams of a fleet
of simulated peers: their heartbeats, and reports of work on endpoints. Prints
one line of JSON for each size: processor time until the daemon is ready, and
the shares of a core without and with work in the fleet. Times are meaningful
only as ratios and differences within one run.

    python tools/measure_fleet_cost.py 23 62 195
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.http_server import open_http_server
from auburnswitch.members.gossip_peer import heartbeat_interval_s
from auburnswitch.members.signed_frames import encode_signed
from auburnswitch.platform.protocol import READINESS_PATH
from auburnswitch.schema.base import to_json
from auburnswitch.schema.gossip import (
    DaemonRecord,
    Gossip,
    GossipFrame,
    WorkItem,
)
from auburnswitch.standins import installation_objects
from auburnswitch.standins.endpoint import EndpointStandIn
from auburnswitch.standins.installation_store import InstallationStore
from auburnswitch.standins.ports import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ZONES: Final = ("zone-1", "zone-2", "zone-3", "zone-4", "zone-5")
REQUESTS_PER_DAEMON_S: Final = 0.8
MESSAGES_PER_REQUEST: Final = 2  # its start and its end
RELAY_INTERVAL_S: Final = 0.01
SETTLE_S: Final = 4.0
READY_TIMEOUT_S: Final = 10.0
MEASURED_S: Final = 15.0
LINK_MBPS: Final = 20.0
FAST_LINK_MBPS: Final = 200.0  # of the first simulated peer in each zone
KEY: Final = bytes(32)
SOURCE_FOLDER: Final = Path(__file__).resolve().parent.parent / "src"


class SimulatedFleet:
    """Peers of the measured daemon, all sent from one socket.

    Attributes:
        records: Records of the simulated peers.
        requests_per_s: Requests that the whole fleet serves per second.
        recipients_ratio: Share of the requests whose reports reach the
            measured daemon.
        sent_messages: Number of messages sent so far.
    """

    def __init__(self, *, peer_count: int, port: int, seed: int = 1) -> None:
        self.records = [
            DaemonRecord(
                instance=f"front-{number}",
                zone=ZONES[number % len(ZONES)],
                host="127.0.0.1",
                port=port,
                link_mbps=FAST_LINK_MBPS if number < len(ZONES) else LINK_MBPS,
            )
            for number in range(peer_count)
        ]
        self.requests_per_s = 0.0
        self.recipients_ratio = 1.0
        self.sent_messages = 0
        self._rng = random.Random(seed)
        self._sequence = 0

    async def run(self, transport: asyncio.DatagramTransport) -> None:
        """Sends batches of messages, as a relay does, until cancelled."""
        interval_s = heartbeat_interval_s(len(self.records))
        heartbeats_due = work_due = 0.0
        previous = time.monotonic()
        while True:
            await asyncio.sleep(RELAY_INTERVAL_S)
            now = time.monotonic()
            elapsed_s, previous = now - previous, now
            heartbeats_due += elapsed_s * len(self.records) / interval_s
            work_due += (
                elapsed_s
                * self.requests_per_s
                * self.recipients_ratio
                * MESSAGES_PER_REQUEST
            )
            messages = [self._heartbeat() for _ in range(int(heartbeats_due))]
            messages += [self._work_report() for _ in range(int(work_due))]
            heartbeats_due %= 1
            work_due %= 1
            if messages:
                frame = GossipFrame(messages=messages)
                transport.sendto(encode_signed(KEY, frame))
                self.sent_messages += len(messages)

    def _message(self, record: DaemonRecord) -> Gossip:
        self._sequence += 1
        return Gossip(
            sender=record.instance,
            incarnation=1,
            sequence=self._sequence,
            host=record.host,
            port=record.port,
            zone=record.zone,
            link_mbps=record.link_mbps,
            config_version=1,
            endpoints_revision=1,
            store_read_age_ms=500.0,
            relayed=True,
        )

    def _heartbeat(self) -> Gossip:
        record = self.records[self._sequence % len(self.records)]
        message = self._message(record)
        message.leading = record.link_mbps == FAST_LINK_MBPS
        return message

    def _work_report(self) -> Gossip:
        message = self._message(self._rng.choice(self.records))
        item = WorkItem(
            id=self._sequence,
            endpoint=f"engine-{self._rng.randrange(len(self.records))}",
            read_ms=20.0,
            memory_tokens=5_000,
            target_gap_ms=300.0,
            remaining_ms=900.0,
            due_ms=300.0,
        )
        message.items = [item]
        message.ended = [self._sequence - 1]
        return message


def processor_time_s(pid: int) -> float:
    """Returns the user and system time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text("utf-8").rsplit(") ", 1)[1]
    ticks = sum(map(int, fields.split()[11:13]))
    return ticks / os.sysconf("SC_CLK_TCK")


@contextlib.asynccontextmanager
async def open_platform(fleet: SimulatedFleet) -> AsyncIterator[str]:
    """Runs the store and one endpoint stand-in; yields the store's address."""
    store = InstallationStore()
    async with (
        open_http_server(
            store.make_app(), host="127.0.0.1", port=0
        ) as listener,
        open_http_server(
            EndpointStandIn(endpoint_id="engine"), host="127.0.0.1", port=0
        ) as endpoint,
    ):
        for number in range(len(fleet.records)):
            installation_objects.put_endpoint(
                store,
                f"engine-{number}",
                "engines",
                f"127.0.0.1:{endpoint.port}",
            )
        installation_objects.put_config(
            store, installation_objects.make_config(1, ["key-1"])
        )
        for record in fleet.records:
            store.put("auburnswitch-daemons", record.instance, to_json(record))
        store.put("auburnswitch-daemons", "peer-key", {"key": KEY.hex()})
        yield f"127.0.0.1:{listener.port}"


@contextlib.asynccontextmanager
async def open_daemon(
    store_address: str, readiness_port: int, peer_port: int, profile: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs the measured daemon as a process, under a profiler if named."""
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "entry.ini"
        settings.write_text(
            "[instance]\nname = measured\nzone = zone-1\n"
            f"link_mbps = {LINK_MBPS}\n"
            f"[listen]\ncallers = 127.0.0.1:{free_port()}\n"
            f"readiness = 127.0.0.1:{readiness_port}\npeer_host = 127.0.0.1\n"
            f"peer_port = {peer_port}\n[store]\naddress = {store_address}\n",
            "utf-8",
        )
        profiler = ["-m", "cProfile", "-o", profile] if profile else []
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *profiler,
            "-m",
            "auburnswitch.entry",
            str(settings),
            stdout=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(SOURCE_FOLDER)},
        )
        try:
            yield process
        finally:
            process.terminate()
            await process.wait()


async def wait_until_ready(port: int) -> None:
    """Polls the readiness check until it succeeds."""
    url = f"http://127.0.0.1:{port}{READINESS_PATH}"
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        aiohttp.ClientSession() as session,
    ):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)


async def measure_core_share(pid: int, seconds: float) -> float:
    """Returns the share of a core that a process uses."""
    before_s = processor_time_s(pid)
    await asyncio.sleep(seconds)
    return (processor_time_s(pid) - before_s) / seconds


async def measure(
    daemon_count: int, recipients_ratio: float, profile: str
) -> dict[str, float]:
    """Measures one size of the fleet."""
    sink_port, peer_port, readiness_port = (free_port() for _ in range(3))
    fleet = SimulatedFleet(peer_count=daemon_count - 1, port=sink_port)
    fleet.recipients_ratio = recipients_ratio
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol,
        local_addr=("127.0.0.1", sink_port),
        remote_addr=("127.0.0.1", peer_port),
    )
    async with (
        open_platform(fleet) as store_address,
        open_daemon(
            store_address, readiness_port, peer_port, profile
        ) as process,
    ):
        await wait_until_ready(readiness_port)
        start_s = processor_time_s(process.pid)
        sender = asyncio.create_task(fleet.run(transport))
        await asyncio.sleep(SETTLE_S)
        idle = await measure_core_share(process.pid, MEASURED_S)
        fleet.requests_per_s = REQUESTS_PER_DAEMON_S * daemon_count
        sent_before = fleet.sent_messages
        loaded = await measure_core_share(process.pid, MEASURED_S)
        sender.cancel()
    transport.close()
    return {
        "daemons": daemon_count,
        "start_s": round(start_s, 3),
        "idle_core_share": round(idle, 4),
        "loaded_core_share": round(loaded, 4),
        "messages_per_s": round(
            (fleet.sent_messages - sent_before) / MEASURED_S, 1
        ),
    }


def main() -> None:
    """Measures the sizes named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("daemons", type=int, nargs="+")
    parser.add_argument("--recipients-ratio", type=float, default=1.0)
    parser.add_argument("--profile", default="")
    options = parser.parse_args()
    for daemon_count in options.daemons:
        figures = asyncio.run(
            measure(daemon_count, options.recipients_ratio, options.profile)
        )
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
