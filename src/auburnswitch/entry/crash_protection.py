"""Builds what keeps requests that crash endpoints away from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from auburnswitch.entry.refusal_store import RefusalStore
from auburnswitch.members.rendezvous import rendezvous_owner
from auburnswitch.routing.crashes.crash_check import CrashChecker
from auburnswitch.routing.crashes.crash_guard import CrashGuard
from auburnswitch.routing.crashes.crash_registry import CrashRegistry
from auburnswitch.routing.crashes.part_watch import PartWatch

if TYPE_CHECKING:
    import random

    from auburnswitch.configuration.installation import Installation
    from auburnswitch.members.gossip import GossipNode
    from auburnswitch.observe.statistics import EntryStatistics
    from auburnswitch.observe.tasks import TaskSet
    from auburnswitch.platform.endpoint_client import PlatformEndpointClient
    from auburnswitch.platform.store_client import PlatformStoreClient
    from auburnswitch.routing.availability.endpoint_availability import (
        EndpointAvailability,
    )
    from auburnswitch.routing.crashes.part_evidence import Parts
    from auburnswitch.schema.entry import EntrySettings


def build_crash_guard(
    *,
    settings: EntrySettings,
    tasks: TaskSet,
    rng: random.Random,
    installation: Installation,
    availability: EndpointAvailability,
    statistics: EntryStatistics,
    store: PlatformStoreClient,
    gossip: GossipNode,
    endpoint_client: PlatformEndpointClient,
) -> tuple[CrashGuard, RefusalStore]:
    """Returns the guard and the store of its refusals, which use each other."""

    def owns_trials(parts: Parts) -> bool:
        """Returns whether this daemon tries requests with refused parts."""
        live = [peer.record.instance for peer in gossip.peers.live_peers()]
        instances = [gossip.local_record.instance, *live]
        return rendezvous_owner(min(parts), instances) == instances[0]

    refusal_store = RefusalStore(
        store=store,
        tasks=tasks,
        adopt=lambda refusal: part_watch.adopt(refusal, "the store"),
        adopt_request=lambda refusal, age_s: requests.adopt(
            refusal.request, refusal.crashes, age_s
        ),
    )
    requests = CrashRegistry(on_change=refusal_store.update_request)
    part_watch = PartWatch(
        statistics=statistics,
        bounds=settings.bounds,
        rng=rng,
        releases_of=installation.releases_of,
        is_trial_owner=owns_trials,
        send=gossip.send_crash_evidence,
        on_change=refusal_store.update,
    )
    checker = CrashChecker(
        endpoint_client=endpoint_client,
        # One that wants no requests gets no question either.
        may_ask=lambda entry: not availability.is_deferred(entry.id),
        tasks=tasks,
    )
    guard = CrashGuard(
        requests=requests,
        parts=part_watch,
        checker=checker,
        tasks=tasks,
    )
    return guard, refusal_store


__all__ = ["build_crash_guard"]
