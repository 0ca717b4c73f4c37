"""Reconciles ledgers with the reports of reservation holders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.load_report import LoadReport
    from auburnswitch.endpoints.reservation import Reservation
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.schema.peers import RunningWork
    from auburnswitch.schema.settings import Settings

MAX_MISSED_REPORTS: Final = 2
_NEVER: Final = float("-inf")


class ReservationReconciler:
    """Adds reported work to ledgers and drops unheld reservations.

    Attributes:
        ledgers: Ledger by endpoint name.
        reported_at: Loop time of each member's newest report, in seconds.
        wake: Called with the name of an endpoint whose capacity was freed.
    """

    __slots__ = ("ledgers", "reported_at", "settings", "view", "wake")

    def __init__(
        self,
        *,
        settings: Settings,
        view: MemberView,
        ledgers: dict[str, EndpointLedger],
        wake: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.view = view
        self.ledgers = ledgers
        self.wake = wake
        self.reported_at: dict[str, float] = {}

    def record_report(self, member_id: str, running: list[RunningWork]) -> None:
        """Records a member's complete report of its work on owned endpoints."""
        self.reported_at[member_id] = monotonic_s()
        reported = set()
        for work in running:
            ledger = self.ledgers.get(work.endpoint)
            if ledger is not None:
                ledger.record_reported_work(work, member_id)
                reported.add(work.reservation_id)
        for ledger in self.ledgers.values():
            self._record_missing(ledger, member_id, reported)

    def on_load_report(
        self, ledger: EndpointLedger, report: LoadReport
    ) -> None:
        """Completes recovery if it is due and ends abandoned reservations."""
        if ledger.recovering and self._has_recovered(ledger):
            ledger.recovering = False
        for reservation in list(ledger.reservations.values()):
            if (
                reservation.is_released
                and reservation.boot_id != report.boot_id
            ):
                ledger.end(reservation.id)  # it ran on an earlier incarnation
        abandoned = [
            r for r in ledger.reservations.values() if self.is_abandoned(r)
        ]
        if not abandoned:
            return
        held_count = len(ledger.reservations) - len(abandoned)
        # The work list is more precise than the load report.
        has_work_list = ledger.work_listed_at > _NEVER
        running = report.running + report.waiting
        if ledger.is_cold and (has_work_list or running > held_count):
            return
        for reservation in abandoned:
            if self._has_ended(ledger, reservation):
                ledger.end(reservation.id)

    def _has_recovered(self, ledger: EndpointLedger) -> bool:
        """Returns whether every live member reported since the takeover."""
        members = self.settings.members
        # Work granted by an earlier owner is dispatched within its time to
        # live and appears in its holder's next report and the next load report.
        since = ledger.recovery_started_at + members.reservation_ttl_s
        lag_s = self.settings.endpoints.load_lag_s
        if monotonic_s() < since + lag_s:
            return False
        others = [
            i for i in self.view.live_ids() if i != self.view.local_member.id
        ]
        return all(self.reported_at.get(i, _NEVER) >= since for i in others)

    def _record_missing(
        self, ledger: EndpointLedger, member_id: str, reported: set[str]
    ) -> None:
        grace_s = (
            self.settings.members.reservation_ttl_s
            + self.settings.peers.call_timeout_s
        )
        granted_before = monotonic_s() - grace_s
        missing = []
        for reservation in ledger.reservations.values():
            if reservation.member_id != member_id or reservation.is_released:
                continue
            if (
                reservation.id in reported
                or reservation.granted_at > granted_before
            ):
                continue
            reservation.missed_reports += 1
            if reservation.missed_reports >= MAX_MISSED_REPORTS:
                missing.append(reservation)
        for reservation in missing:
            self._drop(ledger, reservation)
        if missing:
            self.wake(ledger.name)

    def _drop(self, ledger: EndpointLedger, reservation: Reservation) -> None:
        """Drops a reservation that its live holder no longer reports."""
        if reservation.attempt:
            reservation.released_at = monotonic_s()  # the release was lost
        else:
            ledger.end(reservation.id)

    def is_abandoned(self, reservation: Reservation) -> bool:
        """Returns whether no live daemon is known to hold a reservation."""
        if reservation.is_released:
            return True
        if reservation.member_id == self.view.local_member.id:
            return False
        last_report_at = self.reported_at.get(reservation.member_id, _NEVER)
        silent_s = monotonic_s() - max(last_report_at, reservation.reported_at)
        members = self.settings.members
        return silent_s > members.suspect_after_s + members.reservation_ttl_s

    def _has_ended(
        self, ledger: EndpointLedger, reservation: Reservation
    ) -> bool:
        """Returns whether the endpoint can no longer run the work."""
        if not ledger.is_cold:
            return True
        lag_s = self.settings.endpoints.load_lag_s
        if reservation.granted_at > monotonic_s() - lag_s:
            return False  # the report may predate the work
        if reservation.is_released:
            return True  # the load report shows that it is not running
        return reservation.member_id not in self.view.roster_ids()


__all__ = ["ReservationReconciler"]
