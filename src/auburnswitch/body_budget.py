"""Bounds the memory of message bodies that are read as a whole."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

FAIR_SHARE: Final = 1 / 16  # of the total; never cut off for other bodies


class BodyTooLargeError(Exception):
    """A body exceeds its bound, or one that is shared with others."""


class BodyReservation:
    """The memory of one body while it is read.

    Attributes:
        budget: The budget that it counts toward.
        size_bytes: Size of the body so far.
    """

    __slots__ = ("budget", "size_bytes")

    def __init__(self, *, budget: BodyBudget) -> None:
        self.budget = budget
        self.size_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Counts a further part of the body.

        Raises:
            BodyTooLargeError: There is no memory for it.
        """
        budget = self.budget
        self.size_bytes += size_bytes
        budget.total_bytes += size_bytes
        if self.size_bytes > budget.max_body_bytes:
            raise BodyTooLargeError(
                f"the body is larger than {budget.max_body_bytes} bytes"
            )
        fair_share_bytes = budget.max_total_bytes * FAIR_SHARE
        if (
            budget.total_bytes > budget.max_total_bytes
            and self.size_bytes > fair_share_bytes
        ):
            raise BodyTooLargeError(
                "the bodies that are being read are larger than"
                f" {budget.max_total_bytes} bytes"
            )


class BodyBudget:
    """Bounds each body and all bodies that are read at the same time.

    Attributes:
        max_body_bytes: Maximum size of a body.
        max_total_bytes: Size of all bodies above which those that are larger
            than their fair share are cut off.
        total_bytes: Size of what has been read of unfinished bodies.
    """

    __slots__ = ("max_body_bytes", "max_total_bytes", "total_bytes")

    def __init__(self, *, max_body_bytes: int, max_total_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self.total_bytes = 0

    @contextlib.contextmanager
    def reserve(self) -> Iterator[BodyReservation]:
        """Counts one body until the end of the context."""
        reservation = BodyReservation(budget=self)
        try:
            yield reservation
        finally:
            self.total_bytes -= reservation.size_bytes


__all__ = ["BodyBudget", "BodyReservation", "BodyTooLargeError"]
