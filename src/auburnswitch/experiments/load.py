"""Generates a bounded load of mixed prompt lengths and reports outcomes."""

from __future__ import annotations

import asyncio
import collections
import random
import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import aiohttp

from auburnswitch.clock import monotonic_s
from auburnswitch.experiments.caller import CallOutcome, stream_completion
from auburnswitch.experiments.entry_caller import StreamRequest, stream_events

if TYPE_CHECKING:
    from collections.abc import Coroutine

MAX_REQUESTS: Final = 100_000
MAX_SECONDS: Final = 3600.0
BYTES_PER_TOKEN: Final = 4
WORDS: Final = ("slot", "cut", "visa", "page", "week", "note", "form", "desk")


@dataclass(slots=True, kw_only=True)
class LengthShare:
    """A range of prompt lengths, in tokens, and its share of the requests."""

    name: str
    min_tokens: int
    max_tokens: int
    share: float


DEFAULT_MIX: Final = (
    LengthShare(name="short", min_tokens=1_000, max_tokens=8_000, share=0.9),
    LengthShare(
        name="medium", min_tokens=8_001, max_tokens=100_000, share=0.08
    ),
    LengthShare(
        name="long", min_tokens=100_001, max_tokens=400_000, share=0.02
    ),
)


@dataclass(slots=True, kw_only=True)
class ModelTarget:
    """A model that is called through the daemons' own API.

    Attributes:
        model: Name of the model.
    """

    model: str


@dataclass(slots=True, kw_only=True)
class RouteTarget:
    """A route of the operators' configuration.

    Attributes:
        host: Host name of the route.
        path: Request path, which begins with the route's path prefix.
    """

    host: str
    path: str


@dataclass(slots=True, kw_only=True)
class LoadOptions:
    """Options of a load run.

    Attributes:
        urls: Base URLs of daemons, used round robin.
        caller_key: Key of the team that sends the requests.
        target: Model or route that receives the requests.
        requests: Number of requests.
        rate_per_s: Mean arrival rate, in requests per second.
        answer_tokens: Length of each answer, in tokens.
        seed: Seed of prompt lengths and arrival times.
        mix: Prompt lengths and their shares.
    """

    urls: list[str]
    caller_key: str
    target: ModelTarget | RouteTarget
    requests: int = 100
    rate_per_s: float = 10.0
    answer_tokens: int = 16
    seed: int = 1
    mix: tuple[LengthShare, ...] = DEFAULT_MIX


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Outcomes of a load run.

    Attributes:
        outcomes: Outcomes by name of the length share.
        took_s: Duration of the run, in seconds.
    """

    outcomes: dict[str, list[CallOutcome]] = field(default_factory=dict)
    took_s: float = 0.0

    def to_json(self) -> dict[str, Any]:
        """Returns result counts and time to first token by prompt length."""
        lengths = {
            name: _summarize(outcomes)
            for name, outcomes in self.outcomes.items()
        }
        return {"took_s": round(self.took_s, 3), "lengths": lengths}


async def run_load(options: LoadOptions) -> LoadReport:
    """Sends the requests of a load run and waits for all responses.

    Raises:
        ValueError: The run exceeds `MAX_REQUESTS` or `MAX_SECONDS`, or has no
            requests.
    """
    if not 1 <= options.requests <= MAX_REQUESTS:
        raise ValueError(f"requests must be from 1 to {MAX_REQUESTS}")
    duration_s = options.requests / max(options.rate_per_s, 1e-9)
    if duration_s > MAX_SECONDS:
        raise ValueError(f"the run would take more than {MAX_SECONDS:.0f} s")
    rng = random.Random(options.seed)
    report = LoadReport()
    started_at = monotonic_s()
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        asyncio.TaskGroup() as group,
    ):
        for number in range(options.requests):
            length_share = _choose_length_share(options.mix, rng)
            tokens = rng.randint(
                length_share.min_tokens, length_share.max_tokens
            )
            url = options.urls[number % len(options.urls)]
            call = _call(session, url, options, tokens, rng)
            group.create_task(_record_outcome(call, length_share, report))
            await asyncio.sleep(rng.expovariate(options.rate_per_s))
    report.took_s = monotonic_s() - started_at
    return report


def _call(
    session: aiohttp.ClientSession,
    url: str,
    options: LoadOptions,
    tokens: int,
    rng: random.Random,
) -> Coroutine[Any, Any, CallOutcome]:
    match options.target:
        case ModelTarget(model=model):
            body = {
                "model": model,
                "prompt": _make_prompt(tokens, rng),
                "max_tokens": options.answer_tokens,
            }
            headers = {"Authorization": f"Bearer {options.caller_key}"}
            return stream_completion(session, url, body, headers)
        case RouteTarget(host=host, path=path):
            request = StreamRequest(
                host=host,
                path=path,
                prompt_tokens=tokens,
                answer_tokens=options.answer_tokens,
                caller_key=options.caller_key,
            )
            return stream_events(session, url, request)


async def _record_outcome(
    call: Coroutine[Any, Any, CallOutcome],
    length_share: LengthShare,
    report: LoadReport,
) -> None:
    report.outcomes.setdefault(length_share.name, []).append(await call)


def _choose_length_share(
    mix: tuple[LengthShare, ...], rng: random.Random
) -> LengthShare:
    return rng.choices(mix, [length_share.share for length_share in mix])[0]


def _make_prompt(tokens: int, rng: random.Random) -> str:
    # no two prompts share a prefix that an engine could have cached
    unique_prefix = f"{rng.getrandbits(64):016x} "
    size_bytes = tokens * BYTES_PER_TOKEN - len(unique_prefix)
    word = rng.choice(WORDS) + " "
    return unique_prefix + (word * (size_bytes // len(word) + 1))[:size_bytes]


def _summarize(outcomes: list[CallOutcome]) -> dict[str, Any]:
    counts = collections.Counter(outcome.result for outcome in outcomes)
    times_s = sorted(
        outcome.first_token_s
        for outcome in outcomes
        if outcome.first_token_s is not None
    )
    return {
        "requests": len(outcomes),
        "results": dict(sorted(counts.items())),
        "first_token_s": {
            "p50": _quantile(times_s, 50),
            "p95": _quantile(times_s, 95),
            "p99": _quantile(times_s, 99),
        },
    }


def _quantile(times_s: list[float], percent: int) -> float | None:
    if not times_s:
        return None
    if len(times_s) == 1:
        return round(times_s[0], 4)
    percentiles_s = statistics.quantiles(times_s, n=100, method="inclusive")
    return round(percentiles_s[percent - 1], 4)


__all__ = [
    "DEFAULT_MIX",
    "LengthShare",
    "LoadOptions",
    "LoadReport",
    "ModelTarget",
    "RouteTarget",
    "run_load",
]
