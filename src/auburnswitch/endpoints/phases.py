"""How much load an endpoint can bear after a start."""

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
STRICT_PHASES: Final = (EndpointPhase.UNKNOWN, EndpointPhase.COLD)
INHERITABLE_PHASES: Final = (EndpointPhase.WARMING, EndpointPhase.WARM)
WINDOW_GROWTH_DIVISOR: Final = 4
BASELINE_EWMA_WEIGHT: Final = 0.1
SLOW_ANSWERS_BEFORE_COLD: Final = 2
EMPTY_REPORTS_BEFORE_COLD: Final = 2
MAX_NORMAL_RATIO: Final = 1.5  # first-token time over the usual one
WARM_SPEEDUP_RATIO: Final = 2.0  # of an engine that ends its cold phase
MAX_UNDETECTED_RESETS: Final = (
    1  # that an engine may have made while it was cold
)


@dataclass(slots=True, kw_only=True)
class LoadLimits:
    """The most work that an endpoint may have at one time.

    Attributes:
        running: Requests.
        prompt_tokens: Tokens of their prompts.
    """

    running: int
    prompt_tokens: int


class WarmUpState:
    """The phase of one endpoint and the load that goes with it.

    Attributes:
        phase: What load the endpoint can bear.
        boot_id: The endpoint's present start.
        generation: How often it has turned cold.
        successes: Requests that succeeded since it was cold.
        window: Requests that may run at one time while load rises.
        baseline_ratio: Usual first-token time over the expected one, when not
            cold.
        max_cold_ratio: Most of that ratio since the endpoint was cold.
        is_normal_speed: The newest answer was as quick as one of a warm
            endpoint.
        slow_answers: First tokens in a row far above the record.
        empty_reports: Load reports in a row that show none of the known work.
    """

    __slots__ = (
        "baseline_ratio",
        "boot_id",
        "empty_reports",
        "generation",
        "is_normal_speed",
        "max_cold_ratio",
        "phase",
        "slow_answers",
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
    def is_strict(self) -> bool:
        """Whether only the strict owner may grant work."""
        return self.phase in STRICT_PHASES

    def limits(self, spec: Endpoint) -> LoadLimits:
        """Returns the most work in the present phase."""
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

    def note_success(self, spec: Endpoint) -> None:
        """Counts a success, after which the endpoint may bear more."""
        self.successes += 1
        match self.phase:
            case EndpointPhase.COLD if self._seems_warm(spec):
                self.phase = EndpointPhase.WARMING
                self.window = spec.cold_max_running + 1
            case EndpointPhase.WARMING:
                self.window += max(1, self.window // WINDOW_GROWTH_DIVISOR)
        if self.phase is EndpointPhase.WARMING and (
            self.window >= spec.max_running
        ):
            self.phase = EndpointPhase.WARM

    def _seems_warm(self, spec: Endpoint) -> bool:
        """Whether a cold endpoint has served enough.

        It may have turned cold again unseen, as its answers were slow before,
        and then counts from there. An answer at normal speed shows that it is
        warm, and so do answers enough for a further turn.
        """
        if self.successes < spec.warm_after:
            return False
        most = (1 + MAX_UNDETECTED_RESETS) * spec.warm_after
        return self.is_normal_speed or self.successes >= most

    def reduce_window(self, spec: Endpoint) -> None:
        """Halves the load that a warming endpoint may have."""
        if self.phase is EndpointPhase.WARMING:
            self.window = max(spec.cold_max_running, self.window // 2)

    def note_cold(self, boot_id: str) -> None:
        """Takes note of a new start, or of the signs of one."""
        self._reset()
        self.boot_id = boot_id
        self.generation += 1
        self.phase = EndpointPhase.COLD

    def note_down(self) -> None:
        """Takes note that the endpoint does not answer."""
        self._reset()
        self.phase = EndpointPhase.DOWN

    def note_first_token(
        self, spec: Endpoint, ratio: float, slow_ratio: float
    ) -> None:
        """Compares a first-token time with the endpoint's own record.

        Args:
            spec: The endpoint as configured.
            ratio: First-token time over the expected one.
            slow_ratio: Multiple of the record that counts as trouble.
        """
        if self.baseline_ratio and ratio > slow_ratio * self.baseline_ratio:
            self.slow_answers += 1
            self.reduce_window(spec)
            if self.slow_answers >= SLOW_ANSWERS_BEFORE_COLD:
                self.note_cold(self.boot_id)
            return
        self.slow_answers = 0
        if self.phase is EndpointPhase.COLD:
            self._note_cold_speed(ratio)
            return
        if not self.baseline_ratio:
            self.baseline_ratio = ratio
        self.baseline_ratio += BASELINE_EWMA_WEIGHT * (
            ratio - self.baseline_ratio
        )

    def _note_cold_speed(self, ratio: float) -> None:
        self.max_cold_ratio = max(self.max_cold_ratio, ratio)
        usual = self.baseline_ratio or 1.0
        self.is_normal_speed = (
            ratio <= MAX_NORMAL_RATIO * usual
            or WARM_SPEEDUP_RATIO * ratio <= self.max_cold_ratio
        )

    def note_empty_report(self) -> None:
        """Takes note of a load report that shows none of the known work."""
        self.empty_reports += 1
        if self.empty_reports >= EMPTY_REPORTS_BEFORE_COLD:
            self.note_cold(self.boot_id)

    def inherit(self, hint: EndpointHint) -> None:
        """Takes over what an earlier owner knew of the present start."""
        if hint.phase not in INHERITABLE_PHASES:
            return
        self.phase = EndpointPhase(hint.phase)
        self.boot_id = hint.boot_id
        self.successes = hint.successes
        self.window = max(1, hint.window)

    def _reset(self) -> None:
        self.successes = 0
        self.window = 0
        self.slow_answers = 0
        self.empty_reports = 0
        self.max_cold_ratio = 0.0
        self.is_normal_speed = True


__all__ = [
    "INHERITABLE_PHASES",
    "UNSCHEDULABLE_PHASES",
    "STRICT_PHASES",
    "LoadLimits",
    "WarmUpState",
]
