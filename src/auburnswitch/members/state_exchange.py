"""Passes on between daemons what one knows and the other does not."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from typing import TYPE_CHECKING, Final

from auburnswitch.http_server import ListenError
from auburnswitch.members.signed_frames import (
    SignedFrameError,
    decode_signed,
    encode_signed,
)
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import StateFetch, StateUpdate
from auburnswitch.schema.installation import ClosedZones

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
        key: Returns the key that all daemons share, empty if not known.
        live_peers: Returns the peers that were heard of lately.
        zone: This daemon's availability zone.
        rng: Source of chance.
    """

    __slots__ = (
        "_fetching",
        "installation",
        "key",
        "live_peers",
        "rng",
        "zone",
    )

    def __init__(
        self,
        *,
        installation: Installation,
        key: Callable[[], bytes],
        live_peers: Callable[[], list[GossipPeer]],
        zone: str,
        rng: random.Random,
    ) -> None:
        self.installation = installation
        self.key = key
        self.live_peers = live_peers
        self.zone = zone
        self.rng = rng
        self._fetching = False

    @contextlib.asynccontextmanager
    async def open(self, host: str, port: int) -> AsyncIterator[None]:
        """Listens for peers until the context ends.

        Raises:
            ListenError: The address cannot be bound.
        """
        try:
            server = await asyncio.start_server(self._serve, host, port)
        except OSError as error:
            raise ListenError(f"cannot listen on {host}:{port}") from error
        try:
            yield
        finally:
            server.close()

    def is_behind(self, news: Gossip) -> bool:
        """Whether a peer knows something newer."""
        known = self.installation
        return (
            news.config_version > known.config_version
            or news.closed_zones_revision > known.closed_zones_revision
            or news.endpoints_revision > known.endpoints_revision
        )

    async def catch_up(self) -> None:
        """Fetches newer state from some peer, unless that is under way.

        It waits a little first: the change may be on its way in a datagram,
        and not all daemons should ask at the same moment.
        """
        if self._fetching:
            return
        self._fetching = True
        try:
            peers = self.live_peers()
            most_s = MIN_FETCH_DELAY_S + MAX_FETCH_DELAY_PER_PEER_S * len(peers)
            await asyncio.sleep(self.rng.uniform(MIN_FETCH_DELAY_S, most_s))
            ahead = [
                p for p in self.live_peers() if self.is_behind(p.last_message)
            ]
            if ahead:
                await self._fetch(self._choose(ahead))
        finally:
            self._fetching = False

    def _choose(self, peers: list[GossipPeer]) -> GossipPeer:
        """Returns one of the peers, of this zone if there is one."""
        near = [peer for peer in peers if peer.record.zone == self.zone]
        return self.rng.choice(near or peers)

    async def _fetch(self, peer: GossipPeer) -> None:
        name = peer.record.instance
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                update = await self._ask(peer)
        except _EXCHANGE_ERRORS as error:
            log_event(
                EventId.PEER_EXCHANGE_FAILED, peer=name, reason=repr(error)
            )
            return
        self._adopt(update, f"peer {name}")

    async def _ask(self, peer: GossipPeer) -> StateUpdate:
        reader, writer = await asyncio.open_connection(
            peer.record.host, peer.record.port
        )
        try:
            known = self.installation
            fetch = StateFetch(
                config_version=known.config_version,
                endpoints_revision=known.endpoints_revision,
                closed_zones_revision=known.closed_zones_revision,
            )
            _write_frame(writer, self.key(), fetch)
            frame = await _read_frame(reader)
            return decode_signed(self.key(), frame, StateUpdate())
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
                frame = await _read_frame(reader)
                fetch = decode_signed(self.key(), frame, StateFetch())
                _write_frame(writer, self.key(), self._update(fetch))
                await writer.drain()
        except _EXCHANGE_ERRORS as error:
            log_event(EventId.PEER_EXCHANGE_FAILED, reason=repr(error))
        finally:
            writer.close()

    def _update(self, fetch: StateFetch) -> StateUpdate:
        known = self.installation
        update = StateUpdate()
        if known.table and known.config_version > fetch.config_version:
            update.config = known.table.config
        if known.endpoints_revision > fetch.endpoints_revision:
            update.endpoints = known.list_endpoints()
        if known.closed_zones_revision > fetch.closed_zones_revision:
            update.closed_zones = ClosedZones(
                revision=known.closed_zones_revision,
                zones=sorted(known.closed_zones),
            )
        return update


def _write_frame(
    writer: asyncio.StreamWriter, key: bytes, message: Struct
) -> None:
    frame = encode_signed(key, message)
    writer.write(_LENGTH.pack(len(frame)) + frame)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise SignedFrameError(f"{length} bytes are too many")
    return await reader.readexactly(length)


__all__ = ["StateExchange"]
