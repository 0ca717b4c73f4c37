"""Hands out loopback ports that no other process takes in the meantime.

A port that the kernel picks is given back before its user binds it, so another
socket may get it first. Ports are therefore taken from blocks below the range
from which the kernel picks: a process locks a block by listening on its first
port, keeps it until it ends, and hands out each of the others once.
"""

from __future__ import annotations

import atexit
import itertools
import os
import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

LOOPBACK: Final = "127.0.0.1"
FIRST_BLOCK_PORT: Final = 10_240
PORTS_PER_BLOCK: Final = 128
BLOCK_COUNT: Final = 176  # all below port 32768


class NoFreePortError(Exception):
    """All blocks of ports are locked by processes."""


class PortAllocator:
    """Hands out the ports of the blocks that this process has locked."""

    __slots__ = ("_locks", "_owner_pid", "_ports")

    def __init__(self) -> None:
        self._locks: list[socket.socket] = []
        self._owner_pid = os.getpid()
        self._ports: Iterator[int] = iter(())

    def next_port(self) -> int:
        """Returns a port that is free for TCP and UDP.

        Raises:
            NoFreePortError: Other processes have locked all blocks.
        """
        if self._owner_pid != os.getpid():  # a forked child shares the locks
            self._owner_pid = os.getpid()
            self._ports = iter(())
        while True:
            for port in self._ports:
                if _is_free(port):
                    return port
            self._ports = self._lock_block()

    def close(self) -> None:
        """Unlocks all blocks; their ports may go to other processes."""
        self._ports = iter(())
        while self._locks:
            self._locks.pop().close()

    def _lock_block(self) -> Iterator[int]:
        start = self._owner_pid % BLOCK_COUNT
        for index in itertools.islice(
            itertools.cycle(range(BLOCK_COUNT)), start, start + BLOCK_COUNT
        ):
            first = FIRST_BLOCK_PORT + index * PORTS_PER_BLOCK
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                lock.bind((LOOPBACK, first))
                lock.listen()
            except OSError:
                lock.close()
                continue  # locked by another process
            self._locks.append(lock)
            return iter(range(first + 1, first + PORTS_PER_BLOCK))
        raise NoFreePortError(f"all {BLOCK_COUNT} blocks of ports are locked")


def _is_free(port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
    ):
        try:
            stream.bind((LOOPBACK, port))
            datagram.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


_allocator: Final = PortAllocator()
atexit.register(_allocator.close)


def free_port() -> int:
    """Returns a port that is free and that this process gets only once.

    Raises:
        NoFreePortError: Other processes have locked all blocks of ports.
    """
    return _allocator.next_port()


__all__ = ["NoFreePortError", "PortAllocator", "free_port"]
