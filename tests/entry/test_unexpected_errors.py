"""Tests that unexpected input or errors stop no task of an entry daemon."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from auburnswitch.experiments.installation import (
    make_config,
    open_installation,
    wait_until,
)
from auburnswitch.standins.installation_objects import put_config

LONE_SURROGATE = "\ud800"  # valid JSON, but not UTF-8
SHORT = "1000,50"


class ForeignObjectTest(unittest.IsolatedAsyncioTestCase):
    async def check_follows_store(self, fleet):
        """Checks that both daemons still follow the store and each other."""
        put_config(fleet.store, make_config(version=90))
        await wait_until(
            lambda: all(
                d.installation.config_version == 90 for d in fleet.daemons
            )
        )
        fleet.put_endpoint("engine-1", "engines", State="draining")
        await wait_until(
            lambda: all(
                not d.installation.endpoints["engine-1"].entry.ready
                for d in fleet.daemons
            )
        )
        for daemon in fleet.daemons:
            self.assertEqual(daemon.tasks.errors, [])
        result = await fleet.call("/chat/1", tokens=SHORT)
        self.assertEqual(result.status, 200)

    # Operators of similar systems: one malformed message took a process down.
    async def test_entry_with_text_that_is_no_utf8(self):
        for field in ("Zone", "Service", "Version", "Models"):
            with self.subTest(field):
                async with open_installation(daemons=2, engines=3) as fleet:
                    value = LONE_SURROGATE
                    if field == "Models":
                        value = [{"Name": LONE_SURROGATE, "Version": 1}]
                    fleet.put_endpoint("engine-0", "engines", **{field: value})
                    await asyncio.sleep(0.3)
                    await self.check_follows_store(fleet)

    async def test_object_with_a_name_that_is_no_utf8(self):
        async with open_installation(daemons=2, engines=3) as fleet:
            for kind in ("servers", "evacuations", "auburnswitch-daemons"):
                fleet.store.put(kind, LONE_SURROGATE, {})
            await asyncio.sleep(0.3)
            fleet.store.remove("servers", LONE_SURROGATE)
            await self.check_follows_store(fleet)

    async def test_config_with_text_that_is_no_utf8(self):
        for change in (
            lambda c: c["Routes"][0].update(Name=LONE_SURROGATE),
            lambda c: c["Tenants"][0].update(Name=LONE_SURROGATE),
            lambda c: c["Tenants"][0].update(ApiKeys=[LONE_SURROGATE, "key-1"]),
            lambda c: c["Services"][0].update(HealthPath=LONE_SURROGATE),
        ):
            async with open_installation(daemons=2, engines=3) as fleet:
                config = make_config(version=5)
                change(config)
                put_config(fleet.store, config)
                await asyncio.sleep(0.3)
                await self.check_follows_store(fleet)


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    # Operators of similar systems: an unexpected error took a process down. It
    # ended a background task for good here; the daemon went on without it.
    async def test_duties_go_on_after_an_error(self):
        tasks = {
            "gossip": ("work_reporter", "list_work"),
            "elect store readers": ("reader_election", "check"),
            "expire": ("availability", "sweep"),
            "follow servers": ("installation", "adopt_endpoint_changes"),
            "follow config": ("installation", "adopt_config"),
            "observe engines": ("load_observer", "_due_engines"),
        }
        for name, (part, method) in tasks.items():
            with self.subTest(name):
                async with open_installation(daemons=2) as fleet:
                    daemon = fleet.daemons[0]
                    owner = getattr(daemon, part)
                    await self.check_goes_on(fleet, owner, method)

    async def check_goes_on(self, fleet, owner, method):
        """Lets a method fail once; checks that it is called again."""
        original = getattr(owner, method)
        calls = []

        def fail_once(*args, **options):
            calls.append(method)
            if len(calls) == 1:
                raise RuntimeError("unexpected")
            return original(*args, **options)

        with mock.patch.object(type(owner), method, autospec=True) as patched:
            patched.side_effect = lambda self_, *args, **options: (
                fail_once(*args, **options)
                if self_ is owner
                else original.__func__(self_, *args, **options)
            )
            put_config(fleet.store, make_config(version=91))
            fleet.put_endpoint("engine-1", "engines", State="draining")
            await wait_until(lambda: len(calls) > 1, timeout_s=8)
            await wait_until(
                lambda: all(
                    d.installation.config_version == 91 for d in fleet.daemons
                )
            )
        result = await fleet.call("/chat/1", tokens=SHORT)
        self.assertEqual(result.status, 200)


if __name__ == "__main__":
    unittest.main()
