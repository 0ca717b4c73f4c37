"""Simulates network partitions between daemons, peers and the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tests.virtual_time import SimulatedConnector

if TYPE_CHECKING:
    from collections.abc import Iterable

    from auburnswitch.experiments.fleet import Fleet

READ_BYTES = 65536


class PartitionableNetwork:
    """Opens the connections of a fleet's daemons and partitions them.

    A partition between two daemons delays the bytes of open connections and
    refuses new connections in both directions until it is healed.

    Attributes:
        fleet: The fleet; None until it has started.
        partitions: Pairs of instances that cannot reach each other.
        platform_partitioned: Instances that cannot reach the platform.
        changed: Set, and replaced by a new event, when partitions change.
        pumps: Tasks that forward bytes or watch connections.
    """

    def __init__(self) -> None:
        self.fleet: Fleet | None = None
        self.partitions: set[frozenset[str]] = set()
        self.platform_partitioned: set[str] = set()
        self.changed = asyncio.Event()
        self.pumps: list[asyncio.Task[None]] = []

    def options(self, instance: str) -> dict[str, Any]:
        """Returns the network arguments of ``open_daemon`` for an instance."""

        async def dial(host: str, port: int) -> tuple[Any, Any]:
            return await self.dial(instance, host, port)

        return {
            "dial": dial,
            "connector": lambda **options: PartitionedConnector(
                self, instance, options
            ),
        }

    def partition(self, group: Iterable[str], others: Iterable[str]) -> None:
        """Partitions each instance of a group from each of the others."""
        others = list(others)
        self.partitions |= {frozenset((a, b)) for a in group for b in others}
        self.notify_change()

    def partition_platform(self, instances: Iterable[str]) -> None:
        """Partitions instances from the platform."""
        self.platform_partitioned |= set(instances)
        self.notify_change()

    def heal(self) -> None:
        """Ends all partitions."""
        self.partitions.clear()
        self.platform_partitioned.clear()
        self.notify_change()

    def notify_change(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def instance_at(self, port: int) -> str:
        daemons = self.fleet.daemons if self.fleet else {}
        for instance, daemon in daemons.items():
            if daemon.member.port == port:
                return instance
        return ""

    def is_partitioned(self, instance: str, port: int) -> bool:
        return frozenset((instance, self.instance_at(port))) in self.partitions

    async def dial(self, instance: str, host: str, port: int) -> tuple:
        if self.is_partitioned(instance, port):
            raise ConnectionRefusedError("network partition")
        reader, writer = await asyncio.open_connection(host, port)
        local_reader = asyncio.StreamReader()
        buffered_writer = BufferedWriter(writer, local_reader)
        for pump in (
            self.pump(
                instance,
                port,
                reader.read,
                local_reader.feed_data,
                local_reader.feed_eof,
            ),
            self.pump(
                instance,
                port,
                buffered_writer.read_queued,
                buffered_writer.forward,
                writer.close,
            ),
        ):
            self.pumps.append(asyncio.create_task(pump))
        return local_reader, buffered_writer

    async def pump(
        self, instance: str, port: int, read: Any, write: Any, close: Any
    ) -> None:
        """Forwards bytes while the two daemons are not partitioned."""
        try:
            while data := await read(READ_BYTES):
                while self.is_partitioned(instance, port):
                    await self.changed.wait()
                write(data)
        except OSError:
            pass
        close()


class BufferedWriter:
    """Queues written bytes in place of a stream writer; a pump sends them."""

    def __init__(
        self, writer: asyncio.StreamWriter, local_reader: asyncio.StreamReader
    ) -> None:
        self.writer = writer
        self.local_reader = local_reader
        self.closed = False
        self.transport = writer.transport
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()

    async def read_queued(self, _: int) -> bytes:
        return await self.queue.get()

    def forward(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)

    def feed(self, data: bytes) -> None:
        if not self.closed:
            self.local_reader.feed_data(data)

    def write(self, data: bytes) -> None:
        self.queue.put_nowait(data)

    def close(self) -> None:
        self.closed = True
        self.queue.put_nowait(b"")
        self.local_reader.feed_eof()


class PartitionedConnector(SimulatedConnector):
    """Aborts and refuses an instance's connections to the platform."""

    def __init__(
        self,
        network: PartitionableNetwork,
        instance: str,
        options: dict[str, Any],
    ) -> None:
        super().__init__(**options)
        self.network = network
        self.instance = instance

    async def _wrap_create_connection(self, *args: Any, **kwargs: Any) -> Any:
        port = kwargs["addr_infos"][0][4][1]
        self.check(port)
        transport, protocol = await super()._wrap_create_connection(
            *args, **kwargs
        )
        watch = asyncio.create_task(
            self.abort_when_partitioned(transport, port)
        )
        self.network.pumps.append(watch)
        return transport, protocol

    def is_platform(self, port: int) -> bool:
        fleet = self.network.fleet
        return fleet is not None and fleet.platform.url.endswith(f":{port}")

    def check(self, port: int) -> None:
        partitioned = self.instance in self.network.platform_partitioned
        if partitioned and self.is_platform(port):
            raise ConnectionRefusedError("network partition")

    async def abort_when_partitioned(self, transport: Any, port: int) -> None:
        while not transport.is_closing():
            await self.network.changed.wait()
            partitioned = self.instance in self.network.platform_partitioned
            if partitioned and self.is_platform(port):
                transport.abort()


__all__ = ["PartitionableNetwork"]
