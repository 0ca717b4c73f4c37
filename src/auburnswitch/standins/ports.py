"""Finds free ports on the loopback interface."""

from __future__ import annotations

import socket


def free_port() -> int:
    """Returns a port that is currently free for both TCP and UDP."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind(("127.0.0.1", 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue  # in use for UDP
            return port


__all__ = ["free_port"]
