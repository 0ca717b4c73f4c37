"""Estimates the prefill progress of the prompts granted on an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from auburnswitch.endpoints.reservation import Reservation
    from auburnswitch.schema.peers import LengthClass

CHUNK_DELAY_S: Final = 0.05  # a prompt is preempted only between chunks
MIN_REMAINING_S: Final = 0.02


@dataclass(slots=True, kw_only=True)
class PrefillItem:
    """A prompt that the endpoint has not fully prefilled.

    Attributes:
        length: Its length class, which is its priority at the endpoint.
        order: Its grant order among prompts of the same class.
        remaining_tokens: Estimated tokens still to prefill.
    """

    length: LengthClass
    order: int
    remaining_tokens: float


class PrefillBacklog:
    """Models an endpoint that prefills one prompt at a time.

    Prompts are ordered by priority, then by grant. A first token corrects the
    model: it removes the prompt, regardless of the estimated remaining tokens.

    Attributes:
        items: Prompts by reservation id.
        modelled_at: Loop time up to which the model has run, in seconds.
        granted_count: Prompts added so far.
    """

    __slots__ = ("granted_count", "items", "modelled_at")

    def __init__(self) -> None:
        self.items: dict[str, PrefillItem] = {}
        self.modelled_at = monotonic_s()
        self.granted_count = 0

    def update(
        self, reservations: Mapping[str, Reservation], tokens_per_s: float
    ) -> None:
        """Advances the model to the present time.

        Args:
            reservations: The reservations on the endpoint, by id.
            tokens_per_s: Prefill rate of the endpoint.
        """
        for reservation in reservations.values():
            if reservation.id in self.items or not reservation.prefill_tokens:
                continue
            self._advance(reservation.granted_at, tokens_per_s)
            self.granted_count += 1
            remaining_tokens = float(reservation.prefill_tokens)
            if self.must_wait_for_chunk(reservation.length_class):
                remaining_tokens += CHUNK_DELAY_S * tokens_per_s
            self.items[reservation.id] = PrefillItem(
                length=reservation.length_class,
                order=self.granted_count,
                remaining_tokens=remaining_tokens,
            )
        self._advance(monotonic_s(), tokens_per_s)
        for reservation_id in list(self.items):
            current = reservations.get(reservation_id)
            if current is None or not current.prefill_tokens:
                del self.items[reservation_id]

    def wait_s(self, length: LengthClass, tokens_per_s: float) -> float:
        """Returns the prefill time ahead of a new prompt, in seconds.

        A prompt without a first token is unfinished, so it counts as at least
        MIN_REMAINING_S.
        """
        return sum(
            max(i.remaining_tokens / tokens_per_s, MIN_REMAINING_S)
            for i in self.items.values()
            if i.length <= length
        )

    def must_wait_for_chunk(self, length: LengthClass) -> bool:
        """Returns whether a new prompt has to preempt a less urgent one."""
        items = self.items.values()
        if any(item.length <= length for item in items):
            return False  # one of them is in prefill or takes precedence
        return any(item.remaining_tokens for item in items)

    def _advance(self, until: float, tokens_per_s: float) -> None:
        tokens = max(0.0, until - self.modelled_at) * tokens_per_s
        self.modelled_at = max(self.modelled_at, until)
        ordered = sorted(self.items.values(), key=lambda i: (i.length, i.order))
        for item in ordered:
            done = min(tokens, item.remaining_tokens)
            item.remaining_tokens -= done
            tokens -= done


__all__ = ["PrefillBacklog", "PrefillItem"]
