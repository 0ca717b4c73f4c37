"""Tests that a store reader notices what lost answers have kept from it.

The store loses answers of any call, changes, and comes back from older copies.
A few seconds after the last loss the reader must know the store's state.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from auburnswitch.clock import monotonic_s
from auburnswitch.configuration.installation import Installation
from auburnswitch.configuration.installation_watcher import (
    WATCHED_KINDS,
    InstallationWatcher,
)
from auburnswitch.configuration.restored_state import RestoredState
from auburnswitch.experiments.installation import make_config
from auburnswitch.observe.logs import LOGGER
from auburnswitch.platform import protocol
from auburnswitch.platform.store_client import (
    Listing,
    RevisionExpired,
    StoredObject,
    StoreFailure,
)
from auburnswitch.schema.entry import BoundSettings, StoreSettings
from tests.virtual_time import in_virtual_loop, run_virtual

PROBE_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 0.8
LATENCY_S = 0.004
IN_FORCE_S = 3.0  # the users' StabilityWindowMs
CONFIG, ZONES, ENDPOINTS = WATCHED_KINDS
ENTRY = {
    "Service": "desk",
    "Address": "10.0.0.1:80",
    "Zone": "zone-1",
    "State": "ready",
}


class LossyStore:
    """A store that loses answers while told to, with all calls counted.

    Attributes:
        losing: Kinds of calls that get no answer.
        changed_at: Loop time of the newest change of each kind, in seconds.
        calls: Times of the calls by their kind.
    """

    def __init__(self) -> None:
        self.settings = StoreSettings(
            address="store:1",
            probe_interval_s=PROBE_INTERVAL_S,
            call_timeout_s=CALL_TIMEOUT_S,
        )
        self.generation = 0  # as the client knows it
        self.generation_listeners = []
        self.losing: set[str] = set()
        self.calls: dict[str, int] = {}
        self.changed_at: dict[str, float] = {}
        self.objects = {kind: {} for kind in WATCHED_KINDS}
        self.history: list[tuple[int, str, str]] = []
        self.revision = 1
        self.own_generation = 1
        self.version = 1
        self._changed = asyncio.Event()
        self._cuts: dict[str, int] = {}

    def cut(self, kind: str) -> None:
        """Breaks the waiting watches of a kind off."""
        self._cuts[kind] = self._cuts.get(kind, 0) + 1
        self._notify()

    def put(self, kind: str, name: str, body) -> None:
        self._change(kind, name)
        self.objects[kind][name] = body

    def remove(self, kind: str, name: str) -> None:
        if name in self.objects[kind]:
            self._change(kind, name)
            del self.objects[kind][name]

    def _change(self, kind: str, name: str) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, name))
        self.changed_at[kind] = monotonic_s()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def copy_state(self):
        return copy.deepcopy((self.objects, self.revision, self.history))

    def restore(self, state) -> None:
        self.objects, self.revision, self.history = copy.deepcopy(state)
        self.own_generation += 1
        for kind in WATCHED_KINDS:
            self.changed_at[kind] = monotonic_s()
        self._notify()

    async def _answer(self, call: str, wait_s: float = 0.0):
        """Waits until an answer arrives; returns whether it does."""
        await asyncio.sleep(LATENCY_S)
        if call in self.losing:
            await asyncio.sleep(wait_s + CALL_TIMEOUT_S)
            return False
        if self.own_generation > self.generation:
            previous, self.generation = self.generation, self.own_generation
            for listener in self.generation_listeners:
                listener(previous, "store")
        return True

    def _count(self, call: str) -> None:
        self.calls[call] = self.calls.get(call, 0) + 1

    async def list_kind(self, kind: str):
        self._count("list")
        return await self._list(kind, "list")

    async def probe(self):
        self._count("probe")
        return await self._list(ZONES, "probe")

    async def _list(self, kind: str, call: str):
        listing = Listing(
            revision=self.revision,
            generation=self.own_generation,
            objects=[
                StoredObject(name=name, body=body)
                for name, body in self.objects[kind].items()
            ],
        )
        if not await self._answer(call):
            return StoreFailure(reason="the call timed out")
        if listing.generation < self.generation:
            return StoreFailure(reason="outdated")
        return listing

    async def watch(self, kind: str, revision: int, *, wait_s: float = 15.0):
        call = f"watch {kind}" if wait_s else "check"
        self._count(call)
        ends_at = monotonic_s() + wait_s
        cuts = self._cuts.get(kind, 0)
        while True:
            if self._cuts.get(kind, 0) != cuts:
                return StoreFailure(reason="the connection was reset")
            if revision > self.revision:
                if not await self._answer(call, wait_s):
                    return StoreFailure(reason="the call timed out")
                return RevisionExpired()
            names = [
                n for r, k, n in self.history if k == kind and r > revision
            ]
            if names or monotonic_s() >= ends_at:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()
        present = self.objects[kind]
        changes = Listing(
            revision=self.revision,
            generation=self.own_generation,
            objects=[
                StoredObject(
                    name=name,
                    body=present.get(name),
                    deleted=name not in present,
                )
                for name in dict.fromkeys(names)
            ],
        )
        if not await self._answer(call, max(0.0, ends_at - monotonic_s())):
            return StoreFailure(reason="the call timed out")
        if changes.generation < self.generation:
            return StoreFailure(reason="outdated")
        return changes


@contextlib.asynccontextmanager
async def open_watcher(store: LossyStore):
    reading = asyncio.Event()
    reading.set()
    watcher = InstallationWatcher(
        store=store,
        installation=Installation(restored=RestoredState(retention_s=0.0)),
        bounds=BoundSettings(lapsed_entry_grace_s=0.0),
        reading=reading,
    )
    loops = [watcher.watch_kind(kind) for kind in WATCHED_KINDS]
    loops.append(watcher.probe_store())
    tasks = [asyncio.create_task(loop) for loop in loops]
    try:
        yield watcher
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def change(store: LossyStore, kind: str, number: int) -> None:
    """Makes one of a few changes of a kind."""
    match kind:
        case protocol.CONFIG_KIND:
            store.version += 1
            store.put(kind, "main", make_config(store.version))
        case protocol.CLOSED_ZONES_KIND if number % 2:
            store.remove(kind, f"zone-{number // 2 + 1}")
        case protocol.CLOSED_ZONES_KIND:
            store.put(kind, f"zone-{number // 2 + 1}", {})
        case _ if number == 0:
            store.remove(kind, "x")
        case _:
            store.put(kind, "x", {**ENTRY, "Slots": number})


def known_state(installation: Installation):
    return (
        installation.config_version,
        installation.closed_zones,
        {
            name: endpoint.entry.slots
            for name, endpoint in installation.endpoints.items()
            if endpoint.removal_due_at is None
        },
    )


def stored_state(store: LossyStore):
    entries = store.objects[ENDPOINTS].items()
    return (
        store.version,
        frozenset(store.objects[ZONES]),
        {name: body["Slots"] for name, body in entries},
    )


CALLS = ("list", "probe", "check", *(f"watch {k}" for k in WATCHED_KINDS))
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["change", "lose", "deliver", "cut", "copy", "restore"]
        ),
        st.sampled_from(WATCHED_KINDS),
        st.sampled_from(CALLS),
        st.integers(0, 3),
        st.sampled_from([0.0, 0.01, 0.2, 1.0, 2.5]),
    ),
    max_size=12,
)


async def play(steps) -> None:
    """Plays the steps and checks what the reader knows in the end."""
    store = LossyStore()
    store.put(CONFIG, "main", make_config(1))
    state = store.copy_state()
    async with open_watcher(store) as watcher:
        await asyncio.sleep(0.1)
        for step, kind, call, number, pause_s in steps:
            match step:
                case "change":
                    change(store, kind, number)
                case "lose":
                    store.losing.add(call)
                case "deliver":
                    store.losing.discard(call)
                case "cut":
                    store.cut(kind)
                case "copy":
                    state = store.copy_state()
                case "restore":
                    store.restore(state)
                    store.put(CONFIG, "main", make_config(store.version))
            await asyncio.sleep(pause_s)
        store.losing.clear()
        await asyncio.sleep(IN_FORCE_S)
        assert known_state(watcher.installation) == stored_state(store), (
            known_state(watcher.installation),
            stored_state(store),
        )
        assert monotonic_s() - watcher.read_at < IN_FORCE_S


class LostAnswerTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(self.assertLogs(LOGGER, "INFO"))
        LOGGER.info("the log of a run may be empty")

    # CONFIG, DRAIN, EVAC: a watch whose answer was lost counted as up to date
    # for as long as it would have waited, as other channels answered.
    @in_virtual_loop
    async def test_change_whose_answer_is_lost(self):
        for kind in WATCHED_KINDS:
            with self.subTest(kind):
                store = LossyStore()
                store.put(CONFIG, "main", make_config(1))
                async with open_watcher(store) as watcher:
                    await asyncio.sleep(5.1)
                    store.losing = {f"watch {kind}"}
                    change(store, kind, 2)
                    await asyncio.sleep(0.5)
                    store.losing = set()
                    await asyncio.sleep(PROBE_INTERVAL_S)
                    self.assertEqual(
                        known_state(watcher.installation), stored_state(store)
                    )

    @in_virtual_loop
    async def test_unanswered_watch_is_not_called_up_to_date(self):
        store = LossyStore()
        async with open_watcher(store) as watcher:
            await asyncio.sleep(5.1)
            store.losing = {f"watch {CONFIG}", "check"}
            change(store, CONFIG, 0)
            for _ in range(40):
                await asyncio.sleep(0.1)
                if watcher.installation.config_version < store.version:
                    self.assertLessEqual(
                        watcher.read_at, store.changed_at[CONFIG]
                    )

    # A watch that was broken off alone was not begun again until the watch of
    # the configuration returned.
    @in_virtual_loop
    async def test_watch_that_is_broken_off_alone(self):
        for kind in WATCHED_KINDS:
            with self.subTest(kind):
                store = LossyStore()
                store.put(CONFIG, "main", make_config(1))
                async with open_watcher(store) as watcher:
                    await asyncio.sleep(1)
                    store.cut(kind)
                    await asyncio.sleep(0.1)
                    change(store, kind, 2)
                    await asyncio.sleep(0.5)
                    self.assertEqual(
                        known_state(watcher.installation), stored_state(store)
                    )

    @in_virtual_loop
    async def test_calls_while_one_kind_changes(self):
        store = LossyStore()
        async with open_watcher(store):
            for number in range(30):
                await asyncio.sleep(1)
                change(store, ENDPOINTS, 1 + number)
        self.assertLessEqual(store.calls["probe"], 30 / PROBE_INTERVAL_S)
        self.assertLessEqual(store.calls["check"], 30 / PROBE_INTERVAL_S)
        self.assertEqual(store.calls["list"], len(WATCHED_KINDS))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(STEPS)
    @example(
        [
            ("lose", CONFIG, f"watch {CONFIG}", 0, 0.0),
            ("change", CONFIG, "list", 0, 0.2),
            ("deliver", CONFIG, f"watch {CONFIG}", 0, 0.0),
            ("lose", CONFIG, f"watch {ENDPOINTS}", 0, 0.0),
            ("change", ENDPOINTS, "list", 2, 0.2),
        ]
    )
    def test_any_losses_changes_and_returns(self, steps):
        async def run():
            await play(steps)

        run_virtual(run)


if __name__ == "__main__":
    unittest.main()
