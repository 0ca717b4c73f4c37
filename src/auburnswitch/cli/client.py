"""Calls a daemon's operators' listener over HTTP."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, Final

import aiohttp

from auburnswitch.cli.errors import (
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    CommandError,
)

URL_ENV_VAR: Final = "AUBURNSWITCH_URL"
KEY_FILE_ENV_VAR: Final = "AUBURNSWITCH_KEY_FILE"
DEFAULT_URL: Final = "http://127.0.0.1:8081"
CALL_TIMEOUT_S: Final = 30.0


class OperatorClient:
    """Sends operator calls to one daemon.

    Attributes:
        url: Base URL of the operators' listener.
        key: Operator key.
    """

    __slots__ = ("key", "url")

    def __init__(self, *, url: str = "", key_file: str = "") -> None:
        url = url or os.environ.get(URL_ENV_VAR, DEFAULT_URL)
        key_file = key_file or os.environ.get(KEY_FILE_ENV_VAR, "")
        self.url = url.rstrip("/")
        self.key = read_key(key_file) if key_file else ""

    async def get(self, path: str, **query: str) -> Any:
        """Returns the JSON body of a GET call.

        Raises:
            CommandError: The daemon refused the call or cannot be reached.
        """
        return await self._call("GET", path, params=query)

    async def post(self, path: str, body: Any) -> Any:
        """Returns the JSON body of a POST call.

        Raises:
            CommandError: The daemon refused the call or cannot be reached.
        """
        return await self._call("POST", path, json=body)

    async def _call(
        self, method: str, path: str, **request_options: Any
    ) -> Any:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, self.url + path, headers=headers, **request_options
                ) as response,
            ):
                body = await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            message = f"call to {self.url} failed: {reason}"
            raise CommandError(message, EXIT_UNREACHABLE) from error
        if response.status >= 400:
            raise CommandError(_format_refusal(body), EXIT_REFUSED)
        return body


def read_key(key_file: str) -> str:
    """Returns the key in a file.

    Raises:
        CommandError: The file cannot be read.
    """
    try:
        return Path(key_file).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"cannot read the key file {key_file}: {error}"
        raise CommandError(message, EXIT_USAGE) from error


def _format_refusal(body: Any) -> str:
    try:
        error = body["error"]
        return f"{error['code']} {error['name']}: {error['message']}"
    except (LookupError, TypeError):
        return f"unexpected reply from the daemon: {body!r:.200}"


__all__ = ["KEY_FILE_ENV_VAR", "URL_ENV_VAR", "OperatorClient", "read_key"]
