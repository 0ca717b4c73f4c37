"""Reconciles engines with their desired model version and role."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from expression import Result

from auburnswitch.clock import monotonic_s
from auburnswitch.endpoints.client import EndpointFailureError
from auburnswitch.http_client import read_json
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.objects import ServiceKind

if TYPE_CHECKING:
    from auburnswitch.endpoints.client import EndpointClient
    from auburnswitch.endpoints.endpoint_manager import EndpointManager
    from auburnswitch.endpoints.fencing import FencingNumberAllocator
    from auburnswitch.endpoints.ledger import EndpointLedger
    from auburnswitch.endpoints.model_load_limiter import ModelLoadLimiter
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
class ReconcileState:
    """Reconciliation state of one endpoint.

    Attributes:
        matched_at: Loop time at which the engine last matched its target, in
            seconds.
        matched_target: Boot id, model version and role that it matched then.
        sent_at: Loop time at which each order was sent, in seconds.
        last_seen_number: Last fencing number that the engine reported when it
            rejected an order, 0 if none.
    """

    matched_at: float
    matched_target: tuple[str, ...]
    sent_at: dict[Order, float]
    last_seen_number: int = 0


class EngineReconciler:
    """Compares engines with their desired state and sends missing orders.

    Attributes:
        endpoint_manager: Ledgers of the owned endpoints.
        states: Reconciliation state by endpoint.
        reconciling: Endpoints whose reconciliation is running.
    """

    __slots__ = (
        "client",
        "endpoint_manager",
        "fencing_numbers",
        "model_load_limiter",
        "reconciling",
        "states",
        "tasks",
    )

    def __init__(
        self,
        *,
        endpoint_manager: EndpointManager,
        client: EndpointClient,
        fencing_numbers: FencingNumberAllocator,
        model_load_limiter: ModelLoadLimiter,
        tasks: TaskSet,
    ) -> None:
        self.endpoint_manager = endpoint_manager
        self.client = client
        self.fencing_numbers = fencing_numbers
        self.model_load_limiter = model_load_limiter
        self.tasks = tasks
        self.states: dict[str, ReconcileState] = {}
        self.reconciling: set[str] = set()

    async def run(self) -> None:
        """Reconciles every owned engine periodically, until cancelled."""
        while True:
            for name, ledger in list(self.endpoint_manager.ledgers.items()):
                if name not in self.reconciling and self._is_due(ledger):
                    self.reconciling.add(name)
                    self.tasks.start(self._reconcile(ledger), f"orders {name}")
            await asyncio.sleep(CHECK_INTERVAL_S)

    def desired_orders(self, ledger: EndpointLedger) -> list[Order]:
        """Returns the orders that establish an engine's desired state."""
        spec = ledger.spec
        service = self.endpoint_manager.state.services.get(spec.service)
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
        if not self.desired_orders(ledger):
            return False
        if not self.endpoint_manager.leases.holds_lease(ledger.name):
            return False
        state = self.states.get(ledger.name)
        if state is None or state.matched_target != self._target(ledger):
            return True
        return monotonic_s() >= state.matched_at + READ_BACK_INTERVAL_S

    def _target(self, ledger: EndpointLedger) -> tuple[str, ...]:
        spec = ledger.spec
        return (ledger.boot_id, spec.model_version, spec.role)

    async def _reconcile(self, ledger: EndpointLedger) -> None:
        state = self.states.setdefault(
            ledger.name,
            ReconcileState(matched_at=0.0, matched_target=(), sent_at={}),
        )
        try:
            target = self._target(ledger)
            current = await self._read(ledger)
            missing = [
                o
                for o in self.desired_orders(ledger)
                if not _is_applied(o, current)
            ]
            if not missing:
                state.matched_target = target
                state.matched_at = monotonic_s()
                state.sent_at.clear()
                return
            state.matched_target = ()
            for order in missing:
                await self._send(ledger, state, order)
        except (EndpointFailureError, TimeoutError, LookupError, ValueError):
            return  # retried at the next check
        finally:
            self.reconciling.discard(ledger.name)

    async def _read(self, ledger: EndpointLedger) -> dict[str, Any]:
        async with (
            asyncio.timeout(self.client.settings.connect_timeout_s),
            self.client.request(ledger.spec, "GET", "/v1/orders") as response,
        ):
            return await read_json(response)

    async def _send(
        self, ledger: EndpointLedger, state: ReconcileState, order: Order
    ) -> None:
        sent_at = state.sent_at.get(order)
        if sent_at is not None and monotonic_s() < sent_at + ORDER_TIMEOUT_S:
            return  # a model load takes time; a later read shows its end
        if (
            order.kind == "load_model"
            and not await self.model_load_limiter.may_load(
                order.name, order.version
            )
        ):
            return
        allocation = await self.fencing_numbers.allocate(
            ledger.name, last_seen=state.last_seen_number
        )
        match allocation:
            case Result(tag="ok", ok=number):
                await self._post(ledger, state, order, number)
            case _:
                return

    async def _post(
        self,
        ledger: EndpointLedger,
        state: ReconcileState,
        order: Order,
        number: int,
    ) -> None:
        async with (
            asyncio.timeout(self.client.settings.connect_timeout_s),
            self.client.request(
                ledger.spec,
                "POST",
                "/v1/orders",
                guard=lambda: self._check_lease(ledger),
                json=order.to_json(number),
            ) as response,
        ):
            body = await read_json(response)
            status = response.status
        if status == 409:
            state.last_seen_number = int(body["fencing_number"])
            return
        if status != 200:
            return
        state.sent_at[order] = monotonic_s()
        if order.kind == "load_model":
            self.endpoint_manager.on_model_load_ordered(ledger)
        log_event(
            EventId.ORDER_SENT,
            endpoint=ledger.name,
            fencing_number=number,
            **{"kind": order.kind, "name": order.name},
            version=order.version,
        )

    def _check_lease(self, ledger: EndpointLedger) -> None:
        """Checks the ownership lease right before the first byte of an order.

        A lease begins only after the leases of all earlier owners have
        expired, so even an engine that ignores fencing numbers receives no
        order from an earlier owner.

        Raises:
            EndpointFailureError: The lease has expired.
        """
        if not self.endpoint_manager.leases.holds_lease(ledger.name):
            raise EndpointFailureError(
                "the ownership lease has expired", sent=False, lost=False
            )


def _is_applied(order: Order, current: dict[str, Any]) -> bool:
    if order.kind == "set_role":
        return current["role"] == order.name
    loaded = (current["model"], current["version"])
    return loaded == (order.name, order.version)


__all__ = ["Order", "EngineReconciler"]
