"""Keeps ledgers in step with what the holders of reservations report."""

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
    """Adds reported work to ledgers and drops what no one holds.

    Attributes:
        ledgers: Ledger by endpoint name.
        reported_at: Loop time of each member's newest report, in seconds.
        wake: Called with an endpoint that has got room.
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

    def note_report(self, member_id: str, running: list[RunningWork]) -> None:
        """Takes all work that a member has on this daemon's endpoints."""
        self.reported_at[member_id] = monotonic_s()
        reported = set()
        for work in running:
            ledger = self.ledgers.get(work.endpoint)
            if ledger is not None:
                ledger.record_reported_work(work, member_id)
                reported.add(work.reservation_id)
        for ledger in self.ledgers.values():
            self._note_missing(ledger, member_id, reported)

    def note_load(self, ledger: EndpointLedger, report: LoadReport) -> None:
        """Ends the settling of a take-over; frees room of dead holders."""
        if ledger.recovering and self._is_settled(ledger):
            ledger.recovering = False
        for reservation in list(ledger.reservations.values()):
            if (
                reservation.is_released
                and reservation.boot_id != report.boot_id
            ):
                ledger.end(reservation.id)  # an earlier start ran it
        unheld = [
            r for r in ledger.reservations.values() if self.is_abandoned(r)
        ]
        if not unheld:
            return
        held = len(ledger.reservations) - len(unheld)
        listed = (
            ledger.work_listed_at > _NEVER
        )  # the list says more than the load
        running = report.running + report.waiting
        if ledger.is_cold and (listed or running > held):
            return
        for reservation in unheld:
            if self._is_certain(ledger, reservation):
                ledger.end(reservation.id)

    def _is_settled(self, ledger: EndpointLedger) -> bool:
        """Tells whether every live member has reported since the take-over."""
        members = self.settings.members
        # Work granted by an earlier owner is used within its time to live and
        # is in the next report of its holder and in the next load report.
        since = ledger.recovery_started_at + members.reservation_ttl_s
        lag_s = self.settings.endpoints.load_lag_s
        if monotonic_s() < since + lag_s:
            return False
        others = [
            i for i in self.view.live_ids() if i != self.view.local_member.id
        ]
        return all(self.reported_at.get(i, _NEVER) >= since for i in others)

    def _note_missing(
        self, ledger: EndpointLedger, member_id: str, reported: set[str]
    ) -> None:
        grace_s = (
            self.settings.members.reservation_ttl_s
            + self.settings.peers.call_timeout_s
        )
        newest = monotonic_s() - grace_s
        gone = []
        for reservation in ledger.reservations.values():
            if reservation.member_id != member_id or reservation.is_released:
                continue
            if reservation.id in reported or reservation.granted_at > newest:
                continue
            reservation.missed_reports += 1
            if reservation.missed_reports >= MAX_MISSED_REPORTS:
                gone.append(reservation)
        for reservation in gone:
            self._drop(ledger, reservation)
        if gone:
            self.wake(ledger.name)

    def _drop(self, ledger: EndpointLedger, reservation: Reservation) -> None:
        """Drops a reservation that its living holder does not have."""
        if reservation.attempt:
            reservation.released_at = monotonic_s()  # release was lost
        else:
            ledger.end(reservation.id)

    def is_abandoned(self, reservation: Reservation) -> bool:
        """Tells whether no living daemon is known to hold a reservation."""
        if reservation.is_released:
            return True
        if reservation.member_id == self.view.local_member.id:
            return False
        heard_at = self.reported_at.get(reservation.member_id, _NEVER)
        silent_s = monotonic_s() - max(heard_at, reservation.reported_at)
        members = self.settings.members
        return silent_s > members.suspect_after_s + members.reservation_ttl_s

    def _is_certain(
        self, ledger: EndpointLedger, reservation: Reservation
    ) -> bool:
        """Tells whether the endpoint can no longer run the work."""
        if not ledger.is_cold:
            return True
        lag_s = self.settings.endpoints.load_lag_s
        if reservation.granted_at > monotonic_s() - lag_s:
            return False  # the report may be older than the work
        if reservation.is_released:
            return True  # the load report shows that it does not run
        return reservation.member_id not in self.view.roster_ids()


__all__ = ["ReservationReconciler"]
