"""Test bench that runs plain routers against stand-ins in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
from types import SimpleNamespace
from typing import Any

from starlette.responses import JSONResponse

from auburnswitch.claims.claim_store import ClaimStore
from auburnswitch.clock import WallClock, monotonic_s
from auburnswitch.endpoints.client import Attempt, EndpointClient
from auburnswitch.endpoints.reservations import HeldReservation
from auburnswitch.http_client import open_client_session
from auburnswitch.http_protocol import CONNECTION_DELIMITED
from auburnswitch.members.member_view import MemberView
from auburnswitch.object_store.client import ObjectStoreClient
from auburnswitch.observe.invariants import Invariants
from auburnswitch.observe.tasks import open_task_set
from auburnswitch.routing.plain import PlainCall, PlainRouter
from auburnswitch.routing.request import RoutedRequest
from auburnswitch.schema.objects import Endpoint, Member
from auburnswitch.schema.peers import LengthClass, RunningWork
from auburnswitch.schema.settings import (
    EndpointsSettings,
    MembersSettings,
    PlatformSettings,
)
from auburnswitch.standins.listener import Listener, open_listener
from auburnswitch.standins.platform import PlatformStandIn, open_platform
from tests.virtual_time import SimulatedConnector


class SingleEndpointPlacer:
    """Places every request on a single endpoint."""

    def __init__(self, spec: Endpoint) -> None:
        state = SimpleNamespace(endpoints={"e": spec})
        self.endpoint_manager = SimpleNamespace(
            state=state,
            invariants=Invariants(strict=True),
            view=MemberView(
                local_member=Member(id="me"), settings=MembersSettings()
            ),
        )
        self.reservations = self
        self.refused = None

    async def place(self, request: RoutedRequest, excluded: set[str]):
        if self.refused is not None:
            return self.refused
        return HeldReservation(
            endpoint="e",
            owner_id="",
            dispatch_deadline=monotonic_s() + 1,
            boot_id="",
            work=RunningWork(endpoint="e", reservation_id=request.id),
        )

    def guard(self, held: HeldReservation, attempt: Attempt) -> Any:
        return lambda: None

    async def release(self, held: HeldReservation, **_: Any) -> None:
        pass


class PatchableClaims(ClaimStore):
    """A claim store without slots, so that tests can replace its methods."""


class NoLimits:
    """Admits every request."""

    def admit(self, request: RoutedRequest) -> None:
        return None

    def finish(self, request: RoutedRequest) -> None:
        pass


class CountingService:
    """Records the requests it runs and can drop connections after a run.

    Attributes:
        runs: Method and path of each run.
        run_ids: Request id of each run.
        drop_next: Number of following runs whose connection is dropped.
        delay_s: Duration of a run, in seconds.
        body: Text of the answer.
        marks_end: Whether the answer has a length.
        listener: Listener of the service, set once it is open.
    """

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.run_ids: list[str] = []
        self.drop_next = 0
        self.delay_s = 0.0
        self.body = "done"
        self.marks_end = True
        self.listener: Listener | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await receive()
        self.runs.append(f"{scope['method']} {scope['path']}")
        headers = dict(scope["headers"])
        self.run_ids.append(headers[b"x-request-id"].decode())
        if self.drop_next:
            self.drop_next -= 1
            await self.listener.abort_request(scope, receive)
            return
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        body = {"answer": self.body, "run": len(self.runs)}
        response = JSONResponse(body, 201)
        if self.marks_end:
            await response(scope, receive, send)
            return
        start = {"type": "http.response.start", "status": 201, "headers": []}
        await send({**start, CONNECTION_DELIMITED: True})
        await send({"type": "http.response.body", "body": response.body})


class PlainBench:
    """A platform, a service and any number of routers under test.

    Attributes:
        platform: The platform stand-in.
        service: The service that the routers call.
        routers: The routers added so far.
        stack: Closes the resources of the routers.
        requests: Number of requests sent so far.
    """

    def __init__(self, platform: PlatformStandIn, service: CountingService):
        self.platform = platform
        self.service = service
        self.routers: list[PlainRouter] = []
        self.stack = contextlib.AsyncExitStack()
        self.requests = 0

    async def add_router(self, **settings: Any) -> PlainRouter:
        session = await self.stack.enter_async_context(
            open_client_session(SimulatedConnector, reuse_connections=False)
        )
        platform = PlatformSettings(url=self.platform.url, **settings)
        member_id = f"entry-{len(self.routers)}.0"
        claims = PatchableClaims(
            store=ObjectStoreClient(settings=platform, session=session),
            settings=platform,
            clock=WallClock(offset_s=1e9),
            member_id=member_id,
            tasks=await self.stack.enter_async_context(open_task_set()),
            seed=len(self.routers) + 1,
        )
        listener = self.service.listener
        spec = Endpoint(service="s", host="127.0.0.1", port=listener.port)
        router = PlainRouter(
            placer=SingleEndpointPlacer(spec),
            client=EndpointClient(
                session=session, settings=EndpointsSettings()
            ),
            claims=claims,
            member_id=member_id,
            invariants=Invariants(strict=True),
            limits=NoLimits(),
        )
        self.routers.append(router)
        return router

    async def run(
        self,
        router: PlainRouter,
        key: str = "k",
        *,
        method: str = "POST",
        path: str = "/book",
        body: bytes = b"{}",
        deadline_s: float = 10,
        idempotent: bool = False,
    ):
        """Runs one request and returns its answer or refusal."""
        self.requests += 1
        request = RoutedRequest(
            id=f"r{self.requests}",
            team="t",
            team_weight=1,
            service="s",
            deadline_at=monotonic_s() + deadline_s,
            prompt_tokens=1,
            answer_tokens=0,
            length_class=LengthClass.SHORT,
            fingerprint=body.hex(),
            path=path,
            idempotent=idempotent,
            max_attempts=3 if idempotent else 1,
        )
        call = PlainCall(
            method=method, path=path, body=body, idempotency_key=key
        )
        return await router.run(request, call)


@contextlib.asynccontextmanager
async def open_bench(routers: int = 1, **settings: Any):
    """Opens a bench with the given number of routers."""
    service = CountingService()
    async with (
        open_platform() as platform,
        open_listener(service, host="127.0.0.1", port=0) as listener,
    ):
        service.listener = listener
        bench = PlainBench(platform, service)
        async with bench.stack:
            for _ in range(routers):
                await bench.add_router(**settings)
            yield bench


__all__ = [
    "CountingService",
    "SingleEndpointPlacer",
    "PlainBench",
    "open_bench",
]
