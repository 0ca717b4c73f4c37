"""What has been delivered of one answer."""

from __future__ import annotations


class Progress:
    """Counts what the caller has of an answer over all attempts.

    Attributes:
        text: Pieces of text delivered.
        tokens: Frames delivered in earlier attempts, one token each.
        frames: Frames of the present attempt that were taken.
    """

    __slots__ = ("frames", "text", "tokens")

    def __init__(self) -> None:
        self.text: list[str] = []
        self.tokens = 0
        self.frames = 0

    @property
    def delivered_tokens(self) -> int:
        """Tokens delivered over all attempts."""
        return self.tokens + self.frames

    def start_attempt(self) -> None:
        """Begins to count the frames of a new attempt."""
        self.tokens += self.frames
        self.frames = 0


__all__ = ["Progress"]
