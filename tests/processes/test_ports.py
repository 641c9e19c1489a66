# SPDX-License-Identifier: Apache-2.0
"""A process that cannot listen reports it and exits, and the harness detects it at once."""

import asyncio
import socket
import subprocess
import sys
import time
from pathlib import Path

import testtools

from ochreway_cli.porcelain import new_keys
from ochreway_daemon.main import EXIT_LISTEN
from ochreway_standins.site import ProcessEnded, Site, free_port, running_site, until

TIMEOUT_S = 30.0


class PortTests(testtools.TestCase):
    def daemon(self, role: str, link: int, http: int) -> subprocess.CompletedProcess[str]:
        binary = str(Path(sys.executable).parent / "ochrewayd")
        listen = ("--link-listen", f"127.0.0.1:{link}", "--http-listen", f"127.0.0.1:{http}")
        keys = ("--link-key", "k" * 16, "--operator-key", f"bo={new_keys().public}")
        command = [binary, role, "--name", "one", *keys, *listen]
        return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)

    def test_a_daemon_that_cannot_bind_says_so_and_exits_with_its_own_code(self) -> None:
        for role in ("entry", "agent"):
            for taken in ("link", "http"):
                with socket.socket() as other:
                    other.bind(("127.0.0.1", 0))
                    other.listen()
                    ports = {"link": free_port(), "http": free_port()}
                    ports[taken] = other.getsockname()[1]
                    ended = self.daemon(role, ports["link"], ports["http"])
                self.assertEqual(EXIT_LISTEN, ended.returncode, ended.stdout)
                self.assertIn("event=cannot_listen", ended.stdout)

    def test_waiting_ends_at_once_when_a_process_has_ended(self) -> None:
        async def never() -> bool:
            return False

        with running_site(Site()) as site:
            site.start("short", [sys.executable, "-c", "raise SystemExit(7)"], free_port())
            begun_s = time.monotonic()
            fault = self.assertRaises(ProcessEnded, asyncio.run, until("never", never, site=site))
            self.assertIn("short", str(fault))
            self.assertLess(time.monotonic() - begun_s, TIMEOUT_S)

    def test_two_processes_are_never_given_the_same_port(self) -> None:
        script = (
            "import sys; from ochreway_standins import site;"
            "site.PORTS_BELOW = site.PORTS_FROM + 40;"
            "print(*[site.free_port() for _ in range(12)], flush=True); sys.stdin.read()"
        )
        command = [sys.executable, "-c", script]
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
        processes = [subprocess.Popen(command, **pipes) for _ in range(2)]
        given = [each.stdout.readline().split() for each in processes]
        for each in processes:
            each.communicate(timeout=TIMEOUT_S)
        self.assertEqual(24, len({*given[0], *given[1]}))
