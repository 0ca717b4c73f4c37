"""Makes runs of code that draws random ids or reads the clock repeatable."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from typing import TYPE_CHECKING, Final
from unittest import mock

if TYPE_CHECKING:
    from collections.abc import Iterator

EPOCH_S: Final = 1_800_000_000.0


@contextlib.contextmanager
def seeded_ids_and_clock(seed: int) -> Iterator[None]:
    """Replaces random ids by seeded ones and the wall clock by virtual time."""
    rng = random.Random(seed)

    def token_hex(size: int = 32) -> str:
        return rng.randbytes(size).hex()

    with (
        mock.patch.object(secrets, "token_hex", token_hex),
        mock.patch.object(time, "time", _wall_clock_s),
    ):
        yield


def _wall_clock_s() -> float:
    try:
        return EPOCH_S + asyncio.get_running_loop().time()
    except RuntimeError:
        return EPOCH_S  # no loop is running


__all__ = ["seeded_ids_and_clock"]
