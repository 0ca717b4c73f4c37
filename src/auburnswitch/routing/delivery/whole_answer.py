"""Writes an endpoint's answer whose whole body has been read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.http_exchange import BodyFraming
from auburnswitch.routing.delivery.outcomes import Delivered

if TYPE_CHECKING:
    from auburnswitch.platform.endpoint_responses import ResponseHead
    from auburnswitch.routing.delivery.outcomes import AnswerWriter


async def deliver_whole(
    writer: AnswerWriter, answer: ResponseHead, body: bytes
) -> Delivered:
    """Writes a whole answer.

    Args:
        writer: Writes the answer to the caller.
        answer: Head of the answer.
        body: All that came before its regular end.
    """
    headers = answer.headers
    if answer.framing is BodyFraming.CHUNKS:
        headers = [*headers, ("content-length", str(len(body)))]
    await writer.start(
        answer.status,
        headers,
        connection_delimited=answer.connection_delimited,
    )
    await writer.write(body)
    await writer.finish()
    return Delivered(
        status=answer.status, end_confirmed=not answer.connection_delimited
    )


__all__ = ["deliver_whole"]
