"""Runs requests of plain services, the non-idempotent ones at most once."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import Attempt, EndpointFailureError
from auburnswitch.http_client import send_once
from auburnswitch.platform.claims import (
    AlreadyClaimed,
    Claimed,
    ClaimStore,
    ClaimUnavailable,
    hash_key,
)
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.ends import EndChecks
from auburnswitch.schema.objects import Claim, ClaimState
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from auburnswitch.endpoints.client import EndpointClient
    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.routing.placement import Placer
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.routing.team_limits import TeamLimits

PASSED_HEADERS: Final = ("content-type", "location", "etag", "cache-control")
IN_PROGRESS_RETRY_S: Final = 1.0


@dataclass(slots=True, kw_only=True)
class PlainCall:
    """What is passed through to a plain service."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    idempotency_key: str = ""


@dataclass(slots=True, kw_only=True)
class PlainAnswer:
    """The whole answer of a plain service."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class PlainRouter:
    """Runs plain requests.

    Attributes:
        placer: Finds endpoints.
        client: Calls endpoints.
        claims: Claims on idempotency keys.
        limits: Admits requests within their teams' limits.
    """

    __slots__ = ("claims", "client", "ends", "limits", "member_id", "placer")

    def __init__(
        self,
        *,
        placer: Placer,
        client: EndpointClient,
        claims: ClaimStore,
        member_id: str,
        limits: TeamLimits,
    ) -> None:
        self.placer = placer
        self.client = client
        self.claims = claims
        self.member_id = member_id
        self.limits = limits
        self.ends = EndChecks(owner_table=placer.owner_table)

    async def run(
        self, request: RoutedRequest, call: PlainCall
    ) -> PlainAnswer | Refusal:
        """Runs a request to its final answer."""
        if refused := self.limits.admit(request):
            return refused
        started_at = monotonic_s()
        try:
            outcome = await self._run(request, call)
        finally:
            self.limits.finish(request)
        if isinstance(outcome, Refusal):
            self.ends.check_refused(request, outcome)
        self.ends.check_runs(request)
        self.ends.check_time(request, started_at)
        return outcome

    async def _run(
        self, request: RoutedRequest, call: PlainCall
    ) -> PlainAnswer | Refusal:
        if request.idempotent or not call.idempotency_key:
            return await self._run_attempts(request, call)
        key_hash = hash_key(request.team, request.service, call.idempotency_key)
        match await self.claims.claim(key_hash, request.fingerprint):
            case Claimed(claim=claim):
                return await self._run_claimed(request, call, claim)
            case AlreadyClaimed() as earlier:
                return _earlier_outcome(earlier)
            case ClaimUnavailable(reason=reason):
                return refusal(
                    ResultCode.STORE_UNAVAILABLE, reason, retry_after_s=2
                )

    async def _run_claimed(
        self, request: RoutedRequest, call: PlainCall, claim: Claim
    ) -> PlainAnswer | Refusal:
        outcome = await self._run_attempts(request, call)
        match outcome:
            case PlainAnswer(status=status, body=body, headers=headers):
                content_type = headers.get("content-type", "")
                await self.claims.record(claim, status, content_type, body)
            case Refusal(ran=Ran.NO):
                await self.claims.drop(claim)
        return outcome

    async def _run_attempts(
        self, request: RoutedRequest, call: PlainCall
    ) -> PlainAnswer | Refusal:
        excluded: set[str] = set()
        attempts = request.max_attempts if request.idempotent else 1
        reason = ""
        while request.attempts < attempts:
            try:
                async with asyncio.timeout_at(request.deadline_at):
                    placed = await self.placer.place(request, excluded)
                    if isinstance(placed, Refusal):
                        return placed
                    request.attempts += 1
                    return await self._attempt(request, call, placed)
            except TimeoutError:
                ran = Ran.UNKNOWN if request.dispatched else Ran.NO
                return refusal(ResultCode.DEADLINE_EXCEEDED, ran=ran)
            except EndpointFailureError as error:
                reason = str(error)
                excluded.add(placed.endpoint)
                if not error.sent and request.attempts == 1:
                    request.dispatched = False
        ran = Ran.UNKNOWN if request.dispatched else Ran.NO
        return refusal(ResultCode.ENDPOINT_FAILED, reason, ran=ran)

    async def _attempt(
        self, request: RoutedRequest, call: PlainCall, held: HeldReservation
    ) -> PlainAnswer:
        spec = self.placer.owner_table.state.endpoints[held.endpoint]
        attempt = Attempt(
            request_id=request.id,
            number=request.attempts,
            member_id=self.member_id,
        )
        headers = call.headers | attempt.headers()
        succeeded = lost = False
        try:
            request.dispatched = True
            async with self.client.request(
                spec,
                call.method,
                call.path,
                guard=self.placer.reservations.guard(held, attempt),
                data=call.body,
                headers=headers,
                middlewares=(send_once,),
            ) as response:
                body = await response.read()
            succeeded = response.status < 500
            kept = {
                name: response.headers[name]
                for name in PASSED_HEADERS
                if name in response.headers
            }
            return PlainAnswer(status=response.status, body=body, headers=kept)
        except EndpointFailureError as error:
            lost = error.lost
            raise
        finally:
            await asyncio.shield(
                self.placer.reservations.release(
                    held, succeeded=succeeded, endpoint_lost=lost
                )
            )


def _earlier_outcome(earlier: AlreadyClaimed) -> PlainAnswer | Refusal:
    claim = earlier.claim
    if not earlier.same_request:
        return refusal(ResultCode.IDEMPOTENCY_KEY_REUSED)
    if claim.state == ClaimState.DONE and not claim.body_dropped:
        return PlainAnswer(
            status=claim.status,
            body=base64.b64decode(claim.body),
            headers={
                "content-type": claim.content_type,
                "x-idempotent-replay": "true",
            },
        )
    if claim.state == ClaimState.DONE:
        message = f"the request ran with HTTP status {claim.status}"
        return refusal(ResultCode.OUTCOME_UNKNOWN, message, ran=Ran.YES)
    return refusal(ResultCode.IN_PROGRESS, retry_after_s=IN_PROGRESS_RETRY_S)


__all__ = ["PlainAnswer", "PlainCall", "PlainRouter"]
