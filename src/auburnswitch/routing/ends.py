"""Checks the end of each request against the invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.observe.invariants import Invariant
from auburnswitch.schema.results import Ran

if TYPE_CHECKING:
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.results import Refusal
    from auburnswitch.routing.answer_stream import AnswerEnd
    from auburnswitch.routing.progress import Progress
    from auburnswitch.routing.request import RoutedRequest

DEADLINE_SLACK_S: Final = 1.0


class EndChecks:
    """What must hold when a request ends.

    Attributes:
        owner_table: Where the invariants and the pauses are known.
    """

    __slots__ = ("owner_table",)

    def __init__(self, *, owner_table: OwnerTable) -> None:
        self.owner_table = owner_table

    def check_refused(self, request: RoutedRequest, refused: Refusal) -> None:
        """Checks that a refusal as not run is true."""
        self.owner_table.invariants.check(
            refused.ran != Ran.NO or not request.dispatched,
            Invariant.NOT_RUN,
            request_id=request.id,
            code=int(refused.code),
        )

    def check_whole(
        self, request: RoutedRequest, progress: Progress, end: AnswerEnd
    ) -> None:
        """Checks that every token of an answer was delivered, once."""
        counted = end.usage.get("completion_tokens", 0)
        self.owner_table.invariants.check(
            counted == progress.delivered_tokens,
            Invariant.WHOLE_ANSWER,
            request_id=request.id,
            counted=counted,
            delivered=progress.delivered_tokens,
        )

    def check_runs(self, request: RoutedRequest) -> None:
        """Checks that a non-idempotent request was attempted once at most."""
        self.owner_table.invariants.check(
            request.idempotent or request.attempts <= 1,
            Invariant.AT_MOST_ONCE,
            request_id=request.id,
            attempts=request.attempts,
        )

    def check_time(self, request: RoutedRequest, resumed_at: float) -> None:
        """Checks that a request ends within its deadline.

        Args:
            request: The request.
            resumed_at: Loop time at which its caller last took a part of the
                answer, in seconds; a slow caller's time does not count.
        """
        view = self.owner_table.view
        now = monotonic_s()
        late_s = now - max(request.deadline_at, resumed_at)
        paused = (
            now - view.last_tick_at > view.settings.suspect_after_s
            or view.last_resumed_at > request.deadline_at
        )
        self.owner_table.invariants.check(
            late_s <= DEADLINE_SLACK_S or paused,
            Invariant.DEADLINE,
            request_id=request.id,
            late_s=late_s,
        )


__all__ = ["EndChecks"]
