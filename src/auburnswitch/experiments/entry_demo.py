"""Demo that runs entry daemons on loopback and sends a few requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.entry_caller import StreamRequest, stream_events
from auburnswitch.experiments.installation import (
    CALLER_KEYS,
    LoopbackInstallation,
    make_config,
    open_installation,
    wait_until,
)
from auburnswitch.standins.endpoint import Fault
from auburnswitch.standins.installation_objects import put_config

if TYPE_CHECKING:
    from collections.abc import Callable

SHORT_TOKENS: Final = 5_000
LONG_TOKENS: Final = 45_000
MULTI_ENGINE_TOKENS: Final = 80_000  # exceeds one engine's KV cache
INFEASIBLE_TOKENS: Final = 900_000  # exceeds the KV cache of all engines
ANSWER_TOKENS: Final = 50


async def run_entry_demo(show: Callable[[str], None] = print) -> None:
    """Starts an installation, sends requests through it and shows the results.

    Args:
        show: Prints one line.
    """
    show("Starting a store, three engines, two desks, two entry daemons")
    async with open_installation(engines=3, daemons=2) as fleet:
        await _show_stream(fleet, "a short prompt", SHORT_TOKENS, show)
        await _show_stream(fleet, "a long prompt", LONG_TOKENS, show)
        await _show_stream(
            fleet, "a prompt over one memory", MULTI_ENGINE_TOKENS, show
        )
        await _show_stream(
            fleet, "a prompt over all memory", INFEASIBLE_TOKENS, show
        )
        await _show_resumed_streams(fleet, show)
        await _show_booking(fleet, show)
        await _show_revoked_key(fleet, show)
    show("Done")


async def _show_stream(
    fleet: LoopbackInstallation,
    label: str,
    tokens: int,
    show: Callable[[str], None],
) -> None:
    count_before = len(fleet.received_requests)
    request = StreamRequest(
        path="/chat/1",
        prompt_tokens=tokens,
        answer_tokens=ANSWER_TOKENS,
        caller_key=CALLER_KEYS[0],
    )
    outcome = await stream_events(fleet.session, fleet.url(), request)
    if outcome.first_token_s is None:
        retry_note = (
            "no retry suggested"
            if outcome.retry_after_s is None
            else f"retry suggested after {outcome.retry_after_s} s"
        )
        show(
            f"{label}: {outcome.result} after {outcome.total_s:.2f} s,"
            f" ran: {outcome.ran}, {retry_note}"
        )
        return
    send_count = len(fleet.received_requests) - count_before
    show(
        f"{label}: {outcome.result}, first event after"
        f" {outcome.first_token_s:.2f} s, {outcome.tokens} events,"
        f" sent to an engine {send_count} times"
    )


async def _show_resumed_streams(
    fleet: LoopbackInstallation, show: Callable[[str], None]
) -> None:
    for name, endpoint in fleet.endpoints.items():
        if name.startswith("engine"):
            endpoint.faults.append(Fault.DISCONNECT_MID_EVENT)
    fleet.endpoints["engine-2"].faults.clear()
    show("two of three engines now disconnect in the middle of an event")
    for _ in range(3):
        await _show_stream(fleet, "a short prompt", SHORT_TOKENS, show)


async def _show_booking(
    fleet: LoopbackInstallation, show: Callable[[str], None]
) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.faults.clear()
        endpoint.received_requests.clear()
    for name in ("desk-0", "desk-1"):
        fleet.endpoints[name].faults.append(Fault.DISCONNECT)
    result = await fleet.call("/book/1")
    show(
        f"a booking whose answer is lost: HTTP {result.status},"
        f" sent {len(fleet.received_requests)} time"
    )


async def _show_revoked_key(
    fleet: LoopbackInstallation, show: Callable[[str], None]
) -> None:
    for endpoint in fleet.endpoints.values():
        endpoint.faults.clear()
    key = CALLER_KEYS[1]
    before = await fleet.call("/book/1", key=key)
    started_at = monotonic_s()
    put_config(fleet.store, make_config(2, keys=CALLER_KEYS[:1]))
    await asyncio.gather(
        *(
            wait_until(lambda d=daemon: d.installation.config_version == 2)
            for daemon in fleet.daemons
        )
    )
    took_s = monotonic_s() - started_at
    after = await fleet.call("/book/1", key=key, daemon=1)
    show(
        f"a key is revoked: HTTP {before.status} before, {after.status}"
        f" after; in force in {len(fleet.daemons)} daemons after {took_s:.2f} s"
    )


__all__ = ["run_entry_demo"]
