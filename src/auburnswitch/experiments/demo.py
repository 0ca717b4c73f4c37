"""Demo that runs a small fleet in one process and sends a few requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.caller import stream_completion
from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    PLAIN_SERVICE,
    ZONES,
    Fleet,
    FleetOptions,
    open_fleet,
)
from auburnswitch.standins.engine_options import EngineOptions

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

SHORT_PROMPT = "Is there a free slot for a cut this afternoon? " * 90
LONG_PROMPT = "Season review, week by week. " * 14_000
AUTHORIZATION_HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}

ANSWER_TOKENS = 16
WARM_AFTER_REQUESTS = 2  # so that a few requests warm both engines


async def run_demo(
    show: Callable[[str], None] = print,
    *,
    connector: Callable[[], aiohttp.BaseConnector] | None = None,
) -> None:
    """Starts a fleet, sends requests through it and shows the results.

    Args:
        show: Prints one line.
        connector: Creates the connectors of HTTP clients; None for the default
            connector.
    """
    show("Starting a platform, two engines, a booking service, three daemons")
    options = FleetOptions(
        engine=EngineOptions(warm_after=WARM_AFTER_REQUESTS),
        endpoint={"warm_after": WARM_AFTER_REQUESTS},
        connector=connector,
    )
    async with open_fleet(options) as fleet:
        for _ in range(2 * options.engines * WARM_AFTER_REQUESTS):
            await show_completion(fleet, "a short prompt", SHORT_PROMPT, show)
        await show_completion(fleet, "a long prompt", LONG_PROMPT, show)
        await show_booking(fleet, show)
        await show_zone_move(fleet, show)
    show("Done")


async def show_completion(
    fleet: Fleet, label: str, prompt: str, show: Callable[[str], None]
) -> None:
    """Streams one completion and shows its result and latency."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS}
    url = fleet.caller_url("entry-0")
    outcome = await stream_completion(
        fleet.session, url, body, AUTHORIZATION_HEADERS
    )
    if outcome.first_token_s is None:
        show(f"{label}: {outcome.result}, ran: {outcome.ran}")
        return
    show(
        f"{label}: {outcome.result}, first token after"
        f" {outcome.first_token_s:.2f} s, {outcome.tokens} tokens, answer"
        f" {outcome.text[:40]!r}"
    )


async def show_booking(fleet: Fleet, show: Callable[[str], None]) -> None:
    """Sends a booking with one idempotency key through two daemons."""
    for instance in ("entry-1", "entry-2"):
        url = fleet.caller_url(instance)
        async with fleet.session.post(
            f"{url}/services/{PLAIN_SERVICE}/bookings",
            json={"customer": "walk-in", "slot": "15:30"},
            headers=AUTHORIZATION_HEADERS
            | {"Idempotency-Key": "counter-7-0001"},
        ) as response:
            body = (await response.text()).strip()
        replay = response.headers.get("X-Idempotent-Replay", "false")
        show(
            f"booking through {instance}: HTTP {response.status}, {body},"
            f" repeated answer: {replay}"
        )
    runs = sum(len(standin.bookings) for standin in fleet.plain.values())
    show(f"the booking service ran {runs} booking")


async def show_zone_move(fleet: Fleet, show: Callable[[str], None]) -> None:
    """Takes a zone out of service and back, with a request after each step."""
    zone = ZONES[0]
    for out in (True, False):
        note = "out of service" if out else "back in service"
        ticket = fleet.ticket([fleet.zone_change(zone, out=out)], note)
        started_at = monotonic_s()
        await fleet.apply(ticket)
        await fleet.wait_until_converged()
        took_s = monotonic_s() - started_at
        show(
            f"zone {zone} {note}: ticket {ticket.number} in force in"
            f" {len(fleet.daemons)} daemons after {took_s:.2f} s"
        )
        await show_completion(fleet, "a short prompt", SHORT_PROMPT, show)


__all__ = ["run_demo"]
