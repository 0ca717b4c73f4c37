"""What a randomised run does to a fleet, step by step."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


@dataclass(slots=True, kw_only=True, frozen=True)
class Wait:
    """Lets time pass."""

    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Complete:
    """Sends a completion through a daemon."""

    daemon: int
    prompt_tokens: int
    answer_tokens: int
    deadline_s: float = 120.0
    crashing: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Book:
    """Sends a booking through a daemon, perhaps with a key used before."""

    daemon: int
    key: int


@dataclass(slots=True, kw_only=True, frozen=True)
class KillDaemon:
    """Kills a daemon and starts it again after a time."""

    daemon: int
    down_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class FreezeDaemon:
    """Freezes a daemon for a time."""

    daemon: int
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReplaceDaemon:
    """Stops a daemon gracefully and starts it again."""

    daemon: int


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashEngine:
    """Crashes an engine, which restarts by itself."""

    engine: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdEngine:
    """Turns an engine cold without an announcement."""

    engine: int


@dataclass(slots=True, kw_only=True, frozen=True)
class FreezeEngine:
    """Freezes an engine for a time."""

    engine: int
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class DropConnections:
    """Breaks all connections of an engine, whose streams go on."""

    engine: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PlatformOutage:
    """Takes the platform's store down for a time."""

    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SlowPlatform:
    """Delays the platform's answers for a time."""

    delay_s: float
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class LoseAnswers:
    """Lets the next writes take effect without an answer."""

    count: int


@dataclass(slots=True, kw_only=True, frozen=True)
class MoveZone:
    """Takes an availability zone out for a time and brings it back."""

    zone: int
    daemon: int
    out_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RaceTickets:
    """Two operators change one service through two daemons at once."""

    first: int
    second: int


Action = (
    Wait
    | Complete
    | Book
    | KillDaemon
    | FreezeDaemon
    | ReplaceDaemon
    | CrashEngine
    | ColdEngine
    | FreezeEngine
    | DropConnections
    | PlatformOutage
    | SlowPlatform
    | LoseAnswers
    | MoveZone
    | RaceTickets
)

DAEMONS: Final = 3
ENGINES: Final = 4
ZONES: Final = 3
KEYS: Final = 40
LONGEST_PROMPT_TOKENS: Final = 60_000


def draw_action(chance: random.Random) -> Action:
    """Draws an action; most of them send work or let time pass."""
    draw = chance.choices(
        [draw_for for draw_for, _ in _WEIGHTS],
        [weight for _, weight in _WEIGHTS],
    )[0]
    return draw(chance)


def _complete(chance: random.Random) -> Action:
    tokens = int(10 ** chance.uniform(2, 4.78))
    return Complete(
        daemon=chance.randrange(DAEMONS),
        prompt_tokens=min(tokens, LONGEST_PROMPT_TOKENS),
        answer_tokens=chance.randint(1, 80),
        deadline_s=chance.choice((5.0, 30.0, 120.0)),
        crashing=chance.random() < 0.02,
    )


def _book(chance: random.Random) -> Action:
    return Book(daemon=chance.randrange(DAEMONS), key=chance.randrange(KEYS))


def _kill(chance: random.Random) -> Action:
    return KillDaemon(
        daemon=chance.randrange(DAEMONS), down_s=chance.uniform(0.5, 30)
    )


def _freeze(chance: random.Random) -> Action:
    return FreezeDaemon(
        daemon=chance.randrange(DAEMONS), seconds=chance.uniform(0.5, 20)
    )


def _move_zone(chance: random.Random) -> Action:
    return MoveZone(
        zone=chance.randrange(ZONES),
        daemon=chance.randrange(DAEMONS),
        out_s=chance.uniform(5, 60),
    )


def _slow(chance: random.Random) -> Action:
    return SlowPlatform(
        delay_s=chance.uniform(0.1, 3), seconds=chance.uniform(1, 30)
    )


def _race(chance: random.Random) -> Action:
    return RaceTickets(
        first=chance.randrange(DAEMONS), second=chance.randrange(DAEMONS)
    )


def _freeze_engine(chance: random.Random) -> Action:
    return FreezeEngine(
        engine=chance.randrange(ENGINES), seconds=chance.uniform(1, 15)
    )


_WEIGHTS: Final[tuple[tuple[Callable[[random.Random], Action], float], ...]] = (
    (lambda chance: Wait(seconds=chance.expovariate(0.5)), 30),
    (_complete, 40),
    (_book, 15),
    (_kill, 1),
    (_freeze, 1),
    (lambda chance: ReplaceDaemon(daemon=chance.randrange(DAEMONS)), 1),
    (lambda chance: CrashEngine(engine=chance.randrange(ENGINES)), 2),
    (lambda chance: ColdEngine(engine=chance.randrange(ENGINES)), 1),
    (_freeze_engine, 1),
    (lambda chance: DropConnections(engine=chance.randrange(ENGINES)), 2),
    (lambda chance: PlatformOutage(seconds=chance.uniform(1, 60)), 1),
    (_slow, 1),
    (lambda chance: LoseAnswers(count=chance.randint(1, 3)), 2),
    (_move_zone, 1),
    (_race, 1),
)

__all__ = [
    "DAEMONS",
    "ENGINES",
    "Action",
    "Book",
    "ColdEngine",
    "Complete",
    "CrashEngine",
    "DropConnections",
    "FreezeDaemon",
    "FreezeEngine",
    "KillDaemon",
    "LoseAnswers",
    "MoveZone",
    "PlatformOutage",
    "RaceTickets",
    "ReplaceDaemon",
    "SlowPlatform",
    "Wait",
    "draw_action",
]
