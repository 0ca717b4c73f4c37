"""Holds the state of the installation: its configuration and endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.config_diff import (
    apply_config_changes,
    diff_configs,
)
from auburnswitch.configuration.restored_state import RestoredState
from auburnswitch.configuration.route_table import RouteTable
from auburnswitch.configuration.store_revision import (
    NO_REVISION,
    StoreRevision,
)
from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
from auburnswitch.observe.logs import log_event
from auburnswitch.schema.events import EventId
from auburnswitch.schema.installation import (
    ClosedZones,
    EndpointList,
    InstallationConfig,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from auburnswitch.schema.gossip import ConfigChanges, EndpointChanges
    from auburnswitch.schema.installation import EndpointEntry

STORE_SOURCE: Final = "store"


class Installation:
    """Newest known state of the installation; older versions are ignored.

    Attributes:
        table: Routes of the configuration in force, None before the first one.
        endpoints: Endpoints by id.
        endpoints_revision: Store revision of the endpoints.
        closed_zones: Availability zones that get no new requests.
        closed_zones_revision: Store revision of the closed zones.
        restored: What is kept although the store has forgotten it.
        lapsed_grace_until: Loop time until which endpoints without an entry
            are kept, in seconds, as entries may come back after a store
            outage.
        listeners: Called after each change that was read from the store, with
            the differences if they are known.
        process_listeners: Called with an endpoint's id when its entry appears
            or names another process, whoever told it.
    """

    __slots__ = (
        "_by_service",
        "_grouped_revision",
        "closed_zones",
        "closed_zones_revision",
        "endpoints",
        "endpoints_revision",
        "lapsed_grace_until",
        "listeners",
        "process_listeners",
        "restored",
        "table",
    )

    def __init__(self, *, restored: RestoredState | None = None) -> None:
        self.restored = restored or RestoredState()
        self.table: RouteTable | None = None
        self.endpoints: dict[str, TrackedEndpoint] = {}
        self.endpoints_revision = NO_REVISION
        self._by_service: dict[str, list[TrackedEndpoint]] = {}
        self._grouped_revision = NO_REVISION
        self.closed_zones: frozenset[str] = frozenset()
        self.closed_zones_revision = NO_REVISION
        self.lapsed_grace_until = 0.0
        self.listeners: list[
            Callable[[EndpointChanges | ConfigChanges | None], None]
        ] = []
        self.process_listeners: list[Callable[[str], None]] = []

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return self.table.config.version if self.table else 0

    @property
    def complete(self) -> bool:
        """Whether requests can be routed."""
        return self.table is not None and self.endpoints_revision.revision > 0

    def adopt_config(self, config: InstallationConfig, source: str) -> bool:
        """Adopts a configuration if it is newer."""
        if config.version <= self.config_version:
            return False
        log_fields = {"previous": self.config_version, "source": source}
        old = self.table.config if self.table else None
        self.table = RouteTable(config=config)
        log_event(EventId.CONFIG_ADOPTED, version=config.version, **log_fields)
        if source == STORE_SOURCE:
            changes = diff_configs(old, config) if old else None
            self._notify(source, changes)
        return True

    def adopt_config_changes(self, changes: ConfigChanges, source: str) -> bool:
        """Adopts a newer version, given as changes to the version in force."""
        current = self.table.config if self.table else None
        if current is None or current.version != changes.since_version:
            return False
        return self.adopt_config(apply_config_changes(current, changes), source)

    def adopt_endpoints(self, endpoint_list: EndpointList, source: str) -> bool:
        """Adopts a whole list of endpoints if it is newer."""
        previous = self.endpoints_revision
        revision = StoreRevision(
            generation=endpoint_list.generation, revision=endpoint_list.revision
        )
        if revision <= previous:
            return False
        self.endpoints_revision = revision
        is_copy = revision.is_restored_from(previous)
        present = {entry.id for entry in endpoint_list.endpoints}
        if not self.endpoints:
            self._adopt_first(endpoint_list, source)
        for entry in endpoint_list.endpoints:
            if is_copy:
                self._adopt_copied_entry(entry, source)
            else:
                self._adopt_entry(entry, source)
        # Those that a copy lacks are written again if they are sound.
        keep_until = self.restored.retained_until if is_copy else 0.0
        for endpoint_id in self.endpoints.keys() - present:
            due_at = self.endpoints[endpoint_id].removal_due_at or keep_until
            self._remove(endpoint_id, source, keep_until=due_at)
        self._notify(source)
        return True

    def adopt_endpoint_changes(
        self, changes: EndpointChanges, source: str
    ) -> bool:
        """Adopts changes since the current revision or an earlier one."""
        since, newest = (
            StoreRevision(generation=changes.generation, revision=revision)
            for revision in (changes.since_revision, changes.revision)
        )
        if not since <= self.endpoints_revision < newest:
            return False
        self.endpoints_revision = newest
        for entry in changes.changed:
            self._adopt_entry(entry, source)
            self.endpoints[entry.id].withheld_until = 0.0
        for endpoint_id in changes.removed:
            self._remove(endpoint_id, source)
        if changes.changed or changes.removed:
            self._notify(source, changes)
        return True

    def adopt_closed_zones(self, closed: ClosedZones, source: str) -> bool:
        """Adopts the closed zones if they are newer."""
        previous = self.closed_zones_revision
        revision = StoreRevision(
            generation=closed.generation, revision=closed.revision
        )
        if revision <= previous:
            return False
        self.closed_zones_revision = revision
        zones = frozenset(closed.zones)
        if revision.is_restored_from(previous):
            self.restored.retain_zones(self.closed_zones)
        self.restored.release_zones(zones)
        if zones != self.closed_zones:
            self.closed_zones = zones
            log_event(
                EventId.CLOSED_ZONES_CHANGED,
                zones=sorted(zones),
                revision=closed.revision,
                generation=closed.generation,
                source=source,
            )
            self._notify(source)
        return True

    def list_endpoints(self) -> EndpointList:
        """Returns the present entries as a list that a peer can adopt."""
        now = monotonic_s()
        entries = []
        for endpoint in self.endpoints.values():
            if endpoint.removal_due_at is None:
                endpoint.entry.cold_s = max(0.0, endpoint.cold_until - now)
                entries.append(endpoint.entry)
        return EndpointList(
            revision=self.endpoints_revision.revision,
            endpoints=entries,
            generation=self.endpoints_revision.generation,
        )

    def list_closed_zones(self) -> ClosedZones:
        """Returns the closed zones in a form that a peer can adopt."""
        return ClosedZones(
            revision=self.closed_zones_revision.revision,
            zones=sorted(self.closed_zones),
            generation=self.closed_zones_revision.generation,
        )

    def is_closed(self, zone: str) -> bool:
        """Returns whether a zone gets no new requests now."""
        return zone in self.closed_zones or self.restored.is_zone_retained(zone)

    def endpoints_of(self, service: str) -> list[TrackedEndpoint]:
        """Returns all endpoints of a service, open or not."""
        if self._grouped_revision != self.endpoints_revision:
            self._grouped_revision = self.endpoints_revision
            self._by_service = {}
            for endpoint in self.endpoints.values():
                name = endpoint.entry.service_name
                self._by_service.setdefault(name, []).append(endpoint)
        return self._by_service.get(service, [])

    def releases_of(self, service: str) -> set[str]:
        """Returns the releases of a service's endpoints."""
        return {e.entry.release for e in self.endpoints_of(service)}

    def is_open(self, endpoint: TrackedEndpoint) -> bool:
        """Returns whether an endpoint may get new requests now."""
        return (
            self.endpoints.get(endpoint.entry.id) is endpoint
            and endpoint.accepts_requests
            and not self.is_closed(endpoint.entry.zone)
        )

    def _adopt_first(self, endpoint_list: EndpointList, source: str) -> None:
        """Adopts the first list with a single log line for all endpoints."""
        for entry in endpoint_list.endpoints:
            self.endpoints[entry.id] = TrackedEndpoint(entry=entry)
        log_event(
            EventId.ENDPOINTS_ADOPTED,
            endpoints=len(endpoint_list.endpoints),
            revision=endpoint_list.revision,
            generation=endpoint_list.generation,
            source=source,
        )
        for entry in endpoint_list.endpoints:
            self._notify_process(entry.id)

    def _adopt_copied_entry(self, entry: EndpointEntry, source: str) -> None:
        """Adopts an entry of an older copy, which may be out of date.

        What was known of the endpoint's leaving holds until it has had time to
        write its entry again.
        """
        known = self.endpoints.get(entry.id)
        if known is not None and entry.boot_ms < known.entry.boot_ms:
            return  # the entry names an earlier process
        has_left = (
            self.restored.is_removed(entry)
            if known is None
            else known.entry.boot_ms == entry.boot_ms and not known.entry.ready
        )
        self._adopt_entry(entry, source)
        if has_left:
            withheld_until = self.restored.retained_until
            self.endpoints[entry.id].withheld_until = withheld_until

    def _adopt_entry(self, entry: EndpointEntry, source: str) -> None:
        endpoint = self.endpoints.get(entry.id)
        if endpoint is None:
            self.endpoints[entry.id] = TrackedEndpoint(entry=entry)
            self._log_endpoint(entry, "added", source)
            self._notify_process(entry.id)
            return
        if endpoint.entry.ready != entry.ready:
            self._log_endpoint(
                entry, "ready" if entry.ready else "draining", source
            )
        is_other_process = endpoint.entry.boot_ms != entry.boot_ms
        endpoint.update(entry)
        if is_other_process:
            self._notify_process(entry.id)

    def _remove(
        self, endpoint_id: str, source: str, *, keep_until: float = 0.0
    ) -> None:
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        keep_until = max(keep_until, self.lapsed_grace_until)
        if monotonic_s() < keep_until:
            endpoint.removal_due_at = endpoint.removal_due_at or keep_until
            return
        del self.endpoints[endpoint_id]
        self.restored.record_removed(endpoint.entry)
        self._log_endpoint(endpoint.entry, "removed", source)

    def _log_endpoint(
        self, entry: EndpointEntry, change: str, source: str
    ) -> None:
        log_event(
            EventId.ENDPOINT_ENTRY_CHANGED,
            endpoint=entry.id,
            service=entry.service_name,
            zone=entry.zone,
            change=change,
            revision=self.endpoints_revision.revision,
            generation=self.endpoints_revision.generation,
            source=source,
        )

    def _notify_process(self, endpoint_id: str) -> None:
        for listener in self.process_listeners:
            listener(endpoint_id)

    def _notify(
        self,
        source: str,
        changes: EndpointChanges | ConfigChanges | None = None,
    ) -> None:
        if source != STORE_SOURCE:
            return  # the peer that read the store sends the change itself
        for listener in self.listeners:
            listener(changes)


__all__ = ["STORE_SOURCE", "Installation"]
