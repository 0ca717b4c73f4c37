"""Serves HTTP routes that set switches and return the history."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Protocol

from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

    from auburnswitch.standins.history import History


class Controllable(Protocol):
    """A stand-in whose switches can be set by name."""

    history: History

    def apply_control(self, switches: dict[str, Any]) -> None:
        """Sets switches by name; raises ValueError for an unknown one."""


def set_switches(
    target: object, switches: dict[str, Any], allowed: frozenset[str]
) -> None:
    """Sets attributes of a stand-in after validating names and types.

    Args:
        target: The stand-in.
        switches: New values by attribute name.
        allowed: Attributes that may be set.

    Raises:
        ValueError: A name is not allowed or a value has the wrong type.
    """
    for name, value in switches.items():
        if name not in allowed:
            raise ValueError(f"unknown switch: {name}")
        current = getattr(target, name)
        if isinstance(current, bool) != isinstance(value, bool):
            raise ValueError(f"wrong type of switch: {name}")
        if not isinstance(value, bool | int | float):
            raise ValueError(f"wrong type of switch: {name}")
    for name, value in switches.items():
        setattr(target, name, value)


def control_routes(target: Controllable) -> list[Route]:
    """Returns the routes that set switches and read the history."""

    async def post_control(request: Request) -> Response:
        try:
            switches = json.loads(await request.body())
            if not isinstance(switches, dict):
                raise ValueError("body must be an object")
            target.apply_control(switches)
        except (ValueError, TypeError, KeyError) as error:
            return JSONResponse({"error": repr(error)}, 400)
        return JSONResponse({})

    async def get_history(request: Request) -> Response:
        return PlainTextResponse(
            target.history.dump(), media_type="application/jsonl"
        )

    return [
        Route("/control", post_control, methods=["POST"]),
        Route("/control/history", get_history, methods=["GET"]),
    ]


__all__ = ["Controllable", "control_routes", "set_switches"]
