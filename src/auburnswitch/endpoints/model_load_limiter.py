"""Admits model loads from the rate-limited weight store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import aiohttp

from auburnswitch.clock import monotonic_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.settings import EndpointsSettings

MIN_RETRY_DELAY_S: Final = 5.0
CALL_TIMEOUT_S: Final = 2.0


class ModelLoadLimiter:
    """Limits model loads to this daemon's share of the weight store's rate.

    Attributes:
        count_daemons: Returns the number of daemons that share the rate.
        next_load_at: Loop time from which a load may start, in seconds.
    """

    __slots__ = ("count_daemons", "next_load_at", "session", "settings")

    def __init__(
        self,
        *,
        settings: EndpointsSettings,
        session: aiohttp.ClientSession,
        count_daemons: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.session = session
        self.count_daemons = count_daemons
        self.next_load_at = 0.0

    async def may_load(self, model: str, version: str) -> bool:
        """Returns whether a load may start now; if so, delays the next one."""
        if monotonic_s() < self.next_load_at:
            return False
        rate = self.settings.weight_loads_per_second
        interval_s = max(1, self.count_daemons()) / rate
        self.next_load_at = monotonic_s() + interval_s
        if not self.settings.weight_store_url:
            return True
        return await self._request_load(model, version)

    async def _request_load(self, model: str, version: str) -> bool:
        base = self.settings.weight_store_url.rstrip("/")
        url = f"{base}/weights/{model}/{version}"
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self.session.get(url) as response,
            ):
                if response.status == 200:
                    return True
                wait_s = float(response.headers.get("Retry-After", 0) or 0)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            wait_s = 0.0
        self.next_load_at = monotonic_s() + max(wait_s, MIN_RETRY_DELAY_S)
        return False


__all__ = ["ModelLoadLimiter"]
