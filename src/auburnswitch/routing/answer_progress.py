"""What has been delivered of one answer."""

from __future__ import annotations


class AnswerProgress:
    """Counts what the caller has of an answer over all attempts.

    Attributes:
        text_parts: Pieces of text delivered.
        prior_tokens: Frames delivered in earlier attempts, one token each.
        attempt_frames: Frames of the present attempt that were taken.
    """

    __slots__ = ("attempt_frames", "prior_tokens", "text_parts")

    def __init__(self) -> None:
        self.text_parts: list[str] = []
        self.prior_tokens = 0
        self.attempt_frames = 0

    @property
    def delivered_tokens(self) -> int:
        """Tokens delivered over all attempts."""
        return self.prior_tokens + self.attempt_frames

    def start_attempt(self) -> None:
        """Begins to count the frames of a new attempt."""
        self.prior_tokens += self.attempt_frames
        self.attempt_frames = 0


__all__ = ["AnswerProgress"]
