"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

It can be away for a moment and come back from an older copy, as the users'
fourth letter describes; each answer bears the header Store-Era.
"""

from __future__ import annotations

import asyncio
import copy
import json
import urllib.parse
from typing import TYPE_CHECKING, Any

from wire import Message, encode, read_message

if TYPE_CHECKING:
    from collections.abc import Callable

PAGE_SIZE = 500
# A text that stands for nested lists, which json.dumps can't write.
NESTED = "nested lists"
NESTING_DEPTH = 100_000
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}


class Store:
    """Objects by kind and name, with the history of their changes."""

    def __init__(self, *, note: Callable[[str], None]) -> None:
        self.note = note
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 100
        self.era = 1
        self.away = False
        self.lost_kind = ""
        self.lost = 0
        self.answered = 0
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.address = ("127.0.0.1", 0)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object; a write that changes nothing has no effect."""
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old["Spec"] == spec:
            return self.revision
        self.revision += 1
        created = old["Metadata"]["CreateRev"] if old else self.revision
        objects[name] = {
            "Metadata": {
                "Name": name,
                "Rev": self.revision,
                "CreateRev": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": copy.deepcopy(spec),
            "Status": None,
        }
        self._record(kind, objects[name], deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        old = self.objects.get(kind, {}).pop(name, None)
        if old is not None:
            self.revision += 1
            self._record(kind, old, deleted=True)

    def copy_state(self) -> tuple[Any, ...]:
        """Returns a copy from which the store can come back."""
        return copy.deepcopy((self.objects, self.revision, self.history))

    def leave(self) -> None:
        """Answers 503 from now on, waiting watches too."""
        self.away = True
        self._notify()

    def come_back(self, state: tuple[Any, ...] | None = None) -> None:
        """Answers again, from a copy if one is given."""
        if state is not None:
            self.objects, self.revision, self.history = copy.deepcopy(state)
            self.era += 1
        self.away = False

    def _record(self, kind: str, item: Any, *, deleted: bool) -> None:
        event = (self.revision, kind, copy.deepcopy(item), deleted)
        self.history.append(event)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                status, data = await self._answer(request)
                if self._loses(request, data):
                    await asyncio.Event().wait()  # nothing further comes
                self.answered += 1
                if status == 410 or (status == 200 and data.get("events")):
                    self.note(f"store answers {status}: {request.target}")
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                start = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
                writer.write(encode(start, headers, _dump(data)))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _loses(self, request: Message, data: Any) -> bool:
        """Returns whether the answer of a watch with events is lost."""
        if not self.lost_kind or "Watch=" not in request.target:
            return False
        if f"/{self.lost_kind}?" not in request.target or not data["events"]:
            return False
        self.lost += 1
        self.note(f"store loses its answer: {request.target}")
        return True

    async def _answer(self, request: Message) -> tuple[int, Any]:
        await asyncio.sleep(0.004)
        if self.away:
            return 503, {}
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.removeprefix("/v1/objects/").split("/")
        kind, name = parts[0], "/".join(parts[1:])
        if request.method != "GET":
            return self._write(request, kind, name)
        if name:
            found = self.objects.get(kind, {}).get(name)
            return (200, found) if found else (404, {})
        if "Watch" in query:
            wait_s = float(query.get("WaitMs", 0)) / 1000
            return await self._watch(kind, int(query["Watch"]), wait_s)
        return self._list(kind, query.get("AfterRev", ""))

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        found = sorted(self.objects.get(kind, {}).items())
        items = [item for name, item in found if name > after]
        return 200, {
            "Items": items[:PAGE_SIZE],
            "HasMore": len(items) > PAGE_SIZE,
            "AsOf": self.revision,
        }

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        era = self.era
        while True:
            if self.away:
                return 503, {}
            if since > self.revision or era != self.era:
                return 410, {}
            events = [
                {"Object": item, "Deleted": deleted}
                for revision, event_kind, item, deleted in self.history
                if event_kind == kind and revision > since
            ]
            if events or loop.time() >= ends_at:
                return 200, {"events": events, "AsOf": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()
            except TimeoutError:
                pass

    def _write(self, request: Message, kind: str, name: str) -> tuple[int, Any]:
        data = json.loads(request.body) if request.body else {}
        meta = data.get("Metadata") or {}
        if request.method == "POST":
            name = meta["Name"]
            old = self.objects.get(kind, {}).get(name)
            if old is not None:
                return 409, old
            self.put(kind, name, data.get("Spec"))
            return 201, self.objects[kind][name]
        old = self.objects.get(kind, {}).get(name)
        if old is None:
            return 404, {}
        if meta.get("Rev") not in (None, 0, old["Metadata"]["Rev"]):
            return 409, old
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        self.put(kind, name, data.get("Spec"))
        return 200, self.objects[kind][name]


def _dump(data: Any) -> bytes:
    lists = "[" * NESTING_DEPTH + "]" * NESTING_DEPTH
    return json.dumps(data).replace(json.dumps(NESTED), lists).encode()


__all__ = ["NESTED", "Store"]
