"""Cuts daemons of a fleet off from peers and from the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tests.virtual_time import SimulatedConnector

if TYPE_CHECKING:
    from collections.abc import Iterable

    from auburnswitch.experiments.fleet import Fleet

READ_BYTES = 65536


class PartitionableNetwork:
    """Opens the connections of a fleet's daemons, and cuts them.

    A cut holds back the bytes of open connections and refuses new ones, both
    ways, until it is healed.

    Attributes:
        fleet: The fleet, once it is there.
        cuts: Pairs of instances that do not reach each other.
        platform_partitioned: Instances that do not reach the platform.
        changed: Replaced, and set, with each change of the cuts.
    """

    def __init__(self) -> None:
        self.fleet: Fleet | None = None
        self.cuts: set[frozenset[str]] = set()
        self.platform_partitioned: set[str] = set()
        self.changed = asyncio.Event()
        self.pumps: list[asyncio.Task[None]] = []

    def options(self, instance: str) -> dict[str, Any]:
        """Returns the arguments of ``open_daemon`` for an instance."""

        async def dial(host: str, port: int) -> tuple[Any, Any]:
            return await self.dial(instance, host, port)

        return {
            "dial": dial,
            "connector": lambda: PartitionedConnector(self, instance),
        }

    def cut(self, group: Iterable[str], others: Iterable[str]) -> None:
        """Cuts each instance of a group off from each of the others."""
        others = list(others)
        self.cuts |= {frozenset((a, b)) for a in group for b in others}
        self.note_change()

    def cut_platform(self, instances: Iterable[str]) -> None:
        """Cuts instances off from the platform."""
        self.platform_partitioned |= set(instances)
        self.note_change()

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()
        self.platform_partitioned.clear()
        self.note_change()

    def note_change(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def instance_at(self, port: int) -> str:
        daemons = self.fleet.daemons if self.fleet else {}
        for instance, daemon in daemons.items():
            if daemon.member.port == port:
                return instance
        return ""

    def is_cut(self, instance: str, port: int) -> bool:
        return frozenset((instance, self.instance_at(port))) in self.cuts

    async def dial(self, instance: str, host: str, port: int) -> tuple:
        if self.is_cut(instance, port):
            raise ConnectionRefusedError("cut")
        reader, writer = await asyncio.open_connection(host, port)
        near = asyncio.StreamReader()
        held = BufferedWriter(writer, near)
        for pump in (
            self.pump(
                instance, port, reader.read, near.feed_data, near.feed_eof
            ),
            self.pump(instance, port, held.take, held.pass_on, writer.close),
        ):
            self.pumps.append(asyncio.create_task(pump))
        return near, held

    async def pump(
        self, instance: str, port: int, read: Any, write: Any, end: Any
    ) -> None:
        """Passes bytes on while the pair is not cut."""
        try:
            while data := await read(READ_BYTES):
                while self.is_cut(instance, port):
                    await self.changed.wait()
                write(data)
        except OSError:
            pass
        end()


class BufferedWriter:
    """Stands in for a stream writer, whose bytes a pump passes on."""

    def __init__(
        self, writer: asyncio.StreamWriter, near: asyncio.StreamReader
    ) -> None:
        self.writer = writer
        self.near = near
        self.closed = False
        self.transport = writer.transport
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()

    async def take(self, _: int) -> bytes:
        return await self.queue.get()

    def pass_on(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)

    def feed(self, data: bytes) -> None:
        if not self.closed:
            self.near.feed_data(data)

    def write(self, data: bytes) -> None:
        self.queue.put_nowait(data)

    def close(self) -> None:
        self.closed = True
        self.queue.put_nowait(b"")
        self.near.feed_eof()


class PartitionedConnector(SimulatedConnector):
    """Breaks and refuses the connections of a cut instance."""

    def __init__(self, network: PartitionableNetwork, instance: str) -> None:
        super().__init__(limit=0)
        self.network = network
        self.instance = instance

    async def _wrap_create_connection(self, *args: Any, **kwargs: Any) -> Any:
        port = kwargs["addr_infos"][0][4][1]
        self.check(port)
        transport, protocol = await super()._wrap_create_connection(
            *args, **kwargs
        )
        watch = asyncio.create_task(self.break_when_cut(transport, port))
        self.network.pumps.append(watch)
        return transport, protocol

    def is_platform(self, port: int) -> bool:
        fleet = self.network.fleet
        return fleet is not None and fleet.platform.url.endswith(f":{port}")

    def check(self, port: int) -> None:
        cut = self.instance in self.network.platform_partitioned
        if cut and self.is_platform(port):
            raise ConnectionRefusedError("cut")

    async def break_when_cut(self, transport: Any, port: int) -> None:
        while not transport.is_closing():
            await self.network.changed.wait()
            cut = self.instance in self.network.platform_partitioned
            if cut and self.is_platform(port):
                transport.abort()


__all__ = ["PartitionableNetwork"]
