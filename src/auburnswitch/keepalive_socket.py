"""TCP sockets that notice when their peer falls silent."""

from __future__ import annotations

import socket
from typing import Final

USER_TIMEOUT_MS: Final = 1500  # data that a peer's host does not confirm
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2


def open_keepalive_socket(
    family: int = socket.AF_INET,
    kind: int = socket.SOCK_STREAM,
    protocol: int = socket.IPPROTO_TCP,
) -> socket.socket:
    """Opens a TCP socket that fails soon after its peer is out of reach."""
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return opened


__all__ = ["open_keepalive_socket"]
