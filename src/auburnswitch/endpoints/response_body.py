"""Reads the whole body of an endpoint's response, or fails."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.endpoints.client import EndpointFailureError

if TYPE_CHECKING:
    import aiohttp

MAX_BODY_BYTES: Final = 16 * 2**20
_END_MARKING_HEADERS: Final = ("Content-Length", "Transfer-Encoding")
_STATUSES_WITHOUT_BODY: Final = (204, 304)
_HEAD_METHOD: Final = "HEAD"


async def read_whole_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body.

    The client library takes every end of the connection, a reset too, for the
    end of a body with neither a length nor chunks.

    Raises:
        EndpointFailureError: Nothing marks the end of the body, or it is too
            large.
        aiohttp.ClientError: The body was broken off.
    """
    if not _has_marked_end(response):
        raise EndpointFailureError(
            "nothing marks the end of the response", sent=True, lost=False
        )
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise EndpointFailureError(
                f"the response is larger than {MAX_BODY_BYTES} bytes",
                sent=True,
                lost=False,
            )
    return bytes(body)


def _has_marked_end(response: aiohttp.ClientResponse) -> bool:
    return (
        response.method == _HEAD_METHOD
        or response.status in _STATUSES_WITHOUT_BODY
        or any(name in response.headers for name in _END_MARKING_HEADERS)
    )


__all__ = ["MAX_BODY_BYTES", "read_whole_body"]
