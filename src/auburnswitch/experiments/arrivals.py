"""Seeded arrivals of prompts of very unlike lengths."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from auburnswitch.schema.peers import LengthClass

BYTES_PER_TOKEN: Final = 4


@dataclass(slots=True, kw_only=True)
class LengthShare:
    """One part of the offered requests.

    Attributes:
        length_class: Length class of its prompts.
        share: Share of all requests.
        min_tokens: Shortest prompt, in tokens.
        max_tokens: Longest prompt, in tokens.
    """

    length_class: LengthClass
    share: float
    min_tokens: int
    max_tokens: int

    @property
    def mean_tokens(self) -> float:
        """Mean prompt, in tokens."""
        return (self.min_tokens + self.max_tokens) / 2


PROMPT_LENGTH_MIX: Final = (
    LengthShare(
        length_class=LengthClass.SHORT,
        share=0.96,
        min_tokens=1_000,
        max_tokens=8_000,
    ),
    LengthShare(
        length_class=LengthClass.MEDIUM,
        share=0.02,
        min_tokens=8_001,
        max_tokens=40_000,
    ),
    LengthShare(
        length_class=LengthClass.LONG,
        share=0.02,
        min_tokens=100_001,
        max_tokens=400_000,
    ),
)


@dataclass(slots=True, kw_only=True)
class Arrival:
    """One request that is to be sent.

    Attributes:
        offset_s: When, in seconds from the start.
        length_class: Length class of the prompt.
        tokens: Tokens of the prompt.
        daemon_number: Number of the daemon that the balancer chooses.
        name: Makes the prompt unlike all others.
    """

    offset_s: float
    length_class: LengthClass
    tokens: int
    daemon_number: int
    name: str

    def prompt(self) -> str:
        """Returns a prompt of the wanted length that shares no prefix."""
        return f"{self.name} ".ljust(self.tokens * BYTES_PER_TOKEN, ".")


def generate_arrivals(
    *,
    seed: int,
    load: float,
    capacity_tokens_per_s: float,
    daemons: int,
    duration_s: float,
) -> list[Arrival]:
    """Draws arrivals whose sum of prompt tokens is exactly the load wanted.

    Times are uniform, as those of a Poisson process of a known count are.
    Lengths are one from each of as many equal parts of the range.

    Args:
        seed: Seed of all draws.
        load: Share of the capacity that is offered.
        capacity_tokens_per_s: Prompt tokens that all engines prefill in a
            second.
        daemons: Number of daemons.
        duration_s: Time over which requests arrive, in seconds.

    Returns:
        The arrivals in order of time. Those of one length class do not
        depend on the others.
    """
    mean_tokens = sum(
        part.share * part.mean_tokens for part in PROMPT_LENGTH_MIX
    )
    total = load * capacity_tokens_per_s * duration_s / mean_tokens
    arrivals = []
    for part in PROMPT_LENGTH_MIX:
        count = round(total * part.share)
        arrivals += _draw(part, count, seed, daemons, duration_s)
    return sorted(arrivals, key=lambda arrival: arrival.offset_s)


def _draw(
    part: LengthShare, count: int, seed: int, daemons: int, duration_s: float
) -> list[Arrival]:
    source = random.Random(f"{seed}/{part.length_class.name}")
    width = (part.max_tokens - part.min_tokens) / max(1, count)
    lengths = [
        round(part.min_tokens + (number + source.random()) * width)
        for number in range(count)
    ]
    source.shuffle(lengths)
    return [
        Arrival(
            offset_s=source.uniform(0, duration_s),
            length_class=part.length_class,
            tokens=tokens,
            daemon_number=source.randrange(daemons),
            name=f"{seed}/{part.length_class.name}/{number}",
        )
        for number, tokens in enumerate(lengths)
    ]


__all__ = ["PROMPT_LENGTH_MIX", "Arrival", "LengthShare", "generate_arrivals"]
