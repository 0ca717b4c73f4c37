"""Tracks how much of an answer has been delivered."""

from __future__ import annotations


class AnswerProgress:
    """Counts the delivered part of an answer over all attempts.

    Attributes:
        text_parts: Pieces of text delivered so far.
        prior_tokens: Frames delivered in earlier attempts, one token each.
        attempt_frames: Frames accepted in the current attempt.
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
        """Starts counting the frames of a new attempt."""
        self.prior_tokens += self.attempt_frames
        self.attempt_frames = 0


__all__ = ["AnswerProgress"]
