"""Actions of a randomised run on a fleet, and their random generation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Callable


@dataclass(slots=True, kw_only=True, frozen=True)
class Wait:
    """Waits for `seconds` seconds."""

    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Complete:
    """Sends a completion request through a daemon."""

    daemon: int
    prompt_tokens: int
    answer_tokens: int
    deadline_s: float = 120.0
    crashing: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Book:
    """Sends a booking through a daemon; its idempotency key may be reused."""

    daemon: int
    key: int


@dataclass(slots=True, kw_only=True, frozen=True)
class KillDaemon:
    """Kills a daemon and restarts it after `down_s` seconds."""

    daemon: int
    down_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class FreezeDaemon:
    """Freezes a daemon for `seconds` seconds."""

    daemon: int
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class ReplaceDaemon:
    """Stops a daemon gracefully and restarts it."""

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
    """Freezes an engine for `seconds` seconds."""

    engine: int
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class DropConnections:
    """Breaks all connections of an engine, which continues its streams."""

    engine: int


@dataclass(slots=True, kw_only=True, frozen=True)
class PlatformOutage:
    """Makes the platform's store unavailable for `seconds` seconds."""

    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SlowPlatform:
    """Delays the platform's responses by `delay_s` for `seconds` seconds."""

    delay_s: float
    seconds: float


@dataclass(slots=True, kw_only=True, frozen=True)
class LoseAnswers:
    """Lets the next `count` writes take effect but drops their responses."""

    count: int


@dataclass(slots=True, kw_only=True, frozen=True)
class MoveZone:
    """Takes an availability zone out of service for `out_s` seconds."""

    zone: int
    daemon: int
    out_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class RaceTickets:
    """Applies two tickets for one service through two daemons at once."""

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

DAEMON_COUNT: Final = 3
ENGINE_COUNT: Final = 4
ZONE_COUNT: Final = 3
KEY_COUNT: Final = 40
MAX_PROMPT_TOKENS: Final = 60_000


def draw_action(rng: random.Random) -> Action:
    """Draws a weighted random action; most send requests or wait."""
    draw = rng.choices(
        [draw_kind for draw_kind, _ in _ACTION_WEIGHTS],
        [weight for _, weight in _ACTION_WEIGHTS],
    )[0]
    return draw(rng)


def _draw_complete(rng: random.Random) -> Action:
    tokens = int(10 ** rng.uniform(2, 4.78))
    return Complete(
        daemon=rng.randrange(DAEMON_COUNT),
        prompt_tokens=min(tokens, MAX_PROMPT_TOKENS),
        answer_tokens=rng.randint(1, 80),
        deadline_s=rng.choice((5.0, 30.0, 120.0)),
        crashing=rng.random() < 0.02,
    )


def _draw_book(rng: random.Random) -> Action:
    return Book(
        daemon=rng.randrange(DAEMON_COUNT), key=rng.randrange(KEY_COUNT)
    )


def _draw_kill_daemon(rng: random.Random) -> Action:
    return KillDaemon(
        daemon=rng.randrange(DAEMON_COUNT), down_s=rng.uniform(0.5, 30)
    )


def _draw_freeze_daemon(rng: random.Random) -> Action:
    return FreezeDaemon(
        daemon=rng.randrange(DAEMON_COUNT), seconds=rng.uniform(0.5, 20)
    )


def _draw_move_zone(rng: random.Random) -> Action:
    return MoveZone(
        zone=rng.randrange(ZONE_COUNT),
        daemon=rng.randrange(DAEMON_COUNT),
        out_s=rng.uniform(5, 60),
    )


def _draw_slow_platform(rng: random.Random) -> Action:
    return SlowPlatform(delay_s=rng.uniform(0.1, 3), seconds=rng.uniform(1, 30))


def _draw_race_tickets(rng: random.Random) -> Action:
    return RaceTickets(
        first=rng.randrange(DAEMON_COUNT), second=rng.randrange(DAEMON_COUNT)
    )


def _draw_freeze_engine(rng: random.Random) -> Action:
    return FreezeEngine(
        engine=rng.randrange(ENGINE_COUNT), seconds=rng.uniform(1, 15)
    )


_ACTION_WEIGHTS: Final[
    tuple[tuple[Callable[[random.Random], Action], float], ...]
] = (
    (lambda rng: Wait(seconds=rng.expovariate(0.5)), 30),
    (_draw_complete, 40),
    (_draw_book, 15),
    (_draw_kill_daemon, 1),
    (_draw_freeze_daemon, 1),
    (lambda rng: ReplaceDaemon(daemon=rng.randrange(DAEMON_COUNT)), 1),
    (lambda rng: CrashEngine(engine=rng.randrange(ENGINE_COUNT)), 2),
    (lambda rng: ColdEngine(engine=rng.randrange(ENGINE_COUNT)), 1),
    (_draw_freeze_engine, 1),
    (lambda rng: DropConnections(engine=rng.randrange(ENGINE_COUNT)), 2),
    (lambda rng: PlatformOutage(seconds=rng.uniform(1, 60)), 1),
    (_draw_slow_platform, 1),
    (lambda rng: LoseAnswers(count=rng.randint(1, 3)), 2),
    (_draw_move_zone, 1),
    (_draw_race_tickets, 1),
)

__all__ = [
    "DAEMON_COUNT",
    "ENGINE_COUNT",
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
