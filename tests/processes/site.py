# SPDX-License-Identifier: Apache-2.0
"""Running site for tests that need real processes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from ochreway_standins.bench import HEADERS, roll
from ochreway_standins.site import OPERATOR_TOKEN, Site, bundle_text, running_site, until

ENGINES = [f"engine-{number}" for number in range(1, 4)]
SERVICES = ["roster-1", "roster-2"]
Scenario = Callable[["RunningSite"], Awaitable[None]]


class RunningSite:
    """Access a running site as its callers and operators do."""

    def __init__(self, site: Site, session: aiohttp.ClientSession) -> None:
        self.site = site
        self.session = session

    def url(self, path: str, entry: str = "entry-1") -> str:
        return self.site.daemons[entry].http + path

    async def post(
        self, path: str, entry: str = "entry-1", **more: Any
    ) -> tuple[int, dict[str, Any], dict[str, str]]:
        headers = {**HEADERS, **more.pop("headers", {})}
        async with self.session.post(self.url(path, entry), headers=headers, **more) as response:
            content = await response.json(content_type=None)
            names = {name.lower(): value for name, value in response.headers.items()}
            return response.status, content, names

    async def confirm(self, visit: str, entry: str = "entry-1", key: str = "") -> tuple[int, Any]:
        headers = {"Idempotency-Key": key} if key else {}
        path = f"/services/roster/visits/{visit}/confirm"
        status, content, _ = await self.post(path, entry, headers=headers)
        return status, content

    async def wait_for_key_homes(self, entry: str) -> None:
        """Wait until an entry can claim a key, which needs answers from the key's homes."""
        tries = iter(range(1000))

        async def won() -> bool:
            number = next(tries)
            return (await self.confirm(f"warm-{number}", entry, f"warm-{number}"))[0] == 200

        await until("the homes of keys answer", won, site=self.site)

    async def confirmed(self, visit: str) -> int:
        counts = []
        for name in SERVICES:
            target = self.site.daemons[name].target
            async with self.session.get(f"{target}/confirmed") as response:
                counts.append((await response.json()).get(visit, 0))
        return sum(counts)

    async def stream(self, tokens: int, entry: str = "entry-1") -> bytes:
        body = {"model": "care-planner", "prompt": "p", "max_tokens": tokens, "stream": True}
        url = self.url("/v1/completions", entry)
        async with self.session.post(url, json=body, headers=HEADERS) as response:
            return await response.read()

    async def status(self, entry: str = "entry-1") -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with self.session.get(self.url("/operator/status", entry), headers=headers) as reply:
            status_content: dict[str, Any] = await reply.json()
            return status_content

    async def gate(self, group: str, entry: str = "entry-1") -> str:
        replicas = (await self.status(entry))["replicas"]
        return next((each["gate"] for each in replicas if each["group"] == group), "gone")

    async def wait_for_gate(self, group: str, gate: str, entry: str = "entry-1") -> None:
        async def check() -> bool:
            return await self.gate(group, entry) == gate

        await until(f"{group} is {gate}", check, site=self.site)


def run_on_site(scenario: Scenario, entries: int = 2, more: str = "", **given: Any) -> None:
    """Run a scenario against two entries, a group of three and two services."""

    async def run() -> None:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            with running_site(Site(load_s=0.2, **given)) as site:
                await _start(site, session, entries, more)
                await scenario(RunningSite(site, session))

    asyncio.run(run())


async def _start(site: Site, session: aiohttp.ClientSession, entries: int, more: str) -> None:
    site.start_platform()

    async def answers(url: str) -> bool:
        async with session.get(url) as response:
            return response.status == 200

    await until("platform", lambda: answers(site.platform_url + "/counts"), site=site)
    for number in range(1, entries + 1):
        site.start_entry(f"entry-{number}")
    for name in ENGINES:
        site.start_engine(name)
    for name in SERVICES:
        site.start_service(name)
    for daemon in list(site.daemons.values()):
        if daemon.link:
            await until(daemon.name, lambda url=daemon.http + "/healthz": answers(url), site=site)
    await site.publish_list(session)
    await roll(site, session, bundle_text(ENGINES, SERVICES, 1, "1", more))
    running = RunningSite(site, session)
    for number in range(1, entries + 1):
        for group in ("care-0", "roster-0", "roster-1"):
            await running.wait_for_gate(group, "none", f"entry-{number}")
