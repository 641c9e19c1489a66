# SPDX-License-Identifier: Apache-2.0
"""A small site of real processes on loopback, for the demo, benches and fault tests."""

import asyncio
import contextlib
import fcntl
import hashlib
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from ochreway_cli.porcelain import KeyPair, new_keys

LINK_KEY = "a-link-key-for-loopback-only"
OPERATOR_TOKEN = "operator-token"
CALLER_TOKEN = "caller-token"
DOMAIN = "domain-1"
BOUND_S = 40.0
LOG_SHOWN = 2000
PORTS_FROM, PORTS_BELOW = 15_000, 32_000

PORT_LOCKS = Path(tempfile.gettempdir()) / "ochreway-ports"

_given_ports: dict[int, int] = {}
"""The lock that this process holds on each port it was given, until it ends."""


class ProcessEnded(Exception):
    """A process of the site ended that nobody had asked to."""


def free_port() -> int:
    """Return a port that is free, and that no other process of ours is given meanwhile.

    It lies below those that outgoing connections are given.
    """
    while True:
        port = random.randrange(PORTS_FROM, PORTS_BELOW)
        if port in _given_ports or not _lock(port):
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def _lock(port: int) -> bool:
    PORT_LOCKS.mkdir(exist_ok=True)
    lock = os.open(PORT_LOCKS / str(port), os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _given_ports[port] = lock
    return True


@dataclass(slots=True)
class Daemon:
    """Hold one started process and where it can be reached."""

    name: str
    process: subprocess.Popen[bytes]
    http: str
    link: str = ""
    target: str = ""


@dataclass(slots=True)
class Site:
    """Start and stop processes, each by its own id."""

    load_s: float = 0.3
    token_interval_s: float = 0.02
    tokens_per_event: int = 1
    service_work_s: float = 0.0
    link_tick_s: float = 0.001
    daemons: dict[str, Daemon] = field(default_factory=dict)
    listed: list[dict[str, str]] = field(default_factory=list)
    asked_to_end: set[str] = field(default_factory=set)
    keys: KeyPair = field(default_factory=new_keys)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="ochreway-")))

    def start(self, name: str, arguments: list[str], http_port: int) -> Daemon:
        """Start a process, its log in the site's folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(arguments, stdout=log, stderr=log)
        daemon = Daemon(name, process, f"http://127.0.0.1:{http_port}")
        self.daemons[name] = daemon
        return daemon

    def start_module(self, name: str, module: str, *arguments: str) -> Daemon:
        """Start a stand-in."""
        port = free_port()
        command = [sys.executable, "-m", f"ochreway_standins.{module}", "--port", str(port)]
        return self.start(name, [*command, *arguments], port)

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self.start_module("platform", "platformserver")

    @property
    def platform_url(self) -> str:
        """Return the platform's base URL."""
        return self.daemons["platform"].http

    def _daemon_arguments(self, role: str, name: str, link: int, http: int) -> list[str]:
        binary = str(Path(sys.executable).parent / "ochrewayd")
        return [
            *(binary, role, "--name", name, "--domain", DOMAIN),
            *("--link-listen", f"127.0.0.1:{link}", "--http-listen", f"127.0.0.1:{http}"),
            *("--platform-url", self.platform_url, "--link-key", LINK_KEY),
            *("--operator-key", f"bo={self.keys.public}", "--key-memory-s", "30"),
            *("--link-tick-s", str(self.link_tick_s)),
        ]

    def start_entry(self, name: str, *more: str) -> Daemon:
        """Start an entry and list it."""
        link, http = free_port(), free_port()
        arguments = self._daemon_arguments("entry", name, link, http)
        arguments += ["--operator-token", OPERATOR_TOKEN, "--load-s", str(self.load_s), *more]
        daemon = self.start(name, arguments, http)
        self._list(daemon, link, "entry")
        return daemon

    def start_agent(self, name: str, kind: str, target_url: str, *more: str) -> Daemon:
        """Start an agent beside a target and list it."""
        link, http = free_port(), free_port()
        arguments = self._daemon_arguments("agent", name, link, http)
        arguments += ["--target-url", target_url, "--target-kind", kind, *more]
        daemon = self.start(name, arguments, http)
        daemon.target = target_url
        self._list(daemon, link, "target")
        return daemon

    def _list(self, daemon: Daemon, link: int, kind: str) -> None:
        daemon.link = f"127.0.0.1:{link}"
        self.listed = [item for item in self.listed if item["name"] != daemon.name]
        self.listed.append(
            {
                "name": daemon.name,
                "address": daemon.link,
                "kind": kind,
                "hall": "hall-1",
                "domain": DOMAIN,
                "state": "live",
            }
        )

    def start_engine(self, name: str) -> Daemon:
        """Start an engine and the agent beside it."""
        target = self.start_module(
            f"{name}.engine",
            "engine",
            *("--load-s", str(self.load_s), "--token-interval-s", str(self.token_interval_s)),
            *("--tokens-per-event", str(self.tokens_per_event)),
        )
        return self.start_agent(name, "model", target.http)

    def start_service(self, name: str, *more: str) -> Daemon:
        """Start a plain service and the agent beside it."""
        work = ("--work-s", str(self.service_work_s))
        target = self.start_module(f"{name}.service", "service", *work)
        return self.start_agent(name, "service", target.http)

    async def publish_list(self, session: aiohttp.ClientSession) -> None:
        """Give the platform the list of instances."""
        url = f"{self.platform_url}/instances"
        async with session.put(url, json=self.listed) as response:
            response.raise_for_status()

    async def set_mode(self, session: aiohttp.ClientSession, mode: str) -> None:
        """Make the platform fail or work again."""
        async with session.put(f"{self.platform_url}/mode/{mode}") as response:
            response.raise_for_status()

    def command(self, *arguments: str, operator: str = "ann") -> subprocess.CompletedProcess[str]:
        """Run the operators' command."""
        entries = [each for each in self.daemons if each.startswith("entry")]
        environment = {
            **os.environ,
            "OCHREWAY_PLATFORM_URL": self.platform_url,
            "OCHREWAY_ENTRY": " ".join(self.daemons[name].http for name in entries),
            "OCHREWAY_OPERATOR_TOKEN": OPERATOR_TOKEN,
            "OCHREWAY_OPERATOR": operator,
        }
        binary = str(Path(sys.executable).parent / "ochreway")
        return subprocess.run(
            [binary, *arguments], env=environment, capture_output=True, text=True, timeout=BOUND_S
        )

    def write_bundle(self, name: str, body: str) -> Path:
        """Write a bundle into the site's folder."""
        path = self.folder / name
        path.write_text(body)
        return path

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this site."""
        self.asked_to_end.add(name)
        self.daemons[name].process.send_signal(number)

    def wait(self, name: str, bound_s: float = BOUND_S) -> int:
        """Wait until a process of this site has ended."""
        return self.daemons.pop(name).process.wait(bound_s)

    def check_running(self) -> None:
        """Check that no process has ended of its own.

        Raises:
            ProcessEnded: when one has, with its code and the end of its log.
        """
        for name, daemon in self.daemons.items():
            code = daemon.process.poll()
            if code is not None and name not in self.asked_to_end:
                log = (self.folder / f"{name}.log").read_text()[-LOG_SHOWN:]
                raise ProcessEnded(f"{name} ended with {code}: {log}")

    def stop(self) -> list[str]:
        """End every process of this site; return those that had to be killed."""
        for daemon in self.daemons.values():
            with contextlib.suppress(ProcessLookupError):
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.terminate()
        killed = []
        for name, daemon in self.daemons.items():
            try:
                daemon.process.wait(5.0)
            except subprocess.TimeoutExpired:
                daemon.process.kill()
                daemon.process.wait()
                killed.append(name)
        return killed


def organisation(name: str, token: str = CALLER_TOKEN, more: str = "") -> str:
    """Return a bundle's section for an organisation."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return f'[[organisation]]\nname = "{name}"\ntoken_sha256 = "{digest}"\n{more}\n'


def bundle_text(
    engines: list[str], services: list[str], replicas: int, version: str, more: str = ""
) -> str:
    """Return a bundle for one model in replicas of three, and one plain service."""
    engine_names = ", ".join(f'"{name}"' for name in engines)
    service_names = ", ".join(f'"{name}"' for name in services)
    return f"""
format = 1
name = "care"

[roll]
max_groups_down = 1

[[model]]
name = "care-planner"
version = "{version}"
weights = "care-planner/{version}"
{more}

[[service]]
name = "roster"

[[group]]
name = "care"
domain = "{DOMAIN}"
model = "care-planner"
replicas = {replicas}
instances_per_replica = 3
instances = [{engine_names}]

[[group]]
name = "roster"
domain = "{DOMAIN}"
service = "roster"
replicas = {len(services)}
instances = [{service_names}]

{organisation("kestrel")}
"""


async def until(
    what: str,
    check: Callable[[], Any],
    bound_s: float = BOUND_S,
    every_s: float = 0.05,
    site: Site | None = None,
) -> Any:
    """Wait for an asynchronous check to give something true.

    Raises:
        TimeoutError: when it has not within the bound.
        ProcessEnded: when a process of the site, if one is given, has ended of its own.
    """
    end_s = time.monotonic() + bound_s
    while time.monotonic() < end_s:
        if site is not None:
            site.check_running()
        with contextlib.suppress(aiohttp.ClientError, OSError, asyncio.TimeoutError):
            found = await check()
            if found:
                return found
        await asyncio.sleep(every_s)
    raise TimeoutError(f"not within {bound_s} s: {what}")


@contextlib.contextmanager
def running_site(site: Site) -> Iterator[Site]:
    """Stop every process of the site at the end."""
    try:
        yield site
    finally:
        site.stop()


__all__ = [
    "CALLER_TOKEN",
    "DOMAIN",
    "OPERATOR_TOKEN",
    "Daemon",
    "ProcessEnded",
    "Site",
    "bundle_text",
    "free_port",
    "organisation",
    "running_site",
    "until",
]
