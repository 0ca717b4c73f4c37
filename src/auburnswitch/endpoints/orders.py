"""Makes engines match the model version and the role that are wanted."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointFailureError
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import ServiceKind

if TYPE_CHECKING:
    from auburnswitch.endpoints.client import EndpointClient
    from auburnswitch.endpoints.fencing import FencingNumbers
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.owner import OwnerTable
    from auburnswitch.endpoints.weights import LoadAdmission
    from auburnswitch.observe.tasks import TaskSet

CHECK_INTERVAL_S: Final = 1.0
READ_BACK_INTERVAL_S: Final = 30.0
ORDER_TIMEOUT_S: Final = 60.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Order:
    """One order to an engine."""

    kind: str
    name: str
    version: str = ""

    def to_json(self, fencing_number: int) -> dict[str, Any]:
        """Returns the body of the call."""
        return {
            "kind": self.kind,
            "name": self.name,
            "version": self.version,
            "fencing_number": fencing_number,
        }


@dataclass(slots=True, kw_only=True)
class OrderState:
    """What is known of the orders of one endpoint.

    Attributes:
        matched_at: When the engine was last read and matched, in seconds of
            loop time.
        matched: What it matched.
        sent_at: When each order was sent, in seconds of loop time.
        seen_number: Highest fencing number that the engine told.
    """

    matched_at: float
    matched: tuple[str, ...]
    sent_at: dict[Order, float]
    seen_number: int = 0


class OrderKeeper:
    """Compares engines with what is wanted and orders the difference.

    Attributes:
        owner_table: Ledgers of the owned endpoints.
        states: Orders by endpoint.
        busy: Endpoints that are being compared.
    """

    __slots__ = (
        "admission",
        "busy",
        "client",
        "numbers",
        "owner_table",
        "states",
        "tasks",
    )

    def __init__(
        self,
        *,
        owner_table: OwnerTable,
        client: EndpointClient,
        numbers: FencingNumbers,
        admission: LoadAdmission,
        tasks: TaskSet,
    ) -> None:
        self.owner_table = owner_table
        self.client = client
        self.numbers = numbers
        self.admission = admission
        self.tasks = tasks
        self.states: dict[str, OrderState] = {}
        self.busy: set[str] = set()

    async def run(self) -> None:
        """Compares every owned engine for ever."""
        while True:
            for name, ledger in list(self.owner_table.ledgers.items()):
                if name not in self.busy and self._is_due(ledger):
                    self.busy.add(name)
                    self.tasks.start(self._compare(ledger), f"orders {name}")
            await asyncio.sleep(CHECK_INTERVAL_S)

    def wanted(self, ledger: EndpointLedger) -> list[Order]:
        """Returns the orders that would bring an engine about."""
        spec = ledger.spec
        service = self.owner_table.state.services.get(spec.service)
        if service is None or service.kind != ServiceKind.MODEL:
            return []
        orders = []
        if spec.model_version:
            name = service.model or spec.service
            orders.append(
                Order(kind="load_model", name=name, version=spec.model_version)
            )
        if spec.role:
            orders.append(Order(kind="set_role", name=spec.role))
        return orders

    def _is_due(self, ledger: EndpointLedger) -> bool:
        if not self.wanted(ledger):
            return False
        if not self.owner_table.rights.holds_lease(ledger.name):
            return False
        state = self.states.get(ledger.name)
        if state is None or state.matched != self._match_key(ledger):
            return True
        return monotonic_s() >= state.matched_at + READ_BACK_INTERVAL_S

    def _match_key(self, ledger: EndpointLedger) -> tuple[str, ...]:
        spec = ledger.spec
        return (ledger.boot_id, spec.model_version, spec.role)

    async def _compare(self, ledger: EndpointLedger) -> None:
        state = self.states.setdefault(
            ledger.name, OrderState(matched_at=0.0, matched=(), sent_at={})
        )
        try:
            key = self._match_key(ledger)
            current = await self._read(ledger)
            missing = [o for o in self.wanted(ledger) if not _done(o, current)]
            if not missing:
                state.matched = key
                state.matched_at = monotonic_s()
                state.sent_at.clear()
                return
            state.matched = ()
            for order in missing:
                await self._send(ledger, state, order)
        except (EndpointFailureError, TimeoutError, LookupError, ValueError):
            return  # read and compared again
        finally:
            self.busy.discard(ledger.name)

    async def _read(self, ledger: EndpointLedger) -> dict[str, Any]:
        async with (
            asyncio.timeout(self.client.settings.connect_timeout_s),
            self.client.request(ledger.spec, "GET", "/v1/orders") as response,
        ):
            return await response.json()

    async def _send(
        self, ledger: EndpointLedger, state: OrderState, order: Order
    ) -> None:
        sent_at = state.sent_at.get(order)
        if sent_at is not None and monotonic_s() < sent_at + ORDER_TIMEOUT_S:
            return  # a load takes its time; the next reading shows its end
        if order.kind == "load_model" and not await self.admission.may_load(
            order.name, order.version
        ):
            return
        taken = await self.numbers.next_number(
            ledger.name, above=state.seen_number
        )
        match taken:
            case Result(tag="ok", ok=number):
                await self._post(ledger, state, order, number)
            case _:
                return

    async def _post(
        self,
        ledger: EndpointLedger,
        state: OrderState,
        order: Order,
        number: int,
    ) -> None:
        async with (
            asyncio.timeout(self.client.settings.connect_timeout_s),
            self.client.request(
                ledger.spec,
                "POST",
                "/v1/orders",
                guard=lambda: self._check_rights(ledger),
                json=order.to_json(number),
            ) as response,
        ):
            body = await response.json()
            status = response.status
        if status == 409:
            state.seen_number = int(body["fencing_number"])
            return
        if status != 200:
            return
        state.sent_at[order] = monotonic_s()
        if order.kind == "load_model":
            self.owner_table.note_reloaded(ledger)
        log_event(
            EventId.ORDER_SENT,
            endpoint=ledger.name,
            fencing_number=number,
            **{"kind": order.kind, "name": order.name},
            version=order.version,
        )

    def _check_rights(self, ledger: EndpointLedger) -> None:
        """Checks the rights right before the first byte of an order.

        Strict rights begin only after every earlier owner's have run out, so
        an engine that ignores fencing numbers gets no order of an old owner.

        Raises:
            EndpointFailureError: The rights have run out.
        """
        if not self.owner_table.rights.holds_lease(ledger.name):
            raise EndpointFailureError(
                "the strict rights have run out", sent=False, lost=False
            )


def _done(order: Order, current: dict[str, Any]) -> bool:
    if order.kind == "set_role":
        return current["role"] == order.name
    loaded = (current["model"], current["version"])
    return loaded == (order.name, order.version)


__all__ = ["Order", "OrderKeeper"]
