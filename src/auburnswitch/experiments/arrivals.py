"""Generates seeded arrivals of prompts that differ widely in length."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

from auburnswitch.schema.peers import LengthClass

BYTES_PER_TOKEN: Final = 4


@dataclass(slots=True, kw_only=True)
class LengthShare:
    """A prompt length class and its share of the offered requests.

    Attributes:
        length_class: Length class of the prompts.
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
        """Mean prompt length, in tokens."""
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
    """A request to be sent at a given time.

    Attributes:
        offset_s: Send time, in seconds from the start.
        length_class: Length class of the prompt.
        tokens: Prompt length, in tokens.
        daemon_number: Number of the daemon that the load balancer chooses.
        name: Unique prefix of the prompt.
    """

    offset_s: float
    length_class: LengthClass
    tokens: int
    daemon_number: int
    name: str

    def prompt(self) -> str:
        """Returns a prompt of `tokens` tokens with a unique prefix."""
        return f"{self.name} ".ljust(self.tokens * BYTES_PER_TOKEN, ".")


def generate_arrivals(
    *,
    seed: int,
    load: float,
    capacity_tokens_per_s: float,
    daemons: int,
    duration_s: float,
) -> list[Arrival]:
    """Generates arrivals whose prompt tokens add up to the given load.

    Arrival times are uniform, as in a Poisson process with a fixed number of
    arrivals. Prompt lengths are stratified: the range of a length class is
    divided into as many equal intervals as it has requests, and one length is
    drawn from each.

    Args:
        seed: Seed of all random draws.
        load: Offered load as a share of the prefill capacity.
        capacity_tokens_per_s: Prefill capacity of all engines together, in
            tokens per second.
        daemons: Number of daemons.
        duration_s: Time over which requests arrive, in seconds.

    Returns:
        The arrivals, ordered by time. Each length class has its own random
        generator, so its arrivals do not depend on the other classes.
    """
    mean_tokens = sum(
        length_share.share * length_share.mean_tokens
        for length_share in PROMPT_LENGTH_MIX
    )
    total_requests = load * capacity_tokens_per_s * duration_s / mean_tokens
    arrivals = []
    for length_share in PROMPT_LENGTH_MIX:
        count = round(total_requests * length_share.share)
        arrivals += _draw_arrivals(
            length_share, count, seed, daemons, duration_s
        )
    return sorted(arrivals, key=lambda arrival: arrival.offset_s)


def _draw_arrivals(
    length_share: LengthShare,
    count: int,
    seed: int,
    daemons: int,
    duration_s: float,
) -> list[Arrival]:
    rng = random.Random(f"{seed}/{length_share.length_class.name}")
    interval_tokens = (length_share.max_tokens - length_share.min_tokens) / max(
        1, count
    )
    lengths = [
        round(
            length_share.min_tokens + (number + rng.random()) * interval_tokens
        )
        for number in range(count)
    ]
    rng.shuffle(lengths)
    return [
        Arrival(
            offset_s=rng.uniform(0, duration_s),
            length_class=length_share.length_class,
            tokens=tokens,
            daemon_number=rng.randrange(daemons),
            name=f"{seed}/{length_share.length_class.name}/{number}",
        )
        for number, tokens in enumerate(lengths)
    ]


__all__ = ["PROMPT_LENGTH_MIX", "Arrival", "LengthShare", "generate_arrivals"]
