"""Transfers newer configuration state between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from typing import TYPE_CHECKING, Final

from auburnswitch.configuration.store_revision import StoreRevision
from auburnswitch.http_server import ListenError
from auburnswitch.members.signed_frames import (
    SignedFrameError,
    decode_signed,
    encode_signed,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import StateFetch, StateUpdate

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable

    from auburnswitch.configuration.installation import Installation
    from auburnswitch.members.gossip_peer import GossipPeer
    from auburnswitch.schema.base import Struct
    from auburnswitch.schema.gossip import Gossip

EXCHANGE_TIMEOUT_S: Final = 0.8
MIN_FETCH_DELAY_S: Final = 0.03
MAX_FETCH_DELAY_PER_PEER_S: Final = 0.004
MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
MAX_FETCH_BYTES: Final = 4096  # anybody may send one
_LENGTH: Final = struct.Struct(">I")
_EXCHANGE_ERRORS: Final = (
    TimeoutError,
    OSError,
    asyncio.IncompleteReadError,
    SignedFrameError,
)


class StateExchange:
    """Serves this daemon's state to peers and fetches newer state.

    Attributes:
        installation: This daemon's state.
        get_key: Returns the key that all daemons share, empty until available.
        live_peers: Returns the live peers.
        zone: This daemon's availability zone.
        rng: Random generator for delays and the choice of peers.
    """

    __slots__ = (
        "_fetching",
        "get_key",
        "installation",
        "live_peers",
        "rng",
        "zone",
    )

    def __init__(
        self,
        *,
        installation: Installation,
        get_key: Callable[[], bytes],
        live_peers: Callable[[], list[GossipPeer]],
        zone: str,
        rng: random.Random,
    ) -> None:
        self.installation = installation
        self.get_key = get_key
        self.live_peers = live_peers
        self.zone = zone
        self.rng = rng
        self._fetching = False

    @contextlib.asynccontextmanager
    async def open(self, host: str, port: int) -> AsyncIterator[None]:
        """Listens for peers until the context ends, then ends all exchanges.

        Raises:
            ListenError: The address cannot be bound.
        """
        async with open_task_set() as exchanges:

            def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                exchanges.start(self._serve(reader, writer), "serve state")

            try:
                server = await asyncio.start_server(serve, host, port)
            except OSError as error:
                raise ListenError(f"cannot listen on {host}:{port}") from error
            try:
                yield
            finally:
                server.close()

    def is_behind(self, message: Gossip) -> bool:
        """Returns whether a peer's message reports newer state."""
        state = self.installation
        closed_zones_revision = StoreRevision(
            generation=message.closed_zones_generation,
            revision=message.closed_zones_revision,
        )
        endpoints_revision = StoreRevision(
            generation=message.endpoints_generation,
            revision=message.endpoints_revision,
        )
        return (
            message.config_version > state.config_version
            or closed_zones_revision > state.closed_zones_revision
            or endpoints_revision > state.endpoints_revision
        )

    async def catch_up(self) -> None:
        """Fetches newer state from a peer, unless a fetch is in progress.

        A random delay precedes the fetch, since the change may arrive in a
        datagram and not all daemons should fetch at the same time.
        """
        if self._fetching:
            return
        self._fetching = True
        try:
            peers = self.live_peers()
            max_delay_s = MIN_FETCH_DELAY_S + MAX_FETCH_DELAY_PER_PEER_S * len(
                peers
            )
            await asyncio.sleep(
                self.rng.uniform(MIN_FETCH_DELAY_S, max_delay_s)
            )
            newer_peers = [
                p for p in self.live_peers() if self.is_behind(p.last_message)
            ]
            if newer_peers:
                await self._fetch(self._choose_peer(newer_peers))
        finally:
            self._fetching = False

    def _choose_peer(self, peers: list[GossipPeer]) -> GossipPeer:
        """Returns a random peer, from this zone if possible."""
        same_zone = [peer for peer in peers if peer.record.zone == self.zone]
        return self.rng.choice(same_zone or peers)

    async def _fetch(self, peer: GossipPeer) -> None:
        name = peer.record.instance
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                update = await self._request_update(peer)
        except _EXCHANGE_ERRORS as error:
            log_event(
                EventId.PEER_EXCHANGE_FAILED, peer=name, reason=repr(error)
            )
            return
        self._adopt(update, f"peer {name}")

    async def _request_update(self, peer: GossipPeer) -> StateUpdate:
        reader, writer = await asyncio.open_connection(
            peer.record.host, peer.record.port
        )
        try:
            state = self.installation
            fetch = StateFetch(
                config_version=state.config_version,
                endpoints_revision=state.endpoints_revision.revision,
                closed_zones_revision=state.closed_zones_revision.revision,
                endpoints_generation=state.endpoints_revision.generation,
                closed_zones_generation=state.closed_zones_revision.generation,
            )
            _write_frame(writer, self.get_key(), fetch)
            frame = await _read_frame(reader, MAX_FRAME_BYTES)
            return decode_signed(self.get_key(), frame, StateUpdate())
        finally:
            writer.close()

    def _adopt(self, update: StateUpdate, source: str) -> None:
        if update.config is not None:
            self.installation.adopt_config(update.config, source)
        if update.closed_zones is not None:
            self.installation.adopt_closed_zones(update.closed_zones, source)
        if update.endpoints is not None:
            self.installation.adopt_endpoints(update.endpoints, source)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                frame = await _read_frame(reader, MAX_FETCH_BYTES)
                fetch = decode_signed(self.get_key(), frame, StateFetch())
                _write_frame(writer, self.get_key(), self._build_update(fetch))
                await writer.drain()
        except _EXCHANGE_ERRORS as error:
            log_event(EventId.PEER_EXCHANGE_FAILED, reason=repr(error))
        finally:
            writer.close()

    def _build_update(self, fetch: StateFetch) -> StateUpdate:
        state = self.installation
        update = StateUpdate()
        if state.table and state.config_version > fetch.config_version:
            update.config = state.table.config
        endpoints_revision = StoreRevision(
            generation=fetch.endpoints_generation,
            revision=fetch.endpoints_revision,
        )
        if state.endpoints_revision > endpoints_revision:
            update.endpoints = state.list_endpoints()
        closed_zones_revision = StoreRevision(
            generation=fetch.closed_zones_generation,
            revision=fetch.closed_zones_revision,
        )
        if state.closed_zones_revision > closed_zones_revision:
            update.closed_zones = state.list_closed_zones()
        return update


def _write_frame(
    writer: asyncio.StreamWriter, key: bytes, message: Struct
) -> None:
    frame = encode_signed(key, message)
    writer.write(_LENGTH.pack(len(frame)) + frame)


async def _read_frame(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise SignedFrameError(f"{length} bytes exceed the frame size limit")
    return await reader.readexactly(length)


__all__ = ["StateExchange"]
