"""Simulates the platform's object store with its native HTTP API."""

from __future__ import annotations

import asyncio
import copy
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    _Handler = Callable[[Request], Awaitable[Response]]

_MS_PER_S: Final = 1000.0
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
_UNAVAILABLE: Final = 503
_RAW_MARK: Final = "raw value "


@dataclass(slots=True, kw_only=True, frozen=True)
class RawJson:
    """A value that another writer encoded, whether it can be read or not.

    Attributes:
        data: The encoded value.
    """

    data: bytes


class EscapedJSONResponse(JSONResponse):
    """JSON in ASCII, which can carry text that is not UTF-8."""

    def render(self, content: Any) -> bytes:
        """Returns the encoded content, with raw values as they are."""
        raw_values: list[bytes] = []

        def insert_raw(value: Any) -> str:
            raw_values.append(value.data)
            return f"{_RAW_MARK}{len(raw_values) - 1}"

        encoded = json.dumps(content, default=insert_raw).encode("ascii")
        for number, data in enumerate(raw_values):
            mark = f'"{_RAW_MARK}{number}"'.encode("ascii")
            encoded = encoded.replace(mark, data)
        return encoded


@dataclass(slots=True, kw_only=True)
class _Event:
    revision: int
    kind: str
    stored: dict[str, Any]
    deleted: bool


@dataclass(slots=True, kw_only=True)
class StoreCopy:
    """The state of the store at a moment.

    Attributes:
        objects: Objects by kind and name.
        revision: Revision of the last change.
        history: The changes until then.
    """

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int
    history: list[_Event]


class InstallationStore:
    """Stores objects by kind and name, with a history of their changes.

    Attributes:
        objects: Objects by kind and name.
        revision: Revision of the last change.
        unavailable: Whether all calls are answered 503.
        calls: Number of calls received.
        page_size: Maximum number of objects in one page of a list.
        generation: Number of the store's return from a copy, told in each
            answer; 0 does not tell it.
        lossy_kinds: Kinds whose watches get no answer any more once there is a
            change: the answer is lost, and the channel stays open.
        lost_answers: Number of answers that were lost.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.unavailable = False
        self.calls = 0
        self.page_size = 500
        self.generation = 1
        self.lossy_kinds: set[str] = set()
        self.lost_answers = 0
        self._stopped = asyncio.Event()
        self._history: list[_Event] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object as an operator or an endpoint does.

        Returns:
            The new revision.
        """
        self.revision += 1
        objects = self.objects.setdefault(kind, {})
        created = (
            objects[name]["Metadata"]["CreateRev"] if name in objects else 0
        )
        objects[name] = {
            "Metadata": {
                "Name": name,
                "Rev": self.revision,
                "CreateRev": created or self.revision,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self._record_event(kind, objects[name], deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._record_event(kind, stored, deleted=True)

    def compact_history(self) -> None:
        """Drops the history, so that watches of earlier revisions get 410."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify_watchers()

    def stop(self) -> None:
        """Refuses all calls and ends the watches."""
        self.unavailable = True
        self._stopped.set()
        self._notify_watchers()

    def copy_state(self) -> StoreCopy:
        """Returns a copy from which the store can come back."""
        return StoreCopy(
            objects=copy.deepcopy(self.objects),
            revision=self.revision,
            history=[*self._history],
        )

    def restore(self, state: StoreCopy) -> None:
        """Comes back from a copy, and gives revisions out again.

        Watches of revisions that the copy lacks end; others wait on, on the
        basis of changes that have never been now.
        """
        self.objects = copy.deepcopy(state.objects)
        self.revision = state.revision
        self._history = [*state.history]
        self._compacted_revision = min(self._compacted_revision, self.revision)
        self.generation += 1
        self._notify_watchers()

    def write_again(
        self, kind: str, state: StoreCopy, newest: StoreCopy
    ) -> None:
        """Repeats the changes that a copy lacks, as their writers do.

        Args:
            kind: Kind of the objects.
            state: The copy that the store came back from.
            newest: The state that it had before.
        """
        copied = state.objects.get(kind, {})
        written = newest.objects.get(kind, {})
        for name in copied.keys() | written.keys():
            present = self.objects.get(kind, {}).get(name)
            if present != copied.get(name) or present == written.get(name):
                continue  # written since, or not lost
            if name in written:
                self.put(kind, name, written[name]["Spec"])
            else:
                self.remove(kind, name)

    def make_app(self) -> Starlette:
        """Returns the ASGI application."""
        path = "/v1/objects/{kind}"
        named = path + "/{name}"
        return Starlette(
            routes=[
                Route(path, self._tell(self._list_or_watch), methods=["GET"]),
                Route(path, self._tell(self._create), methods=["POST"]),
                Route(named, self._tell(self._replace), methods=["PUT"]),
                Route(named, self._tell(self._delete), methods=["DELETE"]),
            ]
        )

    def _tell(self, handle: _Handler) -> _Handler:
        """Returns a handler that states the generation in its answers."""

        async def respond(request: Request) -> Response:
            response = await handle(request)
            if self.generation:
                response.headers["Store-Era"] = str(self.generation)
            return response

        return respond

    def _record_event(
        self, kind: str, stored: dict[str, Any], *, deleted: bool
    ) -> None:
        event = _Event(
            revision=self.revision,
            kind=kind,
            stored=copy.deepcopy(stored),
            deleted=deleted,
        )
        self._history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _admit_call(self) -> Response | None:
        self.calls += 1
        return Response(status_code=_UNAVAILABLE) if self.unavailable else None

    async def _list_or_watch(self, request: Request) -> Response:
        if rejection := self._admit_call():
            return rejection
        kind = request.path_params["kind"]
        query = request.query_params
        if "Watch" in query:
            wait_s = float(query.get("WaitMs", 0)) / _MS_PER_S
            return await self._watch(kind, int(query["Watch"]), wait_s)
        after_name = query.get("AfterRev", "")
        found = sorted(self.objects.get(kind, {}).items())
        items = [stored for name, stored in found if name > after_name]
        page = items[: self.page_size]
        return EscapedJSONResponse(
            {
                "Items": page,
                "HasMore": len(page) < len(items),
                "AsOf": self.revision,
            }
        )

    async def _watch(self, kind: str, revision: int, wait_s: float) -> Response:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            if not self._compacted_revision <= revision <= self.revision:
                return Response(status_code=_GONE)
            events = [
                event
                for event in self._history
                if event.kind == kind and event.revision > revision
            ]
            remaining_s = deadline_s - loop.time()
            if events or remaining_s <= 0 or self.unavailable:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue
        if self.unavailable:
            return Response(status_code=_UNAVAILABLE)
        if events and kind in self.lossy_kinds and wait_s > 0:
            self.lost_answers += 1
            await self._stopped.wait()
        changes = [{"Object": e.stored, "Deleted": e.deleted} for e in events]
        return EscapedJSONResponse({"events": changes, "AsOf": self.revision})

    async def _create(self, request: Request) -> Response:
        if rejection := self._admit_call():
            return rejection
        kind = request.path_params["kind"]
        data = await request.json()
        name = data["Metadata"]["Name"]
        if name in self.objects.get(kind, {}):
            return EscapedJSONResponse(self.objects[kind][name], _CONFLICT)
        self.put(kind, name, data["Spec"])
        return EscapedJSONResponse(self.objects[kind][name])

    async def _replace(self, request: Request) -> Response:
        if rejection := self._admit_call():
            return rejection
        kind, name = request.path_params["kind"], request.path_params["name"]
        if name not in self.objects.get(kind, {}):
            return Response(status_code=_NOT_FOUND)
        data = await request.json()
        self.put(kind, name, data["Spec"])
        return EscapedJSONResponse(self.objects[kind][name])

    async def _delete(self, request: Request) -> Response:
        if rejection := self._admit_call():
            return rejection
        self.remove(request.path_params["kind"], request.path_params["name"])
        return Response(status_code=_OK)


__all__ = ["InstallationStore", "RawJson", "StoreCopy"]
