"""Watches the store's objects that describe the installation."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.installation import STORE_SOURCE
from auburnswitch.configuration.store_revision import StoreRevision
from auburnswitch.observe.logs import log_event
from auburnswitch.platform import protocol
from auburnswitch.platform.config_decoder import decode_config, decode_endpoint
from auburnswitch.platform.fields import FieldError
from auburnswitch.platform.store_client import (
    Listing,
    RevisionExpired,
    StoreFailure,
)
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import EndpointChanges
from auburnswitch.schema.installation import ClosedZones, EndpointList

if TYPE_CHECKING:
    from auburnswitch.configuration.installation import Installation
    from auburnswitch.platform.store_client import (
        PlatformStoreClient,
        StoredObject,
    )
    from auburnswitch.schema.entry import BoundSettings
    from auburnswitch.schema.installation import EndpointEntry

INITIAL_RETRY_INTERVAL_S: Final = 0.3
MAX_RETRY_INTERVAL_S: Final = 1.0
RETRY_BACKOFF_FACTOR: Final = 1.6
IDLE_INTERVAL_S: Final = 0.1
# Collects the endpoint changes that follow one, such as those of a release.
ENDPOINT_BATCH_DELAY_S: Final = 0.15
# An entry lapses after three heartbeats, one of which may be due as the store
# fails. What is missing after a shorter failure has been removed.
MIN_LAPSE_HEARTBEATS: Final = 2
_MS_PER_S: Final = 1000.0
WATCHED_KINDS: Final = (
    protocol.CONFIG_KIND,
    protocol.CLOSED_ZONES_KIND,
    protocol.ENDPOINTS_KIND,
)


class InstallationWatcher:
    """Keeps the installation up to date with the store.

    A watch may wait long without an answer. Meanwhile probes show that the
    store is reachable; a probe that fails ends the watches, so that their kinds
    are listed again.

    Attributes:
        read_at: Loop time as of which all kinds are up to date, in seconds;
            None until every kind has been read.
        reading: Set while this daemon has to read the store.
        failed_at: Loop time since which calls have failed, in seconds; None
            while they succeed.
    """

    __slots__ = (
        "_answered_at",
        "_probed_at",
        "_read_at",
        "_revisions",
        "_watch_timeouts",
        "bounds",
        "failed_at",
        "installation",
        "reading",
        "store",
    )

    def __init__(
        self,
        *,
        store: PlatformStoreClient,
        installation: Installation,
        bounds: BoundSettings,
        reading: asyncio.Event,
    ) -> None:
        self.store = store
        self.installation = installation
        self.bounds = bounds
        self.reading = reading
        self.failed_at: float | None = None
        self._read_at: dict[str, float] = {}
        self._probed_at: float | None = None
        self._answered_at = -math.inf  # the latest sign of the store
        self._revisions: dict[str, StoreRevision] = {}
        self._watch_timeouts: dict[str, asyncio.Timeout] = {}
        store.generation_listeners.append(self._on_new_generation)

    @property
    def read_at(self) -> float | None:
        """Loop time as of which all kinds are up to date, None before that."""
        if len(self._read_at) < len(WATCHED_KINDS):
            return None
        return min(map(self._kind_read_at, WATCHED_KINDS))

    def _kind_read_at(self, kind: str) -> float:
        read_at = self._read_at[kind]
        if self._probed_at is None or kind not in self._watch_timeouts:
            return read_at
        return max(read_at, self._probed_at)

    async def probe_store(self) -> None:
        """Checks at intervals that the store answers, until cancelled."""
        while True:
            await self.reading.wait()
            await asyncio.sleep(self.store.settings.probe_interval_s)
            if not self._watch_timeouts:
                continue  # the calls in progress show it
            started_at = monotonic_s()
            failure = await self.store.probe()
            if failure is None:
                self._probed_at = started_at
                self._answered_at = max(self._answered_at, started_at)
            else:
                self._end_watches()

    def _on_new_generation(self, previous: int, source: str) -> None:
        """Reads everything again, as revisions mean other states now."""
        if previous:
            log_event(
                EventId.STORE_RESTORED,
                previous=previous,
                generation=self.store.generation,
                source=source,
                dropped=sorted(self._revisions),
            )
        self._revisions.clear()
        self._read_at.clear()
        self._probed_at = None
        self._end_watches()

    def _end_watches(self) -> None:
        for timeout in self._watch_timeouts.values():
            if timeout.when() is None:  # not ending already
                timeout.reschedule(monotonic_s())

    async def _watch(
        self, kind: str, revision: StoreRevision
    ) -> Listing | RevisionExpired | StoreFailure:
        try:
            async with asyncio.timeout(None) as timeout:
                self._watch_timeouts[kind] = timeout
                return await self.store.watch(kind, revision.revision)
        except TimeoutError:
            if revision.generation < self.store.generation:
                return RevisionExpired()
            return StoreFailure(reason="the store does not answer probes")
        finally:
            self._watch_timeouts.pop(kind, None)

    async def watch_kind(self, kind: str) -> None:
        """Lists a kind, then watches it for changes until cancelled.

        While calls fail, only the first kind is retried, at growing intervals.
        """
        retry_interval_s = INITIAL_RETRY_INTERVAL_S
        while True:
            if not self.reading.is_set():
                self._revisions.pop(kind, None)  # may be too old to resume from
                await self.reading.wait()
            elif self.failed_at is not None and kind != WATCHED_KINDS[0]:
                self._revisions.pop(kind, None)
                await asyncio.sleep(IDLE_INTERVAL_S)
            elif await self._read(kind):
                retry_interval_s = INITIAL_RETRY_INTERVAL_S
            else:
                await asyncio.sleep(retry_interval_s)
                retry_interval_s *= RETRY_BACKOFF_FACTOR
                retry_interval_s = min(retry_interval_s, MAX_RETRY_INTERVAL_S)

    async def _read(self, kind: str) -> bool:
        """Makes one call and adopts its result."""
        revision = self._revisions.get(kind)
        if revision is None:
            result = await self.store.list_kind(kind)
        else:
            result = await self._watch(kind, revision)
        match result:
            case _ if self._is_outdated(revision, result):
                self._revisions.pop(kind, None)
                return True
            case StoreFailure(reason=reason):
                self._record_failure(kind, reason)
                self._revisions.pop(kind, None)
                return False
            case RevisionExpired():
                self._revisions.pop(kind, None)
                return True
            case Listing():
                self._record_success(kind)
        if revision is None:
            self._adopt_list(kind, result)
        else:
            self._adopt_changes(kind, result)
        self._revisions[kind] = _revision_of(result)
        if result.objects and kind == protocol.ENDPOINTS_KIND:
            await asyncio.sleep(ENDPOINT_BATCH_DELAY_S)
        return True

    def _is_outdated(
        self,
        since: StoreRevision | None,
        result: Listing | RevisionExpired | StoreFailure,
    ) -> bool:
        """Returns whether the store has come back from a copy meanwhile.

        It may answer a watch of a revision that means another state now.
        """
        generation = self.store.generation
        if since is not None and since.generation != generation:
            return True
        return isinstance(result, Listing) and result.generation != generation

    def _record_failure(self, kind: str, reason: str) -> None:
        if self.failed_at is None:
            self.failed_at = monotonic_s()
            log_event(EventId.STORE_UNAVAILABLE, kind=kind, reason=reason)

    def _record_success(self, kind: str) -> None:
        now = monotonic_s()
        unknown_s, self._answered_at = now - self._answered_at, now
        self._read_at[kind] = now
        if self.failed_at is None:
            return
        log_event(EventId.STORE_RECOVERED, after_s=now - self.failed_at)
        self.failed_at = None
        heartbeat_s = self.bounds.endpoint_heartbeat_ms / _MS_PER_S
        if unknown_s >= heartbeat_s * MIN_LAPSE_HEARTBEATS:
            self.installation.lapsed_grace_until = (
                now + self.bounds.lapsed_entry_grace_s
            )

    def _adopt_list(self, kind: str, listing: Listing) -> None:
        match kind:
            case protocol.CONFIG_KIND:
                self._adopt_config(listing.objects)
            case protocol.CLOSED_ZONES_KIND:
                zones = [o.name for o in listing.objects if not o.deleted]
                self._adopt_zones(listing, zones)
            case protocol.ENDPOINTS_KIND:
                entries, _ = _partition_entries(listing.objects)
                endpoint_list = EndpointList(
                    revision=listing.revision,
                    endpoints=entries,
                    generation=listing.generation,
                )
                self.installation.adopt_endpoints(endpoint_list, STORE_SOURCE)

    def _adopt_changes(self, kind: str, changes: Listing) -> None:
        match kind:
            case protocol.CONFIG_KIND:
                self._adopt_config(changes.objects)
            case protocol.CLOSED_ZONES_KIND:
                zones = set(self.installation.closed_zones)
                for changed in changes.objects:
                    if changed.deleted:
                        zones.discard(changed.name)
                    else:
                        zones.add(changed.name)
                self._adopt_zones(changes, sorted(zones))
            case protocol.ENDPOINTS_KIND:
                entries, removed = _partition_entries(changes.objects)
                endpoint_changes = EndpointChanges(
                    since_revision=self._revisions[kind].revision,
                    revision=changes.revision,
                    changed=entries,
                    removed=removed,
                    generation=changes.generation,
                )
                self.installation.adopt_endpoint_changes(
                    endpoint_changes, STORE_SOURCE
                )

    def _adopt_zones(self, listing: Listing, zones: list[str]) -> None:
        closed = ClosedZones(
            revision=listing.revision,
            zones=zones,
            generation=listing.generation,
        )
        self.installation.adopt_closed_zones(closed, STORE_SOURCE)

    def _adopt_config(self, objects: list[StoredObject]) -> None:
        for stored in objects:
            if stored.name != protocol.CONFIG_NAME or stored.deleted:
                continue
            try:
                config = decode_config(stored.body)
            except FieldError as error:
                log_event(EventId.CONFIG_REJECTED, reason=str(error))
                continue
            self.installation.adopt_config(config, STORE_SOURCE)


def _revision_of(listing: Listing) -> StoreRevision:
    return StoreRevision(
        generation=listing.generation, revision=listing.revision
    )


def _partition_entries(
    objects: list[StoredObject],
) -> tuple[list[EndpointEntry], list[str]]:
    """Returns the usable entries and the names of deleted or invalid ones."""
    entries, removed = [], []
    for stored in objects:
        if stored.deleted:
            removed.append(stored.name)
            continue
        try:
            entries.append(decode_endpoint(stored.name, stored.body))
        except FieldError as error:
            log_event(
                EventId.ENDPOINT_ENTRY_REJECTED,
                endpoint=stored.name,
                reason=str(error),
            )
            removed.append(stored.name)
    return entries, removed


__all__ = ["WATCHED_KINDS", "InstallationWatcher"]
