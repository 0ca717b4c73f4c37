"""Provides the ASGI applications for readiness checks and metrics."""

from __future__ import annotations

import asyncio
import importlib
from typing import TYPE_CHECKING, Final

from auburnswitch.platform.protocol import READINESS_PATH

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.types import Receive, Scope, Send

    from auburnswitch.entry.entry_daemon import EntryDaemon
    from auburnswitch.observe.entry_metrics import EntryMetrics

METRICS_PATH: Final = "/metrics"
METRICS_MODULE: Final = "auburnswitch.observe.entry_metrics"
OK: Final = 200
NOT_FOUND: Final = 404
UNAVAILABLE: Final = 503


class ReadinessApp:
    """Answers readiness checks.

    Attributes:
        is_ready: Returns whether the daemon accepts new connections.
    """

    __slots__ = ("is_ready",)

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one readiness check."""
        is_readiness_request = (
            scope["type"] == "http" and scope["path"] == READINESS_PATH
        )
        status = (
            (OK if self.is_ready() else UNAVAILABLE)
            if is_readiness_request
            else NOT_FOUND
        )
        await _send_response(send, status, b"")


class MetricsApp:
    """Serves the metrics of a daemon.

    The metrics library is imported at the first request.
    """

    __slots__ = ("daemon", "metrics")

    def __init__(self, *, daemon: EntryDaemon) -> None:
        self.daemon = daemon
        self.metrics: EntryMetrics | None = None

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        if scope["type"] != "http" or scope["path"] != METRICS_PATH:
            await _send_response(send, NOT_FOUND, b"")
            return
        metrics = self.metrics or await self._make_metrics()
        await _send_response(send, OK, metrics.export())

    async def _make_metrics(self) -> EntryMetrics:
        # In a thread, as callers' requests would wait for the import.
        module = await asyncio.to_thread(
            importlib.import_module, METRICS_MODULE
        )
        if self.metrics is None:
            self.metrics = module.EntryMetrics(
                statistics=self.daemon.statistics, gauges=self.daemon.gauges()
            )
        return self.metrics


async def _send_response(send: Send, status: int, body: bytes) -> None:
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
    ]
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": body})


__all__ = ["MetricsApp", "ReadinessApp"]
