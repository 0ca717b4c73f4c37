"""Opens TCP sockets that detect an unresponsive peer."""

from __future__ import annotations

import socket
from typing import Final

USER_TIMEOUT_MS: Final = 1500  # limit for unacknowledged data
KEEPALIVE_IDLE_S: Final = 2  # the limit above applies to the first probe
LATE_READS_KEEPALIVE_IDLE_S: Final = 1  # all probes have to be lost
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2


def open_keepalive_socket(
    family: int = socket.AF_INET,
    kind: int = socket.SOCK_STREAM,
    protocol: int = socket.IPPROTO_TCP,
) -> socket.socket:
    """Opens a TCP socket that fails soon after its peer becomes unreachable."""
    tcp_socket = socket.socket(family=family, type=kind, proto=protocol)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S
    )
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES
    )
    return tcp_socket


def allow_late_reads(tcp_socket: socket.socket) -> None:
    """Lets the peer leave sent data in its receive buffer without a limit.

    The limit for unacknowledged data also ends connections to a peer that is
    reachable but reads nothing while its receive buffer is full.
    """
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, LATE_READS_KEEPALIVE_IDLE_S
    )


__all__ = ["allow_late_reads", "open_keepalive_socket"]
