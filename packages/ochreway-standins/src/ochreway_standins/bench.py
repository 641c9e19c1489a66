# SPDX-License-Identifier: Apache-2.0
"""What entry and agent add to a call, and how many tokens they carry.

Traffic goes to loopback only and every loop is bounded.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp
import click
from hdrh.histogram import HdrHistogram

from ochreway_standins.procstat import cpu_s, memory_mb
from ochreway_standins.site import CALLER_TOKEN, Site, bundle_text, running_site, until

ENGINES = ["engine-1", "engine-2", "engine-3"]
SERVICES = ["roster-1"]
HEADERS = {"Authorization": f"Bearer {CALLER_TOKEN}"}
CALLS = 1500
STREAMS = 64
TOKENS_PER_STREAM = 4000
Call = Callable[[], Awaitable[None]]


async def ready_site(site: Site, session: aiohttp.ClientSession, *entry_more: str) -> None:
    """Start one entry, one group of three and a service, with a bundle in force."""
    site.start_platform()
    await until("platform", lambda: _answers(session, site.platform_url + "/counts"), site=site)
    site.start_entry("entry-1", *entry_more)
    for name in ENGINES:
        site.start_engine(name)
    for name in SERVICES:
        site.start_service(name)
    for daemon in list(site.daemons.values()):
        if daemon.link:
            await until(
                daemon.name, partial(_answers, session, daemon.http + "/healthz"), site=site
            )
    await site.publish_list(session)
    await roll(site, session, bundle_text(ENGINES, SERVICES, 1, "1"))


async def _answers(session: aiohttp.ClientSession, url: str) -> bool:
    async with session.get(url) as response:
        return response.status == 200


async def roll(site: Site, session: aiohttp.ClientSession, body: str) -> None:
    """Submit, sign off and roll a bundle, and wait until it serves."""
    path = site.write_bundle("bundle.toml", body)
    key = site.folder / "bo.key"
    key.write_text(site.keys.private)

    def command(*arguments: str, operator: str = "ann") -> str:
        done = site.command(*arguments, operator=operator)
        if done.returncode:
            raise RuntimeError(f"{arguments}: {done.stdout}{done.stderr}")
        return done.stdout

    digest = (await asyncio.to_thread(command, "bundle", "submit", str(path))).split()[0]
    approve = ("bundle", "approve", digest, "--key-file", str(key))
    await asyncio.to_thread(lambda: command(*approve, operator="bo"))
    await asyncio.to_thread(command, "roll", "start", digest)
    await asyncio.to_thread(command, "roll", "watch", "--timeout-s", "30")
    await asyncio.sleep(1.5)


def completion(tokens: int, stream: bool) -> dict[str, Any]:
    """Return a completion request's body."""
    prompt = "Summarise the handover notes."
    return {"model": "care-planner", "prompt": prompt, "max_tokens": tokens, "stream": stream}


async def latencies_ms(call: Call, calls: int, in_flight: int) -> HdrHistogram:
    """Time calls with so many in flight."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    left = [calls]

    async def worker() -> None:
        while left[0] > 0:
            left[0] -= 1
            began_s = time.perf_counter()
            await call()
            histogram.record_value(int((time.perf_counter() - began_s) * 1e6))

    await asyncio.gather(*(worker() for _ in range(in_flight)))
    return histogram


def _post(session: aiohttp.ClientSession, url: str, body: dict[str, Any]) -> Call:
    async def call() -> None:
        async with session.post(url, json=body, headers=HEADERS) as response:
            await response.read()
            if response.status != 200:
                raise RuntimeError(f"status {response.status}: {await response.text()}")

    return call


async def bench_latency(site: Site, session: aiohttp.ClientSession) -> None:
    """Print what entry and agent add, against calling the target directly."""
    body = completion(1, stream=False)
    entry = site.daemons["entry-1"].http + "/v1/completions"
    direct = site.daemons["engine-1"].target + "/v1/completions"
    for in_flight in (1, 64):
        await latencies_ms(_post(session, entry, body), 200, in_flight)
        straight = await latencies_ms(_post(session, direct, body), CALLS, in_flight)
        pids = [site.daemons[name].process.pid for name in ("entry-1", "engine-1")]
        before = [cpu_s(pid) for pid in pids]
        through = await latencies_ms(_post(session, entry, body), CALLS, in_flight)
        used = [cpu_s(pid) - early for pid, early in zip(pids, before, strict=True)]
        print(
            f"processor in_flight={in_flight} entry_us_per_call={used[0] / CALLS * 1e6:.0f}"
            f" leader_us_per_call={used[1] / CALLS * 1e6:.0f}"
        )
        for percentile in (50, 99):
            base_ms = straight.get_value_at_percentile(percentile) / 1000
            full_ms = through.get_value_at_percentile(percentile) / 1000
            print(
                f"latency in_flight={in_flight} p{percentile}_direct_ms={base_ms:.2f}"
                f" p{percentile}_through_ms={full_ms:.2f}"
                f" p{percentile}_added_ms={full_ms - base_ms:.2f}"
            )


async def bench_tokens(site: Site, session: aiohttp.ClientSession, label: str) -> None:
    """Print how many tokens a core of the entry and one of the leader carry."""
    entry, leader = site.daemons["entry-1"], site.daemons["engine-1"]
    url = entry.http + "/v1/completions"
    body = completion(TOKENS_PER_STREAM, stream=True)

    async def stream() -> int:
        received = 0
        async with session.post(url, json=body, headers=HEADERS) as response:
            async for piece in response.content.iter_any():
                received += piece.count(b"\n\n")
        return received - 1

    before = [cpu_s(each.process.pid) for each in (entry, leader)]
    began_s = time.perf_counter()
    counts = await asyncio.gather(*(stream() for _ in range(STREAMS)))
    took_s = time.perf_counter() - began_s
    after = [cpu_s(each.process.pid) for each in (entry, leader)]
    tokens = sum(counts)
    used = [late - early for early, late in zip(before, after, strict=True)]
    print(
        f"tokens mode={label} streams={STREAMS} tokens={tokens} seconds={took_s:.2f}"
        f" tokens_per_s={tokens / took_s:.0f}"
        f" tokens_per_entry_core_s={tokens / max(used[0], 0.01):.0f}"
        f" tokens_per_leader_core_s={tokens / max(used[1], 0.01):.0f}"
    )


async def _bench(token_interval_s: float) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        with running_site(Site(load_s=0.1, token_interval_s=0.0)) as site:
            await ready_site(site, session)
            await bench_latency(site, session)
            for name, daemon in site.daemons.items():
                if daemon.link:
                    print(f"memory name={name} resident_mb={memory_mb(daemon.process.pid):.0f}")
        for label, tick_s, together in (
            ("frame_per_token", 0.00001, 1),
            ("frame_per_tick", 0.02, 1),
            ("frame_per_tick_of_bursts", 0.02, 8),
        ):
            site = Site(load_s=0.1, token_interval_s=token_interval_s, tokens_per_event=together)
            site.link_tick_s = tick_s
            with running_site(site):
                await ready_site(site, session)
                await bench_tokens(site, session, label)


@click.command()
@click.option("--token-interval-s", default=0.0005, show_default=True)
def main(token_interval_s: float) -> None:
    """Measure added latency, tokens a second and memory."""
    asyncio.run(_bench(token_interval_s))


if __name__ == "__main__":
    main()
