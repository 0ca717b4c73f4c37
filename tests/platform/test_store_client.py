"""Tests of which answers of the store count as whole."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest

from auburnswitch.platform.store_client import (
    Listing,
    PlatformStoreClient,
    StoreFailure,
)
from auburnswitch.schema.entry import StoreSettings

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def make_page(names: list[str], *, revision: int, more: bool = False) -> bytes:
    items = [{"Metadata": {"Name": name}, "Spec": {}} for name in names]
    page = {"Items": items, "HasMore": more, "AsOf": revision}
    return json.dumps(page).encode()


class StoreAnswerTest(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def open(self, *bodies: bytes):
        """Yields a client whose calls get these answers, without lengths."""
        remaining = list(bodies)

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + remaining.pop(0))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            settings = StoreSettings(address=f"127.0.0.1:{port}")
            yield PlatformStoreClient(settings=settings)

    # A list that broke off before its first byte was taken for an empty list.
    async def test_broken_off_list_is_no_list(self):
        whole = make_page(["a"], revision=3)
        for body in (b"", b"\n", whole[:-1], b"{}", b'{"Items":[]}', b"[]"):
            with self.subTest(body):
                async with self.open(body) as store:
                    result = await store.list_kind("servers")
                self.assertIsInstance(result, StoreFailure)

    async def test_broken_off_changes_are_no_changes(self):
        for body in (b"", b'{"events":[]}', b'{"events":[],"AsOf":"x"}'):
            with self.subTest(body):
                async with self.open(body) as store:
                    result = await store.watch("servers", 2)
                self.assertIsInstance(result, StoreFailure)

    async def test_whole_answers(self):
        async with self.open(make_page(["a"], revision=3)) as store:
            result = await store.list_kind("servers")
        self.assertEqual([o.name for o in result.objects], ["a"])
        async with self.open(b'{"events":null,"AsOf":4}') as store:
            result = await store.watch("servers", 2)
        self.assertEqual(result, Listing(revision=4, objects=[]))

    # A list of several pages without a next one was taken for a whole list.
    async def test_list_that_can_not_be_continued_is_no_list(self):
        pages = (
            make_page(["a"], revision=3, more=True),
            make_page([], revision=3, more=True),
        )
        async with self.open(*pages) as store:
            result = await store.list_kind("servers")
        self.assertIsInstance(result, StoreFailure)

    # Changes of objects on the first page, made before the last page was read,
    # were missed.
    async def test_list_of_several_pages_is_as_old_as_its_first(self):
        pages = (
            make_page(["a"], revision=3, more=True),
            make_page(["b"], revision=5),
        )
        async with self.open(*pages) as store:
            result = await store.list_kind("servers")
        self.assertEqual([o.name for o in result.objects], ["a", "b"])
        self.assertEqual(result.revision, 3)

    @contextlib.asynccontextmanager
    async def open_generations(self, *generations: str):
        """Yields a client whose calls get answers of these generations."""
        remaining = list(generations)
        served = []

        async def serve(reader, writer):
            request = await reader.readuntil(b"\r\n\r\n")
            served.append(request)
            head = f"HTTP/1.1 200 OK\r\nStore-Era: {remaining.pop(0)}\r\n\r\n"
            more = len(served) == 1 and self.first_has_more
            body = make_page(["a"], revision=3, more=more)
            writer.write(head.encode() + body)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            settings = StoreSettings(address=f"127.0.0.1:{port}")
            yield PlatformStoreClient(settings=settings)

    first_has_more = False

    # A late answer of before the store's return was taken for its state.
    async def test_answer_of_an_older_generation_is_a_failure(self):
        async with self.open_generations("2", "1", "2", "x", "") as store:
            self.assertEqual((await store.list_kind("k")).generation, 2)
            self.assertIsInstance(await store.list_kind("k"), StoreFailure)
            for _ in range(3):  # an answer may not tell it
                self.assertEqual((await store.list_kind("k")).generation, 2)

    async def test_new_generation_is_told_whatever_call_it_answers(self):
        seen = []
        async with self.open_generations("1", "1", "3") as store:
            store.generation_listeners.append(lambda *args: seen.append(args))
            await store.list_kind("k")
            await store.delete("k", "name")
            await store.probe()
        self.assertEqual(seen, [(0, "store"), (1, "store")])
        self.assertEqual(store.generation, 3)

    # Pages of two states were taken for one list.
    async def test_list_that_the_store_returns_within_is_no_list(self):
        self.first_has_more = True
        async with self.open_generations("1", "2") as store:
            self.assertIsInstance(await store.list_kind("k"), StoreFailure)


if __name__ == "__main__":
    unittest.main()
