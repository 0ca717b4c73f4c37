"""Simulates the cold state, in which an engine tolerates little load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from auburnswitch.standins.engine_job import Job
    from auburnswitch.standins.engine_options import EngineOptions


class ColdState:
    """Tracks whether an engine is cold and checks its load limits.

    Attributes:
        options: Limits of the cold state.
        cold: Whether the engine is cold.
        successes: Number of successful requests since the start or the last
            time the engine became cold.
    """

    __slots__ = ("cold", "options", "successes")

    def __init__(self, *, options: EngineOptions) -> None:
        self.options = options
        self.cold = not options.starts_warm
        self.successes = 0

    @property
    def delay_s(self) -> float:
        """Current delay added to each prefill, in seconds."""
        return self.options.cold_delay_s if self.cold else 0.0

    def turn_cold(self) -> None:
        """Starts the cold state."""
        self.cold = True
        self.successes = 0

    def count_success(self) -> bool:
        """Counts a successful request.

        Returns:
            Whether the request ended the cold state.
        """
        self.successes += 1
        if not self.cold or self.successes < self.options.warm_after:
            return False
        self.cold = False
        return True

    def is_overloaded(self, jobs: Sequence[Job]) -> bool:
        """Returns whether the engine is cold and the jobs exceed its limits."""
        if not self.cold:
            return False
        tokens = sum(job.prompt_tokens for job in jobs)
        return (
            len(jobs) > self.options.cold_max_running
            or tokens > self.options.cold_max_tokens
        )


__all__ = ["ColdState"]
