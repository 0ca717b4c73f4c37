"""Reserves capacity on several endpoints, all or none."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.endpoints.reservations import (
    HeldReservation,
    ReservationClient,
)

if TYPE_CHECKING:
    from auburnswitch.schema.peers import ReserveReply, ReserveRequest


async def reserve_group(
    client: ReservationClient, requests: list[ReserveRequest]
) -> list[HeldReservation] | ReserveReply:
    """Reserves every part of a group, or none.

    The parts are requested in the order of the endpoints' names, so that two
    groups can't deadlock. The reservations are held until they are released.

    Args:
        client: Client that holds this daemon's reservations.
        requests: One request for each endpoint.

    Returns:
        The reservations in the order of the requests, or the first refusal.
    """
    held: dict[str, HeldReservation] = {}
    complete = False
    try:
        for request in sorted(requests, key=lambda part: part.endpoint):
            request.hold = True
            outcome = await client.reserve(request)
            if not isinstance(outcome, HeldReservation):
                return outcome
            held[request.endpoint] = outcome
        complete = True
        return [held[request.endpoint] for request in requests]
    finally:
        if not complete:
            release_group(client, list(held.values()))


def release_group(
    client: ReservationClient,
    group: list[HeldReservation],
    *,
    succeeded: bool = False,
    may_still_run: bool = False,
) -> None:
    """Releases every part of a group, without waiting for the owners."""
    for held in group:
        client.membership.tasks.start(
            client.release(
                held, succeeded=succeeded, may_still_run=may_still_run
            ),
            "release a part of a group",
        )


__all__ = ["release_group", "reserve_group"]
