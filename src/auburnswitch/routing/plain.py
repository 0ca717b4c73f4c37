"""Runs requests of plain services, non-idempotent ones at most once."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from auburnswitch.claims.claim_store import (
    AlreadyClaimed,
    ClaimAcquired,
    ClaimStore,
    ClaimUnavailable,
    hash_key,
)
from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import Attempt, EndpointFailureError
from auburnswitch.endpoints.response_body import read_whole_body
from auburnswitch.http_client import send_at_most_once
from auburnswitch.observe.invariants import Invariant, Invariants
from auburnswitch.results import Refusal, refusal
from auburnswitch.routing.completion_checks import CompletionChecks
from auburnswitch.schema.objects import Claim, ClaimState
from auburnswitch.schema.results import Ran, ResultCode

if TYPE_CHECKING:
    from auburnswitch.endpoints.client import EndpointClient
    from auburnswitch.endpoints.reservations import HeldReservation
    from auburnswitch.routing.placer import Placer
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.routing.team_limits import TeamLimits

FORWARDED_HEADERS: Final = ("content-type", "location", "etag", "cache-control")
IN_PROGRESS_RETRY_AFTER_S: Final = 1.0
STORE_RETRY_AFTER_S: Final = 2.0
MAX_UNSENT_ATTEMPTS: Final = 3
_DIGEST_BYTES: Final = 16


@dataclass(slots=True, kw_only=True)
class PlainCall:
    """The HTTP request that is forwarded to a plain service."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    idempotency_key: str = ""

    def digest(self) -> str:
        """Returns a hash that identifies the call when it is sent again."""
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        content_type = self.headers.get("content-type", "")
        for part in (self.method, self.path, content_type):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(slots=True, kw_only=True)
class PlainAnswer:
    """The complete answer of a plain service."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class DispatchTooLateError(Exception):
    """A request was not sent because its dispatch deadline had passed."""


class PlainRouter:
    """Runs plain requests.

    Attributes:
        placer: Reserves endpoints for requests.
        client: Sends calls to endpoints.
        claims: Stores the claims on idempotency keys.
        member_id: Id of this daemon.
        invariants: Records violated invariants.
        limits: Admits requests within their teams' limits.
        completion_checks: Checks the invariants at the end of each request.
    """

    __slots__ = (
        "claims",
        "client",
        "completion_checks",
        "invariants",
        "limits",
        "member_id",
        "placer",
    )

    def __init__(
        self,
        *,
        placer: Placer,
        client: EndpointClient,
        claims: ClaimStore,
        member_id: str,
        invariants: Invariants,
        limits: TeamLimits,
    ) -> None:
        self.placer = placer
        self.client = client
        self.claims = claims
        self.member_id = member_id
        self.invariants = invariants
        self.limits = limits
        self.completion_checks = CompletionChecks(
            endpoint_manager=placer.endpoint_manager
        )

    async def run(
        self, request: RoutedRequest, call: PlainCall
    ) -> PlainAnswer | Refusal:
        """Runs a request and returns its answer or a refusal."""
        if refused := self.limits.admit(request):
            return refused
        started_at = monotonic_s()
        try:
            outcome = await self._run(request, call)
        finally:
            self.limits.finish(request)
        if isinstance(outcome, Refusal):
            self.completion_checks.check_refusal(request, outcome)
        self.completion_checks.check_attempt_count(request)
        self.completion_checks.check_deadline(request, started_at)
        return outcome

    async def _run(
        self, request: RoutedRequest, call: PlainCall
    ) -> PlainAnswer | Refusal:
        if request.idempotent or not call.idempotency_key:
            return await self._run_attempts(request, call, request.deadline_at)
        key_hash = hash_key(request.team, request.service, call.idempotency_key)
        time_left_s = request.time_left_s()
        match await self.claims.claim(
            key_hash, call.digest(), time_left_s=time_left_s
        ):
            case ClaimAcquired(claim=claim):
                return await self._run_claimed(request, call, claim)
            case AlreadyClaimed() as duplicate:
                return self._duplicate_outcome(duplicate)
            case ClaimUnavailable(reason=reason):
                return refusal(
                    ResultCode.STORE_UNAVAILABLE,
                    f"the request was not run: {reason}",
                    retry_after_s=STORE_RETRY_AFTER_S,
                )

    async def _run_claimed(
        self, request: RoutedRequest, call: PlainCall, claim: Claim
    ) -> PlainAnswer | Refusal:
        time_left_s = claim.dispatch_by - self.claims.clock.now_s()
        try:
            outcome = await self._run_attempts(
                request, call, monotonic_s() + time_left_s
            )
        except BaseException:
            self._end_claim(request, claim)
            raise
        match outcome:
            case PlainAnswer(status=status, body=body, headers=headers):
                content_type = headers.get("content-type", "")
                await self.claims.record(claim, status, content_type, body)
            case Refusal():
                self._end_claim(request, claim)
        return outcome

    def _end_claim(self, request: RoutedRequest, claim: Claim) -> None:
        if request.dispatched:
            self.claims.record_unknown(claim)
        else:
            self.claims.drop(claim)

    async def _run_attempts(
        self,
        request: RoutedRequest,
        call: PlainCall,
        dispatch_deadline_at: float,
    ) -> PlainAnswer | Refusal:
        excluded: set[str] = set()
        unsent_attempts = 0
        reason = ""
        try:
            async with asyncio.timeout_at(request.deadline_at):
                while _may_attempt(request, unsent_attempts):
                    placement = await self._place(
                        request, excluded, dispatch_deadline_at
                    )
                    if isinstance(placement, Refusal):
                        return placement
                    request.attempts += 1
                    try:
                        return await self._attempt(
                            request, call, placement, dispatch_deadline_at
                        )
                    except EndpointFailureError as error:
                        reason = str(error)
                        excluded.add(placement.endpoint)
                    except DispatchTooLateError:
                        reason = "it was too late to send the request"
                    unsent_attempts += 1
                    if not request.dispatched:
                        request.attempts -= 1  # no endpoint received it
        except TimeoutError:
            return refusal(
                ResultCode.DEADLINE_EXCEEDED, ran=_execution_state(request)
            )
        return refusal(
            ResultCode.ENDPOINT_FAILED, reason, ran=_execution_state(request)
        )

    async def _place(
        self,
        request: RoutedRequest,
        excluded: set[str],
        dispatch_deadline_at: float,
    ) -> HeldReservation | Refusal:
        if monotonic_s() < dispatch_deadline_at:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(dispatch_deadline_at):
                    return await self.placer.place(request, excluded)
        return refusal(
            ResultCode.QUEUE_FULL,
            ran=_execution_state(request),
            retry_after_s=1,
        )

    async def _attempt(
        self,
        request: RoutedRequest,
        call: PlainCall,
        held: HeldReservation,
        dispatch_deadline_at: float,
    ) -> PlainAnswer:
        spec = self.placer.endpoint_manager.state.endpoints[held.endpoint]
        attempt = Attempt(
            request_id=request.id,
            number=request.attempts,
            member_id=self.member_id,
        )
        begin_dispatch = self.placer.reservations.guard(held, attempt)

        def guard() -> None:
            if monotonic_s() > dispatch_deadline_at:
                raise DispatchTooLateError
            begin_dispatch()
            self._record_dispatch(request)

        succeeded = lost = False
        try:
            async with self.client.request(
                spec,
                call.method,
                call.path,
                guard=guard,
                data=call.body,
                headers=call.headers | attempt.headers(),
                middlewares=(send_at_most_once,),
            ) as response:
                body = await read_whole_body(response)
            succeeded = response.status < 500
            forwarded_headers = {
                name: response.headers[name]
                for name in FORWARDED_HEADERS
                if name in response.headers
            }
            return PlainAnswer(
                status=response.status, body=body, headers=forwarded_headers
            )
        except EndpointFailureError as error:
            lost = error.lost
            raise
        finally:
            await asyncio.shield(
                self.placer.reservations.release(
                    held, succeeded=succeeded, endpoint_lost=lost
                )
            )

    def _record_dispatch(self, request: RoutedRequest) -> None:
        self.invariants.check(
            request.idempotent or not request.dispatched,
            Invariant.AT_MOST_ONCE,
            request_id=request.id,
        )
        request.dispatched = True

    def _duplicate_outcome(
        self, duplicate: AlreadyClaimed
    ) -> PlainAnswer | Refusal:
        claim = duplicate.claim
        if not duplicate.same_request:
            return refusal(ResultCode.IDEMPOTENCY_KEY_REUSED)
        if claim.state == ClaimState.DONE:
            return _recorded_outcome(claim)
        if self.claims.in_progress(claim):
            return refusal(
                ResultCode.IN_PROGRESS, retry_after_s=IN_PROGRESS_RETRY_AFTER_S
            )
        return refusal(ResultCode.OUTCOME_UNKNOWN)


def _may_attempt(request: RoutedRequest, unsent_attempts: int) -> bool:
    if request.dispatched:
        return request.idempotent and request.attempts < request.max_attempts
    return unsent_attempts < MAX_UNSENT_ATTEMPTS


def _recorded_outcome(claim: Claim) -> PlainAnswer | Refusal:
    if claim.body_dropped:
        message = f"the request ran with HTTP status {claim.status}"
        return refusal(ResultCode.OUTCOME_UNKNOWN, message, ran=Ran.YES)
    return PlainAnswer(
        status=claim.status,
        body=base64.b64decode(claim.body),
        headers={
            "content-type": claim.content_type,
            "x-idempotent-replay": "true",
        },
    )


def _execution_state(request: RoutedRequest) -> Ran:
    return Ran.UNKNOWN if request.dispatched else Ran.NO


__all__ = [
    "PlainAnswer",
    "PlainCall",
    "PlainRouter",
    "DispatchTooLateError",
]
