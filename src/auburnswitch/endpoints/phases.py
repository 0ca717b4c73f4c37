"""Limits the load of an endpoint while it warms up after a start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.schema.peers import EndpointHint, EndpointPhase

if TYPE_CHECKING:
    from auburnswitch.schema.objects import Endpoint

UNSCHEDULABLE_PHASES: Final = (
    EndpointPhase.LEAVING,
    EndpointPhase.OUT,
    EndpointPhase.DOWN,
)
LEASE_REQUIRED_PHASES: Final = (EndpointPhase.UNKNOWN, EndpointPhase.COLD)
INHERITABLE_PHASES: Final = (EndpointPhase.WARMING, EndpointPhase.WARM)
WINDOW_GROWTH_DIVISOR: Final = 4
BASELINE_EWMA_WEIGHT: Final = 0.1
SLOW_FIRST_TOKENS_BEFORE_COLD: Final = 2
EMPTY_REPORTS_BEFORE_COLD: Final = 2
MAX_NORMAL_RATIO: Final = 1.5  # multiple of the baseline ratio
WARM_SPEEDUP_RATIO: Final = 2.0  # of the highest cold ratio to a warm one
MAX_UNDETECTED_RESETS: Final = 1  # while the engine is cold


@dataclass(slots=True, kw_only=True)
class LoadLimits:
    """Limits on the concurrent work of an endpoint.

    Attributes:
        running: Maximum number of requests.
        prompt_tokens: Maximum total of their prompt tokens.
    """

    running: int
    prompt_tokens: int


class WarmUpState:
    """The phase of one endpoint and its load limits.

    Attributes:
        phase: Current phase, which sets the load limits.
        boot_id: Boot id of the endpoint's current incarnation.
        generation: Number of times that it has become cold.
        successes: Requests that succeeded since it last became cold.
        window: Requests that may run concurrently while it is warming.
        baseline_ratio: Moving average of actual to expected first-token time
            while the endpoint is not cold.
        max_cold_ratio: Highest such ratio since the endpoint became cold.
        is_normal_speed: Whether the newest cold first token was as fast as
            that of a warm endpoint.
        slow_first_tokens: Consecutive first tokens far above the baseline.
        empty_reports: Consecutive load reports without any of the known work.
    """

    __slots__ = (
        "baseline_ratio",
        "boot_id",
        "empty_reports",
        "generation",
        "is_normal_speed",
        "max_cold_ratio",
        "phase",
        "slow_first_tokens",
        "successes",
        "window",
    )

    def __init__(self) -> None:
        self.phase = EndpointPhase.UNKNOWN
        self.boot_id = ""
        self.generation = 0
        self.baseline_ratio = 0.0
        self._reset()

    @property
    def requires_lease(self) -> bool:
        """Whether work may only be granted under an ownership lease."""
        return self.phase in LEASE_REQUIRED_PHASES

    def limits(self, spec: Endpoint) -> LoadLimits:
        """Returns the load limits of the current phase."""
        match self.phase:
            case EndpointPhase.UNKNOWN | EndpointPhase.COLD:
                return LoadLimits(
                    running=spec.cold_max_running,
                    prompt_tokens=spec.cold_max_tokens,
                )
            case EndpointPhase.WARMING:
                share = self.window / max(1, spec.max_running)
                tokens = int(spec.memory_tokens * share)
                return LoadLimits(
                    running=self.window,
                    prompt_tokens=max(spec.cold_max_tokens, tokens),
                )
            case EndpointPhase.WARM:
                return LoadLimits(
                    running=spec.max_running, prompt_tokens=spec.memory_tokens
                )
            case _:
                return LoadLimits(running=0, prompt_tokens=0)

    def record_success(self, spec: Endpoint) -> None:
        """Counts a success and raises the load limits when due."""
        self.successes += 1
        match self.phase:
            case EndpointPhase.COLD if self._has_warmed_up(spec):
                self.phase = EndpointPhase.WARMING
                self.window = spec.cold_max_running + 1
            case EndpointPhase.WARMING:
                self.window += max(1, self.window // WINDOW_GROWTH_DIVISOR)
        if self.phase is EndpointPhase.WARMING and (
            self.window >= spec.max_running
        ):
            self.phase = EndpointPhase.WARM

    def _has_warmed_up(self, spec: Endpoint) -> bool:
        """Returns whether a cold endpoint has succeeded often enough.

        The engine may have reset while cold; this goes undetected, since its
        first tokens were slow already, and the engine then needs all successes
        again. So warm_after successes suffice only with a first token at
        normal speed; otherwise as many more are needed for each of
        MAX_UNDETECTED_RESETS resets.
        """
        if self.successes < spec.warm_after:
            return False
        sufficient_successes = (1 + MAX_UNDETECTED_RESETS) * spec.warm_after
        return self.is_normal_speed or self.successes >= sufficient_successes

    def reduce_window(self, spec: Endpoint) -> None:
        """Halves the window of a warming endpoint."""
        if self.phase is EndpointPhase.WARMING:
            self.window = max(spec.cold_max_running, self.window // 2)

    def reset_to_cold(self, boot_id: str) -> None:
        """Marks the endpoint cold after a detected or presumed restart."""
        self._reset()
        self.boot_id = boot_id
        self.generation += 1
        self.phase = EndpointPhase.COLD

    def mark_down(self) -> None:
        """Marks the endpoint down, as it does not respond."""
        self._reset()
        self.phase = EndpointPhase.DOWN

    def record_first_token(
        self, spec: Endpoint, ratio: float, slow_ratio: float
    ) -> None:
        """Compares a first-token time with the endpoint's baseline.

        Args:
            spec: The endpoint as configured.
            ratio: Ratio of the actual to the expected first-token time.
            slow_ratio: Multiple of the baseline above which a first token is
                slow.
        """
        if self.baseline_ratio and ratio > slow_ratio * self.baseline_ratio:
            self.slow_first_tokens += 1
            self.reduce_window(spec)
            if self.slow_first_tokens >= SLOW_FIRST_TOKENS_BEFORE_COLD:
                self.reset_to_cold(self.boot_id)
            return
        self.slow_first_tokens = 0
        if self.phase is EndpointPhase.COLD:
            self._record_cold_ratio(ratio)
            return
        if not self.baseline_ratio:
            self.baseline_ratio = ratio
        self.baseline_ratio += BASELINE_EWMA_WEIGHT * (
            ratio - self.baseline_ratio
        )

    def _record_cold_ratio(self, ratio: float) -> None:
        self.max_cold_ratio = max(self.max_cold_ratio, ratio)
        baseline = self.baseline_ratio or 1.0
        self.is_normal_speed = (
            ratio <= MAX_NORMAL_RATIO * baseline
            or WARM_SPEEDUP_RATIO * ratio <= self.max_cold_ratio
        )

    def record_empty_report(self) -> None:
        """Records a load report that shows none of the known work."""
        self.empty_reports += 1
        if self.empty_reports >= EMPTY_REPORTS_BEFORE_COLD:
            self.reset_to_cold(self.boot_id)

    def inherit(self, hint: EndpointHint) -> None:
        """Adopts an earlier owner's phase of the same incarnation."""
        if hint.phase not in INHERITABLE_PHASES:
            return
        self.phase = EndpointPhase(hint.phase)
        self.boot_id = hint.boot_id
        self.successes = hint.successes
        self.window = max(1, hint.window)

    def _reset(self) -> None:
        self.successes = 0
        self.window = 0
        self.slow_first_tokens = 0
        self.empty_reports = 0
        self.max_cold_ratio = 0.0
        self.is_normal_speed = True


__all__ = [
    "INHERITABLE_PHASES",
    "UNSCHEDULABLE_PHASES",
    "LEASE_REQUIRED_PHASES",
    "LoadLimits",
    "WarmUpState",
]
