"""Records the actions of stand-ins in an append-only history."""

from __future__ import annotations

import asyncio
import enum
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator


class HistoryKind(enum.StrEnum):
    """Kind of action that a record describes."""

    REQUEST_STARTED = "request_started"
    FRAMES_SENT = "frames_sent"
    REQUEST_FINISHED = "request_finished"
    REQUEST_CANCELLED = "request_cancelled"
    PLAIN_RUN = "plain_run"
    WRITE_ACCEPTED = "write_accepted"
    ANSWER_LOST = "answer_lost"
    CRASHED = "crashed"
    BOOTED = "booted"
    TURNED_COLD = "turned_cold"
    TURNED_WARM = "turned_warm"
    ORDER_APPLIED = "order_applied"
    ORDER_REFUSED = "order_refused"
    MEMORY_TAKEN = "memory_taken"
    MEMORY_FREED = "memory_freed"
    LOAD_GRANTED = "load_granted"


class HistoryRecord:
    """One action of a stand-in.

    Attributes:
        time_s: Event loop time of the action.
        actor: Name of the stand-in.
        kind: Kind of the action.
        fields: Details by name, as values of JSON types.
    """

    __slots__ = ("actor", "fields", "kind", "time_s")

    def __init__(
        self,
        *,
        time_s: float,
        actor: str,
        kind: HistoryKind,
        fields: dict[str, Any],
    ) -> None:
        self.time_s = time_s
        self.actor = actor
        self.kind = kind
        self.fields = fields

    def to_json_line(self) -> str:
        """Returns the record as one line of JSON."""
        head = {"time_s": self.time_s, "actor": self.actor, "kind": self.kind}
        return json.dumps({**head, **self.fields}, separators=(",", ":"))


class History:
    """Records of any number of stand-ins, in order of addition.

    Attributes:
        records: All records.
        keep_frames: Whether records of kind FRAMES_SENT are kept.
    """

    __slots__ = ("keep_frames", "records")

    def __init__(self, *, keep_frames: bool = True) -> None:
        self.records: list[HistoryRecord] = []
        self.keep_frames = keep_frames

    def add(self, actor: str, kind: HistoryKind, /, **fields: Any) -> None:
        """Appends a record with the current event loop time."""
        if kind is HistoryKind.FRAMES_SENT and not self.keep_frames:
            return
        now_s = asyncio.get_running_loop().time()
        record = HistoryRecord(
            time_s=now_s, actor=actor, kind=kind, fields=fields
        )
        self.records.append(record)

    def select(
        self, *kinds: HistoryKind, actor: str | None = None
    ) -> Iterator[HistoryRecord]:
        """Yields the records of the given kinds, of one actor or of all."""
        for record in self.records:
            if actor is not None and record.actor != actor:
                continue
            if record.kind in kinds:
                yield record

    def dump(self) -> str:
        """Returns all records as JSON lines."""
        return "".join(record.to_json_line() + "\n" for record in self.records)


__all__ = ["History", "HistoryKind", "HistoryRecord"]
