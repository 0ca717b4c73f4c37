"""Orders to an engine and their fencing numbers."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class OrderKind(enum.StrEnum):
    """What an order changes."""

    LOAD_MODEL = "load_model"
    SET_ROLE = "set_role"


class Order:
    """One order, as received."""

    __slots__ = ("fencing_number", "kind", "name", "version")

    def __init__(
        self, *, kind: OrderKind, name: str, version: str, fencing_number: int
    ) -> None:
        self.kind = kind
        self.name = name
        self.version = version
        self.fencing_number = fencing_number

    def to_json(self) -> dict[str, Any]:
        """Returns the order as JSON types."""
        return {
            "order": self.kind,
            "name": self.name,
            "version": self.version,
            "fencing_number": self.fencing_number,
        }


def parse_order(body: dict[str, Any]) -> Order:
    """Builds an order from its body.

    Raises:
        ValueError: A field is missing or has a wrong type.
    """
    number = body.get("fencing_number")
    name = body.get("name")
    if type(number) is not int or not isinstance(name, str):
        raise ValueError("an order needs a name and a fencing number")
    return Order(
        kind=OrderKind(body.get("kind")),
        name=name,
        version=str(body.get("version", "")),
        fencing_number=number,
    )


class OrderState:
    """What the orders so far have set.

    Attributes:
        model: Model that is loaded.
        version: Its version.
        role: Role of the engine.
        fencing_number: Number of the last order that was taken.
        checks_fencing: Whether lower numbers are refused.
        load_s: Time to load a model.
    """

    __slots__ = (
        "_loading",
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
        self._loading: asyncio.TimerHandle | None = None

    def apply(self, order: Order, loaded: Callable[[], None]) -> bool:
        """Carries out an order unless its number is old.

        Args:
            order: The order.
            loaded: Is called once a model has been loaded.

        Returns:
            Whether the order was taken.
        """
        if self.checks_fencing and order.fencing_number < self.fencing_number:
            return False
        self.fencing_number = order.fencing_number
        match order.kind:
            case OrderKind.SET_ROLE:
                self.role = order.name
            case OrderKind.LOAD_MODEL:
                self._start_load(order, loaded)
        return True

    def cancel_load(self) -> None:
        """Drops a load that is under way, as a crash does."""
        if self._loading is not None:
            self._loading.cancel()
            self._loading = None

    def to_json(self) -> dict[str, Any]:
        """Returns the state as the API shows it."""
        return {
            "model": self.model,
            "version": self.version,
            "role": self.role,
            "fencing_number": self.fencing_number,
        }

    def _start_load(self, order: Order, loaded: Callable[[], None]) -> None:
        self.cancel_load()  # the newer order replaces the older one
        if (order.name, order.version) == (self.model, self.version):
            return
        loop = asyncio.get_running_loop()
        self._loading = loop.call_later(
            self.load_s, self._finish_load, order, loaded
        )

    def _finish_load(self, order: Order, loaded: Callable[[], None]) -> None:
        self._loading = None
        self.model = order.name
        self.version = order.version
        loaded()


__all__ = ["Order", "OrderState", "OrderKind", "parse_order"]
