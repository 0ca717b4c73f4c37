"""Changes the phases of endpoints on outcomes, load reports and pauses."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.peers import EndpointPhase

if TYPE_CHECKING:
    from collections.abc import Iterator

    from auburnswitch.endpoints.hints import HintCache
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.load_report import LoadReport
    from auburnswitch.endpoints.reservation import Reservation
    from auburnswitch.endpoints.unschedulable import UnschedulableEndpoints
    from auburnswitch.schema.peers import ReleaseRequest
    from auburnswitch.schema.settings import EndpointsSettings

FIRST_TOKEN_FLOOR_S: Final = 0.1
HINT_MAX_AGE_S: Final = 15.0


class PhaseTransitions:
    """Moves endpoints between their phases.

    Attributes:
        hints: Hints from earlier owners of the endpoints.
        unschedulable: Endpoints that receive no new work.
    """

    __slots__ = ("hints", "settings", "unschedulable")

    def __init__(
        self,
        *,
        settings: EndpointsSettings,
        hints: HintCache,
        unschedulable: UnschedulableEndpoints,
    ) -> None:
        self.settings = settings
        self.hints = hints
        self.unschedulable = unschedulable

    def record_outcome(
        self,
        ledger: EndpointLedger,
        reservation: Reservation,
        request: ReleaseRequest,
    ) -> None:
        """Applies the outcome of an attempt."""
        if reservation.boot_id != ledger.boot_id:
            return  # it ran on an earlier incarnation
        if self.unschedulable.phase(ledger.name) is not None:
            return
        with _log_phase_change(ledger):
            if request.endpoint_lost:
                ledger.warm_up.reset_to_cold(ledger.boot_id)
            elif reservation.generation != ledger.warm_up.generation:
                return  # it was granted before the endpoint became cold
            elif request.succeeded:
                ledger.warm_up.record_success(ledger.spec)
            else:
                ledger.warm_up.reduce_window(ledger.spec)

    def record_first_token(
        self,
        ledger: EndpointLedger,
        reservation: Reservation,
        first_token_s: float,
    ) -> None:
        """Compares a first-token time with the endpoint's baseline."""
        if first_token_s <= 0 or reservation.boot_id != ledger.boot_id:
            return
        expected_first_token_s = max(
            FIRST_TOKEN_FLOOR_S, reservation.expected_first_token_s
        )
        with _log_phase_change(ledger):
            ledger.warm_up.record_first_token(
                ledger.spec,
                max(FIRST_TOKEN_FLOOR_S, first_token_s)
                / expected_first_token_s,
                self.settings.slow_first_token_ratio,
            )

    def on_load_report(
        self, ledger: EndpointLedger, report: LoadReport
    ) -> None:
        """Applies a load report."""
        ledger.load = report
        ledger.load_failures = 0
        warm_up = ledger.warm_up
        with _log_phase_change(ledger):
            if self.unschedulable.phase(ledger.name) is not None:
                # it is cold when it returns
                warm_up.reset_to_cold(report.boot_id)
            elif ledger.phase is EndpointPhase.UNKNOWN:
                self._start_tracking(ledger, report)
            elif _has_restarted(ledger, report):
                warm_up.reset_to_cold(report.boot_id)
            elif report.is_empty and self._has_old_work(ledger):
                warm_up.record_empty_report()
            else:
                warm_up.empty_reports = 0

    def record_unreachable(self, ledger: EndpointLedger) -> None:
        """Counts a failed load read; marks the endpoint down at the limit."""
        ledger.load_failures += 1
        if ledger.load_failures >= self.settings.down_after_failures:
            with _log_phase_change(ledger):
                ledger.warm_up.mark_down()

    def mark_cold(self, ledger: EndpointLedger) -> None:
        """Marks an endpoint cold that is out, leaving or loading a model.

        It is cold when it returns.
        """
        if ledger.phase is not EndpointPhase.UNKNOWN:
            with _log_phase_change(ledger):
                ledger.warm_up.reset_to_cold(ledger.boot_id)

    def on_pause(self, ledger: EndpointLedger) -> None:
        """Resets the phase, which may be out of date after a pause."""
        with _log_phase_change(ledger):
            ledger.warm_up.phase = EndpointPhase.UNKNOWN

    def _start_tracking(
        self, ledger: EndpointLedger, report: LoadReport
    ) -> None:
        ledger.warm_up.reset_to_cold(report.boot_id)
        hint = self.hints.newest(ledger.name, max_age_s=HINT_MAX_AGE_S)
        if hint is not None and hint.boot_id == report.boot_id:
            ledger.warm_up.inherit(hint)

    def _has_old_work(self, ledger: EndpointLedger) -> bool:
        # A load report may predate recent work, so only work that its holder
        # still reported well after the grant counts.
        lag_s = self.settings.load_lag_s + self.settings.load_interval_s
        oldest_grant_at = min(
            (r.granted_at for r in ledger.reservations.values() if r.attempt),
            default=float("inf"),
        )
        newest_report_at = max(
            (r.reported_at for r in ledger.reservations.values() if r.attempt),
            default=float("-inf"),
        )
        return newest_report_at - oldest_grant_at > 2 * lag_s


def _has_restarted(ledger: EndpointLedger, report: LoadReport) -> bool:
    if ledger.phase is EndpointPhase.DOWN:
        return True
    return report.boot_id != ledger.boot_id


@contextlib.contextmanager
def _log_phase_change(ledger: EndpointLedger) -> Iterator[None]:
    before = ledger.phase
    yield
    if ledger.phase is not before:
        log_event(
            EventId.ENDPOINT_PHASE_CHANGED,
            endpoint=ledger.name,
            before=before.name.lower(),
            after=ledger.phase.name.lower(),
        )


__all__ = ["PhaseTransitions"]
