"""Sends one HTTP request on a dedicated connection and reads the response.

Received bytes are processed in order, and the end of the connection only after
all of them. Anything after a complete response is therefore ignored: the bytes
of another response, incomplete data or a connection reset.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING, Final

import h11

from auburnswitch.body_budget import BodyTooLargeError
from auburnswitch.buffered_protocol import BufferedProtocol
from auburnswitch.keepalive_socket import (
    allow_late_reads,
    open_keepalive_socket,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from auburnswitch.body_budget import BodyBudget

MAX_HEAD_BYTES: Final = 64 * 1024
MAX_INTERIM_RESPONSES: Final = 16
MIN_RECEIVE_BUFFER_BYTES: Final = 32 * 1024  # that a peer's kernel provides
_CONTENT_LENGTH_HEADER: Final = "content-length"
_TRANSFER_ENCODING_HEADER: Final = "transfer-encoding"
_METHODS_WITHOUT_BODY: Final = ("GET", "HEAD", "OPTIONS", "TRACE")
_HEAD_METHOD: Final = "HEAD"
_STATUSES_WITHOUT_BODY: Final = (204, 304)


class ConnectError(Exception):
    """No connection could be opened; nothing was sent.

    Attributes:
        refused: Whether the peer's host refused it: nothing listens there.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class ExchangeError(Exception):
    """The response is malformed or too large, or ended before its end."""


class BodyFraming(enum.Enum):
    """How the end of a response's body is marked."""

    LENGTH = "length"  # known in advance; the body may be empty
    CHUNKS = "chunks"
    CONNECTION = "connection"  # the end of the connection is the only mark


class HttpExchange:
    """Sends one request and reads its response.

    Attributes:
        authority: Host and port, sent as Host header if the request has none.
        body_budget: Bounds the memory of bodies that are read as a whole.
        framing: How the end of the response's body is marked, once its head
            has been read.
    """

    __slots__ = (
        "_connection",
        "_h11_connection",
        "_method",
        "_transport",
        "authority",
        "body_budget",
        "framing",
    )

    def __init__(
        self,
        *,
        authority: str,
        transport: asyncio.Transport,
        connection: BufferedProtocol,
        body_budget: BodyBudget,
    ) -> None:
        self.authority = authority
        self.body_budget = body_budget
        self.framing = BodyFraming.LENGTH
        self._method = ""
        self._transport = transport
        self._connection = connection
        self._h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def send(
        self,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Sends the request; must be called only once per exchange.

        Raises:
            ExchangeError: The request cannot be encoded as HTTP.
        """
        self._method = method
        request_headers = [
            (n, v) for n, v in headers if n.lower() != _CONTENT_LENGTH_HEADER
        ]
        if not any(name.lower() == "host" for name, _ in request_headers):
            request_headers.insert(0, ("host", self.authority))
        if body or method not in _METHODS_WITHOUT_BODY:
            request_headers.append((_CONTENT_LENGTH_HEADER, str(len(body))))
        try:
            data = self._encode(method, target, request_headers, body)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise ExchangeError(repr(error)) from error
        if len(data) > MIN_RECEIVE_BUFFER_BYTES:
            allow_late_reads(self._transport.get_extra_info("socket"))
        self._transport.write(data)

    def _encode(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> bytes:
        request = h11.Request(
            method=method,
            target=target,
            headers=[(n, v.encode("latin-1")) for n, v in headers],
        )
        parts = [self._h11_connection.send(request)]
        if body:
            parts.append(self._h11_connection.send(h11.Data(data=body)))
        parts.append(self._h11_connection.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def read_head(self) -> h11.Response:
        """Returns the status line and headers of the response.

        Raises:
            ExchangeError: The response is malformed, or the connection ended
                before it.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            match event:
                case h11.Response():
                    self.framing = _body_framing(self._method, event)
                    return event
                case h11.InformationalResponse():
                    continue
            raise ExchangeError("the connection ended before an answer")
        raise ExchangeError("too many interim responses")

    async def read_part(self) -> bytes:
        """Returns the next bytes of the body, or none at its end.

        Raises:
            ExchangeError: The body is malformed or truncated.
        """
        while True:
            event = await self._next_event()
            match event:
                case h11.Data(data=data):
                    if data:
                        return bytes(data)
                case h11.EndOfMessage():
                    return b""
                case _:
                    raise ExchangeError("the body is cut short")

    async def read_all(self) -> bytes:
        """Returns the remaining body.

        Raises:
            ExchangeError: The body is malformed, truncated or too large.
        """
        parts = []
        with self.body_budget.reserve() as reservation:
            while part := await self.read_part():
                try:
                    reservation.add(len(part))
                except BodyTooLargeError as error:
                    raise ExchangeError(str(error)) from error
                parts.append(part)
            return b"".join(parts)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        try:
            while True:
                event = self._h11_connection.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._h11_connection.receive_data(await self._connection.read())
        except (h11.RemoteProtocolError, OSError) as error:
            raise ExchangeError(repr(error)) from error


def _body_framing(method: str, head: h11.Response) -> BodyFraming:
    names = {name.decode("latin-1") for name, _ in head.headers}
    if method == _HEAD_METHOD or head.status_code in _STATUSES_WITHOUT_BODY:
        return BodyFraming.LENGTH
    if _TRANSFER_ENCODING_HEADER in names:
        return BodyFraming.CHUNKS  # h11 rejects all other encodings
    if _CONTENT_LENGTH_HEADER in names:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION


@contextlib.asynccontextmanager
async def open_exchange(
    host: str,
    port: int,
    *,
    connect_timeout_s: float,
    body_budget: BodyBudget,
) -> AsyncIterator[HttpExchange]:
    """Opens a connection for one exchange and closes it at the end.

    Args:
        host: IP address.
        port: TCP port.
        connect_timeout_s: Time to open the connection, in seconds.
        body_budget: Bounds the memory of bodies that are read as a whole.

    Raises:
        ConnectError: The connection could not be opened in time.
    """
    connection = BufferedProtocol()
    transport = await _connect(connection, host, port, connect_timeout_s)
    try:
        yield HttpExchange(
            authority=f"{host}:{port}",
            transport=transport,
            connection=connection,
            body_budget=body_budget,
        )
    finally:
        transport.abort()  # makes the peer cancel unfinished work


async def _connect(
    connection: BufferedProtocol, host: str, port: int, timeout_s: float
) -> asyncio.Transport:
    loop = asyncio.get_running_loop()
    with contextlib.ExitStack() as stack:
        try:
            tcp_socket = stack.enter_context(open_keepalive_socket())
            tcp_socket.setblocking(False)
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(tcp_socket, (host, port))
        except (OSError, OverflowError) as error:  # includes TimeoutError
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectError(repr(error), refused=refused) from error
        transport, _ = await loop.create_connection(
            lambda: connection, sock=tcp_socket
        )
        stack.pop_all()  # the transport closes the socket
    return transport


__all__ = [
    "BodyFraming",
    "ConnectError",
    "ExchangeError",
    "HttpExchange",
    "open_exchange",
]
