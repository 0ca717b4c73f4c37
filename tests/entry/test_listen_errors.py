"""An entry daemon whose addresses are in use says so and starts nothing."""

from __future__ import annotations

import socket
import unittest

from auburnswitch.entry.run import open_entry_daemon
from auburnswitch.experiments.installation import entry_settings
from auburnswitch.http_server import ListenError


class ListenErrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_port_for_peers_is_in_use(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            made = entry_settings("entry", "127.0.0.1:9")
            with (
                self.subTest(kind),
                socket.socket(socket.AF_INET, kind) as other,
            ):
                other.bind(("127.0.0.1", made.listen.peer_port))
                if kind is socket.SOCK_STREAM:
                    other.listen()
                with self.assertRaises(ListenError):
                    async with open_entry_daemon(made):
                        pass

    async def test_port_for_callers_is_in_use(self):
        made = entry_settings("entry", "127.0.0.1:9")
        host, port = made.listen.callers.split(":")
        with socket.socket() as other:
            other.bind((host, int(port)))
            other.listen()
            with self.assertRaises(ListenError):
                async with open_entry_daemon(made):
                    pass


if __name__ == "__main__":
    unittest.main()
