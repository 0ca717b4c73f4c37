"""Enforces team limits across all daemons."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.results import Refusal, refusal
from auburnswitch.schema.peers import TeamUsage
from auburnswitch.schema.results import ResultCode

if TYPE_CHECKING:
    from auburnswitch.configuration.state import ConfigState
    from auburnswitch.members.member_view import MemberView
    from auburnswitch.routing.request import RoutedRequest
    from auburnswitch.schema.objects import Team
    from auburnswitch.schema.peers import Heartbeat

TEAM_LIMIT_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 3600.0


class TeamMeter:
    """Usage of one team as known to this daemon.

    ``available_tokens`` is the level of a token bucket for the whole fleet.
    Admissions of this daemon are subtracted immediately, those of peers when
    their heartbeats arrive. The level may become negative, so that excess
    admissions are repaid by later refills.

    Attributes:
        available_tokens: Tokens available in the bucket.
        refilled_at: Loop time of the last refill, in seconds.
        in_flight: Requests of the team in flight at this daemon.
        admitted_tokens: Tokens admitted by this daemon since its start.
        peer_in_flight: Requests of the team in flight, by peer id.
        interval_number: Number of the heartbeat interval that the fields
            below describe.
        interval_tokens: Tokens admitted in the interval.
        interval_requests: Requests admitted in the interval.
        interval_start_tokens: Available tokens at the start of the interval.
        interval_start_headroom: Further requests that could be in flight at
            the start of the interval.
    """

    __slots__ = (
        "admitted_tokens",
        "available_tokens",
        "in_flight",
        "interval_number",
        "interval_requests",
        "interval_start_headroom",
        "interval_start_tokens",
        "interval_tokens",
        "peer_in_flight",
        "refilled_at",
    )

    def __init__(self, *, spec: Team) -> None:
        self.available_tokens = bucket_capacity(spec)
        self.refilled_at = monotonic_s()
        self.in_flight = 0
        self.admitted_tokens = 0
        self.peer_in_flight: dict[str, int] = {}
        self.interval_number = -1
        self.interval_tokens = 0
        self.interval_requests = 0
        self.interval_start_tokens = 0.0
        self.interval_start_headroom = 0

    def start_interval(
        self, spec: Team, interval_number: int, live_ids: set[str]
    ) -> None:
        """Refills the bucket and starts a new interval when one is due."""
        now = monotonic_s()
        refilled_tokens = (
            self.available_tokens
            + (now - self.refilled_at) * spec.tokens_per_second
        )
        self.available_tokens = min(bucket_capacity(spec), refilled_tokens)
        self.refilled_at = now
        for peer_id in self.peer_in_flight.keys() - live_ids:
            del self.peer_in_flight[peer_id]
        if interval_number != self.interval_number:
            self.interval_number = interval_number
            self.interval_tokens = 0
            self.interval_requests = 0
            self.interval_start_tokens = self.available_tokens
            self.interval_start_headroom = (
                spec.max_in_flight - self.total_in_flight
            )

    @property
    def total_in_flight(self) -> int:
        """Requests of the team in flight at all daemons."""
        return self.in_flight + sum(self.peer_in_flight.values())

    def record_admission(self, tokens: int) -> None:
        """Records an admitted request."""
        self.available_tokens -= tokens
        self.admitted_tokens += tokens
        self.in_flight += 1
        self.interval_tokens += tokens
        self.interval_requests += 1


class TeamLimits:
    """Admits requests within their teams' limits.

    In one heartbeat interval a daemon admits its share of the capacity
    available at the start of the interval, or one request if that is more,
    because the other daemons may do the same before their heartbeats arrive.
    All daemons together therefore exceed a limit by at most one request for
    each other daemon, and excess tokens are repaid.

    Attributes:
        state: The configuration, which holds the limits of each team.
        view: The members known to this daemon.
        interval_s: Interval between heartbeats, in seconds.
        meters: Usage by team.
        reported_usage: Loop time in seconds of the last heartbeat sent to each
            peer, and the admitted tokens of each team reported by then.
    """

    __slots__ = (
        "interval_s",
        "meters",
        "reported_usage",
        "state",
        "view",
    )

    def __init__(
        self, *, state: ConfigState, view: MemberView, interval_s: float
    ) -> None:
        self.state = state
        self.view = view
        self.interval_s = interval_s
        self.meters: dict[str, TeamMeter] = {}
        self.reported_usage: dict[str, tuple[float, dict[str, int]]] = {}

    def admit(self, request: RoutedRequest) -> Refusal | None:
        """Admits and records a request, or returns the refusal."""
        spec = self.state.teams.get(request.team)
        if spec is None:
            return refusal(ResultCode.BAD_CALLER_KEY)
        meter = self._get_or_add_meter(request.team, spec)
        live_ids = set(self.view.live_ids())
        meter.start_interval(
            spec, int(monotonic_s() // self.interval_s), live_ids
        )
        tokens = request.prompt_tokens + request.answer_tokens
        if refused := _check_limits(spec, meter, tokens, len(live_ids)):
            return refused
        meter.record_admission(tokens)
        return None

    def finish(self, request: RoutedRequest) -> None:
        """Records the end of an admitted request."""
        meter = self.meters.get(request.team)
        if meter is not None:
            meter.in_flight -= 1

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Adds the usage of each team since the last heartbeat to a peer."""
        now = monotonic_s()
        reported_at, reported_tokens = self.reported_usage.get(
            peer_id, (now, {})
        )
        elapsed_s = max(1e-3, now - reported_at)
        for team, meter in self.meters.items():
            tokens = meter.admitted_tokens - reported_tokens.get(team, 0)
            if tokens or meter.in_flight:
                heartbeat.usage.append(
                    TeamUsage(
                        team=team,
                        tokens_per_second=tokens / elapsed_s,
                        tokens=tokens,
                        in_flight=meter.in_flight,
                    )
                )
        admitted = {name: m.admitted_tokens for name, m in self.meters.items()}
        self.reported_usage[peer_id] = (now, admitted)
        for removed_peer in (
            self.reported_usage.keys() - self.view.peers.keys() - {peer_id}
        ):
            del self.reported_usage[removed_peer]

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Merges the team usage in a peer's heartbeat."""
        peer_id = heartbeat.sender.id
        for meter in self.meters.values():
            meter.peer_in_flight.pop(peer_id, None)
        for usage in heartbeat.usage:
            spec = self.state.teams.get(usage.team)
            if spec is None:
                continue
            meter = self._get_or_add_meter(usage.team, spec)
            meter.peer_in_flight[peer_id] = usage.in_flight
            meter.available_tokens -= usage.tokens

    def _get_or_add_meter(self, team: str, spec: Team) -> TeamMeter:
        meter = self.meters.get(team)
        if meter is None:
            meter = self.meters[team] = TeamMeter(spec=spec)
        return meter


def bucket_capacity(spec: Team) -> float:
    """Returns the bucket size in tokens: the burst or one second's rate.

    The larger of the two applies.
    """
    return max(spec.burst_tokens, spec.tokens_per_second)


def _check_limits(
    spec: Team, meter: TeamMeter, tokens: int, live_daemon_count: int
) -> Refusal | None:
    if spec.max_in_flight:
        share = max(
            1, math.ceil(meter.interval_start_headroom / live_daemon_count)
        )
        is_full = meter.total_in_flight >= spec.max_in_flight
        if is_full or meter.interval_requests >= share:
            return _limit_refusal(TEAM_LIMIT_RETRY_AFTER_S)
    if spec.tokens_per_second:
        needed = min(float(tokens), bucket_capacity(spec))
        if meter.available_tokens < needed:
            wait_s = (needed - meter.available_tokens) / spec.tokens_per_second
            return _limit_refusal(min(MAX_RETRY_AFTER_S, wait_s))
        used = meter.interval_tokens
        if (
            used
            and used + tokens > meter.interval_start_tokens / live_daemon_count
        ):
            return _limit_refusal(TEAM_LIMIT_RETRY_AFTER_S)
    return None


def _limit_refusal(retry_after_s: float) -> Refusal:
    return refusal(ResultCode.TEAM_LIMIT, retry_after_s=retry_after_s)


__all__ = ["TeamLimits", "TeamMeter", "bucket_capacity"]
