"""Enforces the limits of teams over all daemons."""

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
    """What one team uses, as this daemon knows it.

    The level is that of a token bucket for the whole fleet: it falls by what
    this daemon admits at once and by what peers admit with their heartbeats,
    and may become negative, so that what was admitted too much is repaid.

    Attributes:
        available_tokens: Tokens that may be used now.
        filled_at: Loop time up to which the level has been filled, in seconds.
        in_flight: Requests of the team that run through this daemon.
        admitted: Tokens that this daemon has ever admitted.
        peer_in_flight: Requests in flight at each peer.
        interval: Number of the heartbeat interval of the counts below.
        interval_tokens: Tokens admitted in the interval.
        interval_requests: Requests admitted in the interval.
        interval_start_tokens: Level at the begin of the interval.
        interval_start_headroom: Requests in flight short of the limit at its
            begin.
    """

    __slots__ = (
        "admitted",
        "available_tokens",
        "filled_at",
        "in_flight",
        "interval",
        "interval_requests",
        "interval_start_headroom",
        "interval_start_tokens",
        "interval_tokens",
        "peer_in_flight",
    )

    def __init__(self, *, spec: Team) -> None:
        self.available_tokens = bucket_capacity(spec)
        self.filled_at = monotonic_s()
        self.in_flight = 0
        self.admitted = 0
        self.peer_in_flight: dict[str, int] = {}
        self.interval = -1
        self.interval_tokens = 0
        self.interval_requests = 0
        self.interval_start_tokens = 0.0
        self.interval_start_headroom = 0

    def start_interval(self, spec: Team, interval: int, live: set[str]) -> None:
        """Fills the bucket and begins a new interval if it is time."""
        now = monotonic_s()
        filled = (
            self.available_tokens
            + (now - self.filled_at) * spec.tokens_per_second
        )
        self.available_tokens = min(bucket_capacity(spec), filled)
        self.filled_at = now
        for peer_id in self.peer_in_flight.keys() - live:
            del self.peer_in_flight[peer_id]
        if interval != self.interval:
            self.interval = interval
            self.interval_tokens = 0
            self.interval_requests = 0
            self.interval_start_tokens = self.available_tokens
            self.interval_start_headroom = (
                spec.max_in_flight - self.total_in_flight
            )

    @property
    def total_in_flight(self) -> int:
        """Requests of the team that run through all daemons."""
        return self.in_flight + sum(self.peer_in_flight.values())

    def record_admission(self, tokens: int) -> None:
        """Counts an admitted request."""
        self.available_tokens -= tokens
        self.admitted += tokens
        self.in_flight += 1
        self.interval_tokens += tokens
        self.interval_requests += 1


class TeamLimits:
    """Admits requests within their teams' limits.

    In one heartbeat interval a daemon admits its share of what was left at
    the interval's begin, or one request, since the others may do the same
    unseen. So all daemons together pass a limit by at most one request for
    each other daemon, and what they pass in tokens is repaid.

    Attributes:
        meters: Usage by team.
        reported_usage: Tokens of each team that each peer knows of, with the
            loop time of the last heartbeat in seconds.
        heard_at: Loop time of each peer's last heartbeat, in seconds.
    """

    __slots__ = (
        "heard_at",
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
        self.heard_at: dict[str, float] = {}

    def admit(self, request: RoutedRequest) -> Refusal | None:
        """Counts a request, or returns why its team may not run it now."""
        spec = self.state.teams.get(request.team)
        if spec is None:
            return refusal(ResultCode.BAD_CALLER_KEY)
        meter = self._meter(request.team, spec)
        live = set(self.view.live_ids())
        meter.start_interval(spec, int(monotonic_s() // self.interval_s), live)
        tokens = request.prompt_tokens + request.answer_tokens
        if refused := _refuse(spec, meter, tokens, len(live)):
            return refused
        meter.record_admission(tokens)
        return None

    def finish(self, request: RoutedRequest) -> None:
        """Takes note that an admitted request has ended."""
        meter = self.meters.get(request.team)
        if meter is not None:
            meter.in_flight -= 1

    def fill_heartbeat(self, heartbeat: Heartbeat, peer_id: str) -> None:
        """Adds what the teams have used since the last heartbeat."""
        now = monotonic_s()
        told_at, told = self.reported_usage.get(peer_id, (now, {}))
        passed_s = max(1e-3, now - told_at)
        for team, meter in self.meters.items():
            tokens = meter.admitted - told.get(team, 0)
            if tokens or meter.in_flight:
                heartbeat.usage.append(
                    TeamUsage(
                        team=team,
                        tokens_per_second=tokens / passed_s,
                        tokens=tokens,
                        in_flight=meter.in_flight,
                    )
                )
        admitted = {name: m.admitted for name, m in self.meters.items()}
        self.reported_usage[peer_id] = (now, admitted)
        for gone in (
            self.reported_usage.keys() - self.view.peers.keys() - {peer_id}
        ):
            del self.reported_usage[gone]

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes what a peer's teams have used."""
        peer_id = heartbeat.sender.id
        for meter in self.meters.values():
            meter.peer_in_flight.pop(peer_id, None)
        for usage in heartbeat.usage:
            spec = self.state.teams.get(usage.team)
            if spec is None:
                continue
            meter = self._meter(usage.team, spec)
            meter.peer_in_flight[peer_id] = usage.in_flight
            meter.available_tokens -= usage.tokens

    def _meter(self, team: str, spec: Team) -> TeamMeter:
        meter = self.meters.get(team)
        if meter is None:
            meter = self.meters[team] = TeamMeter(spec=spec)
        return meter


def bucket_capacity(spec: Team) -> float:
    """Returns the size of a team's bucket: its burst, or one second."""
    return max(spec.burst_tokens, spec.tokens_per_second)


def _refuse(
    spec: Team, meter: TeamMeter, tokens: int, daemons: int
) -> Refusal | None:
    if spec.max_in_flight:
        share = max(1, math.ceil(meter.interval_start_headroom / daemons))
        full = meter.total_in_flight >= spec.max_in_flight
        if full or meter.interval_requests >= share:
            return _refusal(TEAM_LIMIT_RETRY_AFTER_S)
    if spec.tokens_per_second:
        needed = min(float(tokens), bucket_capacity(spec))
        if meter.available_tokens < needed:
            wait_s = (needed - meter.available_tokens) / spec.tokens_per_second
            return _refusal(min(MAX_RETRY_AFTER_S, wait_s))
        used = meter.interval_tokens
        if used and used + tokens > meter.interval_start_tokens / daemons:
            return _refusal(TEAM_LIMIT_RETRY_AFTER_S)
    return None


def _refusal(retry_after_s: float) -> Refusal:
    return refusal(ResultCode.TEAM_LIMIT, retry_after_s=retry_after_s)


__all__ = ["TeamLimits", "TeamMeter", "bucket_capacity"]
