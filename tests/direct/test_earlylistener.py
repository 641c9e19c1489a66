# SPDX-License-Identifier: Apache-2.0
import os
import socket
import subprocess
import sys
from unittest import mock

import testtools

from ochreway_direct import earlylistener
from ochreway_standins.site import free_port


class EarlyListenerTests(testtools.TestCase):
    def free_address(self) -> str:
        return f"127.0.0.1:{free_port()}"

    def listen(self, address: str) -> None:
        with mock.patch.dict(os.environ, {earlylistener.ADDRESS_VARIABLE: address}):
            earlylistener.listen_early()

    def test_callers_can_connect_before_connections_are_accepted(self) -> None:
        address = self.free_address()
        self.listen(address)
        host, _, port = address.partition(":")
        with socket.create_connection((host, int(port)), timeout=10) as caller:
            listening = earlylistener.claim_socket(address)
            assert listening is not None
            accepted, _ = listening.accept()
            accepted.sendall(b"here")
            self.assertEqual(b"here", caller.recv(4))
            accepted.close()
            listening.close()
        self.assertIsNone(earlylistener.claim_socket(address))

    def test_another_address_than_the_one_served_is_closed(self) -> None:
        early, served = self.free_address(), self.free_address()
        self.listen(early)
        earlylistener.close_other_sockets(served)
        host, _, port = early.partition(":")
        with socket.socket() as again:
            again.bind((host, int(port)))
        self.assertIsNone(earlylistener.claim_socket(early))

    def test_an_address_in_use_is_left_to_the_regular_listener(self) -> None:
        with socket.socket() as occupied:
            occupied.bind(("127.0.0.1", 0))
            occupied.listen()
            address = f"127.0.0.1:{occupied.getsockname()[1]}"
            self.listen(address)
            self.assertIsNone(earlylistener.claim_socket(address))

    def test_an_invalid_address_is_ignored(self) -> None:
        for address in ("", "x", "127.0.0.1:", "127.0.0.1:x", ":80", "127.0.0.1:99999999"):
            self.listen(address)
            self.assertIsNone(earlylistener.claim_socket(address), address)

    def test_it_imports_no_large_modules(self) -> None:
        code = (
            "import sys, ochreway_direct.earlylistener;"
            "print([name for name in ('asyncio', 'aiohttp', 'ssl') if name in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-S", "-c", code],
            capture_output=True,
            check=False,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        self.assertEqual(b"[]", done.stdout.strip(), done.stderr)
