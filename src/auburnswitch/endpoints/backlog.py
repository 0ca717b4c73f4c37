"""Estimates how far an endpoint has come with the prompts granted on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from auburnswitch.endpoints.reservation import Reservation
    from auburnswitch.schema.peers import LengthClass

CHUNK_DELAY_S: Final = 0.05  # until a prompt in prefill gives way
MIN_REMAINING_S: Final = 0.02


@dataclass(slots=True, kw_only=True)
class PrefillItem:
    """A prompt that the endpoint has yet to prefill.

    Attributes:
        length: Its length class, which is its priority at the endpoint.
        order: Its place among prompts of the class.
        remaining_tokens: Tokens that are believed to be left.
    """

    length: LengthClass
    order: int
    remaining_tokens: float


class PrefillBacklog:
    """A model of an endpoint that prefills one prompt after the other.

    The order is that of priority, then of grants. A first token corrects the
    model: it ends the prompt, whatever is believed to be left of it.

    Attributes:
        items: Prompts by reservation id.
        modelled_at: Loop time up to which the model has run, in seconds.
        granted: Prompts seen so far.
    """

    __slots__ = ("granted", "items", "modelled_at")

    def __init__(self) -> None:
        self.items: dict[str, PrefillItem] = {}
        self.modelled_at = monotonic_s()
        self.granted = 0

    def update(
        self, reservations: Mapping[str, Reservation], rate: float
    ) -> None:
        """Runs the model up to now.

        Args:
            reservations: The reservations on the endpoint, by id.
            rate: Prompt tokens that it prefills in a second.
        """
        for reservation in reservations.values():
            if reservation.id in self.items or not reservation.prefill_tokens:
                continue
            self._advance(reservation.granted_at, rate)
            self.granted += 1
            remaining_tokens = float(reservation.prefill_tokens)
            if self.must_wait_for_chunk(reservation.length_class):
                remaining_tokens += CHUNK_DELAY_S * rate
            self.items[reservation.id] = PrefillItem(
                length=reservation.length_class,
                order=self.granted,
                remaining_tokens=remaining_tokens,
            )
        self._advance(monotonic_s(), rate)
        for held_id in list(self.items):
            known = reservations.get(held_id)
            if known is None or not known.prefill_tokens:
                del self.items[held_id]

    def wait_s(self, length: LengthClass, rate: float) -> float:
        """Returns the time that prompts before a new one take, in seconds.

        A prompt without its first token is never believed to be done.
        """
        return sum(
            max(i.remaining_tokens / rate, MIN_REMAINING_S)
            for i in self.items.values()
            if i.length <= length
        )

    def must_wait_for_chunk(self, length: LengthClass) -> bool:
        """Tells whether a less urgent prompt must give way to a new one."""
        items = self.items.values()
        if any(item.length <= length for item in items):
            return False  # one of them is in prefill, or goes first
        return any(item.remaining_tokens for item in items)

    def _advance(self, until: float, rate: float) -> None:
        tokens = max(0.0, until - self.modelled_at) * rate
        self.modelled_at = max(self.modelled_at, until)
        ordered = sorted(self.items.values(), key=lambda i: (i.length, i.order))
        for item in ordered:
            done = min(tokens, item.remaining_tokens)
            item.remaining_tokens -= done
            tokens -= done


__all__ = ["PrefillBacklog", "PrefillItem"]
