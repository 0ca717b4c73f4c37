"""Tests that an entry daemon fails to start when an address is in use."""

from __future__ import annotations

import socket
import unittest

from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.experiments.installation import entry_settings
from auburnswitch.http_server import ListenError


class ListenErrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_peer_port_in_use(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            settings = entry_settings("entry", "127.0.0.1:9")
            with (
                self.subTest(kind),
                socket.socket(socket.AF_INET, kind) as occupying_socket,
            ):
                occupying_socket.bind(("127.0.0.1", settings.listen.peer_port))
                if kind is socket.SOCK_STREAM:
                    occupying_socket.listen()
                with self.assertRaises(ListenError):
                    async with open_entry_daemon(settings):
                        pass

    async def test_caller_port_in_use(self):
        settings = entry_settings("entry", "127.0.0.1:9")
        host, port = settings.listen.callers.split(":")
        with socket.socket() as occupying_socket:
            occupying_socket.bind((host, int(port)))
            occupying_socket.listen()
            with self.assertRaises(ListenError):
                async with open_entry_daemon(settings):
                    pass


if __name__ == "__main__":
    unittest.main()
