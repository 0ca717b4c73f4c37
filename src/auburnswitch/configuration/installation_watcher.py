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
    StoredObject,
    StoreFailure,
)
from auburnswitch.schema.events import EventId
from auburnswitch.schema.gossip import EndpointChanges
from auburnswitch.schema.installation import ClosedZones, EndpointList

if TYPE_CHECKING:
    from auburnswitch.configuration.installation import Installation
    from auburnswitch.platform.store_client import PlatformStoreClient
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

    A watch may wait long without an answer, and its answer may be lost. Other
    channels that work don't show that nothing has changed, so probes ask for
    the store's newest revision: up to date is a watch whose kind is known not
    to have changed until then. A probe that fails ends the watches, so that
    their kinds are listed again.

    Attributes:
        read_at: Loop time as of which all kinds are up to date, in seconds;
            None until every kind has been read.
        reading: Set while this daemon has to read the store.
        failed_at: Loop time since which calls have failed, in seconds; None
            while they succeed.
    """

    __slots__ = (
        "_answered_at",
        "_read_at",
        "_revisions",
        "_verified_at",
        "_verified_revisions",
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
        self._answered_at = -math.inf  # the latest sign of the store
        self._revisions: dict[str, StoreRevision] = {}
        self._watch_timeouts: dict[str, asyncio.Timeout] = {}
        # Revisions until which, and times as of which, watches that wait have
        # missed nothing.
        self._verified_revisions: dict[str, StoreRevision] = {}
        self._verified_at: dict[str, float] = {}
        store.generation_listeners.append(self._on_new_generation)

    @property
    def read_at(self) -> float | None:
        """Loop time as of which all kinds are up to date, None before that."""
        if len(self._read_at) < len(WATCHED_KINDS):
            return None
        return min(map(self._kind_read_at, WATCHED_KINDS))

    def _kind_read_at(self, kind: str) -> float:
        read_at = self._read_at[kind]
        if kind not in self._watch_timeouts:
            return read_at
        return max(read_at, self._verified_at.get(kind, read_at))

    async def probe_store(self) -> None:
        """Checks at intervals that watches miss nothing, until cancelled."""
        while True:
            await self.reading.wait()
            await asyncio.sleep(self.store.settings.probe_interval_s)
            if self._watch_timeouts:  # else the calls in progress show it
                await self._probe()

    async def _probe(self) -> None:
        started_at = monotonic_s()
        newest = await self.store.probe()
        if isinstance(newest, StoreFailure):
            self._end_watches()
            return
        if newest.generation != self.store.generation:
            return  # everything is read again
        self._answered_at = max(self._answered_at, started_at)
        for kind in [*self._watch_timeouts]:
            if await self._verify_watch(kind, newest):
                self._verified_at[kind] = started_at

    async def _verify_watch(self, kind: str, newest: Listing) -> bool:
        """Reads the changes that a watch has not returned.

        Args:
            kind: Kind of the watch.
            newest: The closed zones as of the newest revision.

        Returns:
            Whether the kind is known as of that revision.
        """
        since = self._revisions.get(kind)
        if since is None:
            return False
        verified = max(since, self._verified_revisions.get(kind, since))
        if verified >= _revision_of(newest):
            return True
        changes = await self._read_missed(kind, since, newest)
        if self._revisions.get(kind) != since:
            return False  # the watch has returned meanwhile
        match changes:
            case StoreFailure():
                self._end_watches()
                return False
            case RevisionExpired():
                self._revisions.pop(kind)
                self._end_watch(kind)
                return False
            case Listing(generation=generation):
                if generation != since.generation:
                    return False
        if changes.objects:
            log_event(
                EventId.WATCH_ANSWER_MISSED,
                kind=kind,
                since=since.revision,
                revision=changes.revision,
            )
            self._adopt_changes(kind, changes)
            self._revisions[kind] = _revision_of(changes)
            self._end_watch(kind)  # goes on from there
        self._verified_revisions[kind] = _revision_of(changes)
        return True

    async def _read_missed(
        self, kind: str, since: StoreRevision, newest: Listing
    ) -> Listing | RevisionExpired | StoreFailure:
        """Returns the changes of a kind that are newer than a revision."""
        if kind != protocol.CLOSED_ZONES_KIND:
            return await self.store.watch(kind, since.revision, wait_s=0)
        listed = {o.name for o in newest.objects if not o.deleted}
        known = self.installation.closed_zones
        return Listing(
            revision=newest.revision,
            generation=newest.generation,
            objects=[
                StoredObject(name=zone, body=None, deleted=zone not in listed)
                for zone in sorted(known ^ listed)
            ],
        )

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
        self._verified_revisions.clear()
        self._verified_at.clear()
        self._end_watches()

    def _end_watches(self) -> None:
        for kind in self._watch_timeouts:
            self._end_watch(kind)

    def _end_watch(self, kind: str) -> None:
        timeout = self._watch_timeouts.get(kind)
        if timeout is not None and timeout.when() is None:  # not ending already
            timeout.reschedule(monotonic_s())

    async def _watch(
        self, kind: str, revision: StoreRevision
    ) -> Listing | RevisionExpired | StoreFailure:
        try:
            async with asyncio.timeout(None) as timeout:
                self._watch_timeouts[kind] = timeout
                return await self.store.watch(kind, revision.revision)
        except TimeoutError:
            return StoreFailure(reason="the store does not answer probes")
        finally:
            self._watch_timeouts.pop(kind, None)

    async def watch_kind(self, kind: str) -> None:
        """Lists a kind, then watches it for changes until cancelled.

        While calls fail, only the first kind is retried, at growing intervals,
        unless its watch has not failed.
        """
        retry_interval_s = INITIAL_RETRY_INTERVAL_S
        while True:
            if not self.reading.is_set():
                self._revisions.pop(kind, None)  # may be too old to resume from
                await self.reading.wait()
            elif self._leaves_retry_to_another(kind):
                self._revisions.pop(kind, None)
                await asyncio.sleep(IDLE_INTERVAL_S)
            elif await self._read(kind):
                retry_interval_s = INITIAL_RETRY_INTERVAL_S
            else:
                await asyncio.sleep(retry_interval_s)
                retry_interval_s *= RETRY_BACKOFF_FACTOR
                retry_interval_s = min(retry_interval_s, MAX_RETRY_INTERVAL_S)

    def _leaves_retry_to_another(self, kind: str) -> bool:
        """Returns whether another kind finds out when the store answers."""
        first = WATCHED_KINDS[0]
        return (
            self.failed_at is not None
            and kind != first
            and first not in self._watch_timeouts
        )

    async def _read(self, kind: str) -> bool:
        """Makes one call and adopts its result."""
        revision = self._revisions.get(kind)
        if revision is None:
            result = await self.store.list_kind(kind)
        else:
            result = await self._watch(kind, revision)
        if self._revisions.get(kind) != revision or self._is_outdated(result):
            return True  # what was read meanwhile is newer
        match result:
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
        self, result: Listing | RevisionExpired | StoreFailure
    ) -> bool:
        """Returns whether the store has come back from a copy meanwhile."""
        return (
            isinstance(result, Listing)
            and result.generation != self.store.generation
        )

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
