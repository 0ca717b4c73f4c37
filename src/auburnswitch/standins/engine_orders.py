"""Parses and applies orders to an engine, protected by fencing numbers."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class OrderKind(enum.StrEnum):
    """Kind of change that an order requests."""

    LOAD_MODEL = "load_model"
    SET_ROLE = "set_role"


class Order:
    """An order as received from a daemon."""

    __slots__ = ("fencing_number", "kind", "name", "version")

    def __init__(
        self, *, kind: OrderKind, name: str, version: str, fencing_number: int
    ) -> None:
        self.kind = kind
        self.name = name
        self.version = version
        self.fencing_number = fencing_number

    def to_json(self) -> dict[str, Any]:
        """Returns the order as values of JSON types."""
        return {
            "order": self.kind,
            "name": self.name,
            "version": self.version,
            "fencing_number": self.fencing_number,
        }


def parse_order(body: dict[str, Any]) -> Order:
    """Parses an order from a request body.

    Raises:
        ValueError: A field is missing or has the wrong type.
    """
    fencing_number = body.get("fencing_number")
    name = body.get("name")
    if type(fencing_number) is not int or not isinstance(name, str):
        raise ValueError(
            "an order must have a name and an integer fencing number"
        )
    return Order(
        kind=OrderKind(body.get("kind")),
        name=name,
        version=str(body.get("version", "")),
        fencing_number=fencing_number,
    )


class OrderState:
    """State of the engine that orders set.

    Attributes:
        model: Name of the loaded model.
        version: Version of the loaded model.
        role: Role of the engine.
        fencing_number: Fencing number of the last accepted order.
        checks_fencing: Whether orders with a lower number are rejected.
        load_s: Time to load a model.
    """

    __slots__ = (
        "_load_timer",
        "checks_fencing",
        "fencing_number",
        "load_s",
        "model",
        "role",
        "version",
    )

    def __init__(
        self, *, model: str, checks_fencing: bool, load_s: float
    ) -> None:
        self.model = model
        self.version = ""
        self.role = ""
        self.fencing_number = 0
        self.checks_fencing = checks_fencing
        self.load_s = load_s
        self._load_timer: asyncio.TimerHandle | None = None

    def apply(self, order: Order, on_loaded: Callable[[], None]) -> bool:
        """Applies an order unless its fencing number is stale.

        Args:
            order: The order.
            on_loaded: Called once a model has been loaded.

        Returns:
            Whether the order was accepted.
        """
        if self.checks_fencing and order.fencing_number < self.fencing_number:
            return False
        self.fencing_number = order.fencing_number
        match order.kind:
            case OrderKind.SET_ROLE:
                self.role = order.name
            case OrderKind.LOAD_MODEL:
                self._start_load(order, on_loaded)
        return True

    def cancel_load(self) -> None:
        """Cancels a model load in progress, as a crash does."""
        if self._load_timer is not None:
            self._load_timer.cancel()
            self._load_timer = None

    def to_json(self) -> dict[str, Any]:
        """Returns the state in the API's JSON form."""
        return {
            "model": self.model,
            "version": self.version,
            "role": self.role,
            "fencing_number": self.fencing_number,
        }

    def _start_load(self, order: Order, on_loaded: Callable[[], None]) -> None:
        self.cancel_load()  # the newer order supersedes the older one
        if (order.name, order.version) == (self.model, self.version):
            return
        loop = asyncio.get_running_loop()
        self._load_timer = loop.call_later(
            self.load_s, self._finish_load, order, on_loaded
        )

    def _finish_load(self, order: Order, on_loaded: Callable[[], None]) -> None:
        self._load_timer = None
        self.model = order.name
        self.version = order.version
        on_loaded()


__all__ = ["Order", "OrderState", "OrderKind", "parse_order"]
