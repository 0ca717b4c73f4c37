"""Keeps a connection open to one peer."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from auburnswitch.members.frames import FrameError
from auburnswitch.members.peer_connection import connect_peer
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId

if TYPE_CHECKING:
    from auburnswitch.members.peer_connection import Dialer, PeerConnection
    from auburnswitch.schema.base import Struct
    from auburnswitch.schema.objects import Member
    from auburnswitch.schema.settings import PeersSettings

INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 2.0
MAX_CONSECUTIVE_TIMEOUTS: Final = 3


class PeerLink:
    """Keeps reconnecting to one peer and sends calls to it.

    Attributes:
        member: The peer.
        member_id: This daemon's member id.
        connection: The open connection, if there is one.
        consecutive_timeouts: Consecutive calls without a reply within the
            timeout.
        heartbeat_requested: Set when the next heartbeat is due immediately.
        rng: Random generator for the backoff jitter.
    """

    __slots__ = (
        "connection",
        "consecutive_timeouts",
        "dial",
        "heartbeat_requested",
        "member",
        "member_id",
        "rng",
        "settings",
        "shared_key",
    )

    def __init__(
        self,
        *,
        member: Member,
        member_id: str,
        settings: PeersSettings,
        shared_key: bytes,
        rng_seed: int,
        dial: Dialer = asyncio.open_connection,
    ) -> None:
        self.member = member
        self.member_id = member_id
        self.settings = settings
        self.shared_key = shared_key
        self.rng = random.Random(f"{rng_seed}{member.id}")
        self.dial = dial
        self.heartbeat_requested = asyncio.Event()
        self.consecutive_timeouts = 0
        self.connection: PeerConnection | None = None

    async def run(self) -> None:
        """Connects, reads replies, and reconnects with backoff."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                async with connect_peer(
                    self.member.host,
                    self.member.port,
                    member_id=self.member_id,
                    shared_key=self.shared_key,
                    settings=self.settings,
                    dial=self.dial,
                ) as connection:
                    backoff_s = INITIAL_BACKOFF_S
                    await self._receive_replies(connection)
            except FrameError as error:
                log_event(
                    EventId.PEER_FRAME_REJECTED,
                    peer=self.member.id,
                    code=int(error.code),
                    reason=str(error),
                )
            except (OSError, EOFError, TimeoutError):
                pass  # the peer is unreachable; retry
            await asyncio.sleep(backoff_s * self.rng.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _receive_replies(self, connection: PeerConnection) -> None:
        log_event(EventId.PEER_CONNECTED, peer=self.member.id)
        self.connection = connection
        self.consecutive_timeouts = 0
        self.heartbeat_requested.set()
        try:
            while True:
                await connection.receive()
        finally:
            self.connection = None
            log_event(EventId.PEER_DISCONNECTED, peer=self.member.id)

    async def wait_for_heartbeat(self, interval_s: float) -> None:
        """Waits until the next heartbeat is due or requested."""
        try:
            async with asyncio.timeout(interval_s):
                await self.heartbeat_requested.wait()
        except TimeoutError:
            return
        self.heartbeat_requested.clear()

    async def call(
        self, body: Struct, timeout_s: float | None = None
    ) -> Struct:
        """Calls the peer.

        Raises:
            ConnectionError: There is no connection, or it was closed.
            TimeoutError: No reply arrived within the timeout.
        """
        if self.connection is None:
            raise ConnectionRefusedError(f"no connection to {self.member.id}")
        timeout_s = timeout_s or self.settings.call_timeout_s
        return await self.connection.call(body, timeout_s)

    async def try_call(self, body: Struct) -> Struct | None:
        """Calls the peer; aborts the connection after repeated timeouts.

        Returns:
            The reply; None if there was none.
        """
        connection = self.connection
        try:
            reply = await self.call(body)
        except TimeoutError:
            self.consecutive_timeouts += 1
            if (
                self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
                and connection is not None
            ):
                self.consecutive_timeouts = 0
                connection.abort()
            return None
        except (OSError, FrameError):
            return None
        self.consecutive_timeouts = 0
        return reply


__all__ = ["PeerLink"]
