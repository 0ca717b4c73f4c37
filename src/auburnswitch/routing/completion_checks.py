"""Checks invariants at the end of each request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.invariants import Invariant
from auburnswitch.schema.results import Ran

if TYPE_CHECKING:
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.results import Refusal
    from auburnswitch.routing.answer_progress import AnswerProgress
    from auburnswitch.routing.answer_stream import AnswerEnd
    from auburnswitch.routing.request import RoutedRequest

DEADLINE_SLACK_S: Final = 1.0


class CompletionChecks:
    """Checks the invariants of a request that ends.

    Attributes:
        endpoint_manager: Provides the invariants, and the member view that
            records pauses of this process.
    """

    __slots__ = ("endpoint_manager",)

    def __init__(self, *, endpoint_manager: EndpointManager) -> None:
        self.endpoint_manager = endpoint_manager

    def check_refusal(self, request: RoutedRequest, refused: Refusal) -> None:
        """Checks that a request refused as not run was not dispatched."""
        self.endpoint_manager.invariants.check(
            refused.ran != Ran.NO or not request.dispatched,
            Invariant.NOT_RUN,
            request_id=request.id,
            code=int(refused.code),
        )

    def check_token_count(
        self, request: RoutedRequest, progress: AnswerProgress, end: AnswerEnd
    ) -> None:
        """Checks that every token of an answer was delivered exactly once."""
        counted = end.usage.get("completion_tokens", 0)
        self.endpoint_manager.invariants.check(
            counted == progress.delivered_tokens,
            Invariant.WHOLE_ANSWER,
            request_id=request.id,
            counted=counted,
            delivered=progress.delivered_tokens,
        )

    def check_attempt_count(self, request: RoutedRequest) -> None:
        """Checks that a non-idempotent request was attempted at most once."""
        self.endpoint_manager.invariants.check(
            request.idempotent or request.attempts <= 1,
            Invariant.AT_MOST_ONCE,
            request_id=request.id,
            attempts=request.attempts,
        )

    def check_deadline(self, request: RoutedRequest, resumed_at: float) -> None:
        """Checks that a request ends within its deadline plus some slack.

        A late end after a pause of this process is no violation.

        Args:
            request: The request.
            resumed_at: Loop time at which the caller last accepted a part of
                the answer, in seconds; time spent waiting for a slow caller
                does not count.
        """
        view = self.endpoint_manager.view
        now = monotonic_s()
        late_s = now - max(request.deadline_at, resumed_at)
        was_paused = (
            now - view.last_tick_at > view.settings.suspect_after_s
            or view.last_resumed_at > request.deadline_at
        )
        self.endpoint_manager.invariants.check(
            late_s <= DEADLINE_SLACK_S or was_paused,
            Invariant.DEADLINE,
            request_id=request.id,
            late_s=late_s,
        )


__all__ = ["CompletionChecks"]
