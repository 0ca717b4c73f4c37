"""Endpoints of one service, their true processes and the marks on them."""

from __future__ import annotations

from auburnswitch.configuration.installation import Installation
from auburnswitch.observe.statistics import EntryStatistics
from auburnswitch.platform.endpoint_notices import EndpointNotice, NoticeSource
from auburnswitch.platform.process_statements import ProcessStatement
from auburnswitch.routing.availability.endpoint_availability import (
    EndpointAvailability,
)
from auburnswitch.schema.installation import EndpointEntry, EndpointList

LEAVING = EndpointNotice(
    leaving=True, retry_after_s=0, source=NoticeSource.REQUEST
)
FIRST_BOOT, SECOND_BOOT, THIRD_BOOT, UNKNOWN_BOOT = 1000, 2000, 3000, 0


def defer(
    seconds: float, source: NoticeSource = NoticeSource.REQUEST
) -> EndpointNotice:
    return EndpointNotice(leaving=False, retry_after_s=seconds, source=source)


class MarkedFleet:
    """The marks under test and what really is at each address.

    Attributes:
        there: The process at each endpoint's address, by endpoint id; None if
            there is none.
        answers: Whether processes answer probes.
        states_boot: Whether they say when they started.
        probe_count: Number of probes.
    """

    def __init__(self, **boots: int) -> None:
        self.installation = Installation()
        self.availability = EndpointAvailability(
            installation=self.installation, statistics=EntryStatistics()
        )
        self.availability.on_probe_needed = self._probe
        self.installation.process_listeners.append(
            self.availability.record_listing
        )
        self.there: dict[str, ProcessStatement | None] = {}
        self.answers = True
        self.states_boot = True
        self.probe_count = 0
        self.list(**boots)
        for name, boot_ms in boots.items():
            self.start(name, boot_ms)

    def start(self, name: str, boot_ms: int) -> None:
        """Starts a process under an id in place of the one that is there."""
        self.there[name] = ProcessStatement(boot_ms=boot_ms, leaving=False)

    def list(self, **boots: int) -> None:
        """Lists the endpoints, by id, with the start that their entry names."""
        entries = [
            EndpointEntry(
                id=name, service_name="desk", ready=True, boot_ms=boot_ms
            )
            for name, boot_ms in boots.items()
        ]
        revision = self.installation.endpoints_revision.revision + 1
        self.installation.adopt_endpoints(
            EndpointList(revision=revision, endpoints=entries), "store"
        )

    def restart(self, **boots: int) -> None:
        """Starts processes, each of which has written its entry."""
        for name, boot_ms in boots.items():
            self.start(name, boot_ms)
        listed = self.installation.endpoints
        self.list(**{n: e.entry.boot_ms for n, e in listed.items()} | boots)

    def entry(self, name: str) -> EndpointEntry:
        return self.installation.endpoints[name].entry

    def note(
        self,
        name: str,
        notice: EndpointNotice,
        entry: EndpointEntry | None = None,
    ) -> None:
        """Lets the process that is there answer a request with a notice."""
        process = self.there[name]
        process.leaving = process.leaving or notice.leaving
        self.note_late(entry or self.entry(name), notice)

    def note_late(self, entry: EndpointEntry, notice: EndpointNotice) -> None:
        """Delivers a notice whose process may be gone."""
        self.availability.record_notice(entry, notice)

    def is_usable(self, name: str) -> bool:
        endpoint = self.installation.endpoints[name]
        return self.availability.is_usable(endpoint)

    def _probe(self, name: str) -> None:
        probe = self.availability.take_probe(name)
        process = self.there.get(name)
        if probe is None:
            return
        self.probe_count += 1
        if not self.answers or process is None:
            return
        answer = ProcessStatement(
            boot_ms=process.boot_ms if self.states_boot else UNKNOWN_BOOT,
            leaving=process.leaving,
            well=process.well,
        )
        self.availability.record_answer(probe, answer)


__all__ = [
    "FIRST_BOOT",
    "LEAVING",
    "SECOND_BOOT",
    "THIRD_BOOT",
    "UNKNOWN_BOOT",
    "MarkedFleet",
    "defer",
]
