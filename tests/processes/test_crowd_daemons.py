# SPDX-License-Identifier: Apache-2.0
"""Crowds of ill-behaved clients at native entries, their operators' push, agents and links."""

import asyncio
from typing import Any

import aiohttp

from ochreway_standins.bench import roll
from ochreway_standins.crowd.ask import Ask
from ochreway_standins.crowd.footprint import Footprint, footprint
from ochreway_standins.crowd.shapes import SHAPES
from ochreway_standins.site import (
    CALLER_TOKEN,
    DOMAIN,
    OPERATOR_TOKEN,
    Site,
    organisation,
    until,
)
from tests.crowdcase import MANY_CONNECTIONS, CrowdCase, CrowdedSite, shape_tests

MEMORY_MB = 160
DESCRIPTORS = 700
LIMITS = ("--memory-mb", str(MEMORY_MB), "--descriptors", str(DESCRIPTORS))
SERVICE = "roster-1"
ENTRY = "entry-1"
LOG_SHOWN = 20_000
AUTHORISED = (("Authorization", f"Bearer {CALLER_TOKEN}"), ("X-Deadline-Ms", "3000"))
CALLER = Ask("care.example", "POST", "/services/roster/visits/1/confirm", AUTHORISED)
PROBE = Ask("agent", "GET", "/healthz")
OPERATOR = (("Authorization", f"Bearer {OPERATOR_TOKEN}"),)
PUSH = Ask("entry", "POST", "/operator/snapshot", OPERATOR)
LINK = Ask("link", "GET", "/")
FOR_LINKS = ("frame",)
FOR_CALLERS = ("bad_key_ahead", "unknown_host_ahead", "unknown_path_ahead")
EACH_SHAPE = tuple(name for name in SHAPES if name not in FOR_LINKS)
WITHOUT_CALLERS = tuple(name for name in EACH_SHAPE if name not in FOR_CALLERS)
OF_MANY = ("silent", "unfinished_body", "header_line")

BUNDLE = f"""
format = 1
name = "care"

[roll]
max_groups_down = 1

[[service]]
name = "roster"

[[group]]
name = "roster"
domain = "{DOMAIN}"
service = "roster"
replicas = 1
instances = ["{SERVICE}"]

{organisation("kestrel")}
"""


class DaemonSite:
    """Run an entry, and a service with its agent, with little memory and few descriptors."""

    memory_mb = MEMORY_MB
    descriptors = DESCRIPTORS

    def __init__(self, name: str) -> None:
        self.name = name
        self.site = Site(load_s=0.2)

    async def begin(self) -> None:
        """Start all processes and roll a bundle, unless they run."""
        if self.site.daemons:
            return
        self.session = aiohttp.ClientSession()
        site = self.site
        site.start_platform()
        await until("platform", lambda: self._is_served(f"{site.platform_url}/counts"), site=site)
        site.start_entry(ENTRY, *LIMITS)
        target = site.start_module(f"{SERVICE}.service", "service", "--work-s", "0.0")
        site.start_agent(SERVICE, "service", target.http, *LIMITS)
        for name in (ENTRY, SERVICE):
            url = f"{site.daemons[name].http}/healthz"
            await until(name, lambda url=url: self._is_served(url), site=site)
        await site.publish_list(self.session)
        await roll(site, self.session, BUNDLE)
        await self.answer()

    async def answer(self) -> None:
        """Wait until a caller's request and both questions for health are answered."""
        await until("a caller is answered", self._is_confirmed, site=self.site)
        for name in (ENTRY, SERVICE):
            url = f"{self.site.daemons[name].http}/healthz"
            await until(name, lambda url=url: self._is_served(url), site=self.site)

    async def finish(self) -> None:
        """End all processes."""
        await self.session.close()
        await asyncio.to_thread(self.site.stop)

    def sample(self) -> Footprint:
        """Return what the process holds now."""
        daemon = self.site.daemons[self.name]
        ports = (_port(daemon.http), _port(daemon.link))
        return footprint(daemon.process.pid, ports)

    def lives(self) -> bool:
        """Return whether the process has not ended."""
        return self.site.daemons[self.name].process.poll() is None

    def print_logs(self) -> None:
        """Print the end of the process's log."""
        print((self.site.folder / f"{self.name}.log").read_text()[-LOG_SHOWN:])

    async def _is_served(self, url: str) -> bool:
        async with self.session.get(url) as response:
            return response.status == 200

    async def _is_confirmed(self) -> bool:
        url = self.site.daemons[ENTRY].http + CALLER.path
        async with self.session.post(url, headers=dict(CALLER.headers)) as response:
            return response.status == 200


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


class DaemonCrowdCase(CrowdCase):
    name = ENTRY

    def new_site(self) -> CrowdedSite:
        return DaemonSite(self.name)

    def address(self, site: Any) -> str:
        return str(site.site.daemons[self.name].http.removeprefix("http://"))


@shape_tests((*OF_MANY, "bodies_ahead", "requests_ahead"), MANY_CONNECTIONS)
@shape_tests(EACH_SHAPE)
class NativeEntryCrowdTests(DaemonCrowdCase):
    ask = CALLER


@shape_tests(OF_MANY, MANY_CONNECTIONS)
@shape_tests(WITHOUT_CALLERS)
class PushCrowdTests(DaemonCrowdCase):
    ask = PUSH


@shape_tests(OF_MANY, MANY_CONNECTIONS)
@shape_tests(WITHOUT_CALLERS)
class AgentCrowdTests(DaemonCrowdCase):
    name = SERVICE
    ask = PROBE


@shape_tests((*OF_MANY, "frame"), MANY_CONNECTIONS)
@shape_tests(("frame", "zeros", "header_lines", "header_line"))
class NativeLinkCrowdTests(DaemonCrowdCase):
    ask = LINK

    def address(self, site: Any) -> str:
        return str(site.site.daemons[self.name].link)
