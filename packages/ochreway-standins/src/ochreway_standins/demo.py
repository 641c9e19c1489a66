# SPDX-License-Identifier: Apache-2.0
"""The demo: the main job from end to end, as separate processes."""

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp

from ochreway_standins.site import CALLER_TOKEN, Site, bundle_text, running_site, until

ENGINES = [f"engine-{number}" for number in range(1, 7)]
SERVICES = ["roster-1"]
ENTRIES = ["entry-1", "entry-2"]
STREAM_TOKENS = 200
Step = Callable[[], Awaitable[dict[str, Any]]]


class StepFailed(Exception):
    """A step of the demo did not go as it should."""


class Demo:
    """Walk through the main job, a printed line a step."""

    def __init__(self, site: Site, session: aiohttp.ClientSession) -> None:
        self._site = site
        self._session = session
        self._headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
        self.served = 0
        self.refused = 0

    async def run(self) -> None:
        """Do every step."""
        await self._step("start", self._start)
        await self._step("bundle", lambda: self._submit("v1.toml", "2026-11"))
        await self._step("roll", self._roll)
        await self._step("ready", self._wait_ready)
        for entry in ENTRIES:
            await self._step(f"stream_{entry}", partial(self._stream, entry, 20))
            await self._step(f"confirm_{entry}", partial(self._confirm, entry))
            await self._step(f"refusal_{entry}", partial(self._refusal, entry))
        await self._step("roll_under_stream", self._roll_under_stream)
        await self._step("status", self._status)

    async def _step(self, name: str, step: Step) -> None:
        began_s = time.monotonic()
        found = await step()
        pairs = "".join(f" {key}={value}" for key, value in found.items())
        print(f"step={name} seconds={time.monotonic() - began_s:.3f}{pairs}", flush=True)

    async def _start(self) -> dict[str, Any]:
        site = self._site
        site.start_platform()
        for name in ENTRIES:
            site.start_entry(name)
        for name in ENGINES:
            site.start_engine(name)
        for name in SERVICES:
            site.start_service(name)
        for daemon in list(site.daemons.values()):
            path = "/healthz" if daemon.link else "/"
            await until(f"{daemon.name} answers", partial(self._answers, daemon.http + path))
        await site.publish_list(self._session)
        return {"processes": len(site.daemons)}

    async def _answers(self, url: str) -> bool:
        async with self._session.get(url) as response:
            return response.status < 500

    def _command(self, *arguments: str, operator: str = "ann") -> dict[str, Any]:
        done = self._site.command("--json", *arguments, operator=operator)
        if done.returncode != 0:
            raise StepFailed(f"{arguments}: exit {done.returncode}: {done.stdout}{done.stderr}")
        content: dict[str, Any] = json.loads(done.stdout.strip().splitlines()[-1])
        return content

    async def _submit(self, name: str, version: str) -> dict[str, Any]:
        path = self._site.write_bundle(name, bundle_text(ENGINES, SERVICES, 2, version))
        key = self._site.folder / "bo.key"
        key.write_text(self._site.keys.private)
        await asyncio.to_thread(self._command, "bundle", "check", str(path))
        made = await asyncio.to_thread(self._command, "bundle", "submit", str(path))
        self._bundle = made["bundle"]
        approve = ("bundle", "approve", self._bundle, "--key-file", str(key))
        await asyncio.to_thread(lambda: self._command(*approve, operator="bo"))
        return {"bundle": self._bundle[:12]}

    async def _roll(self) -> dict[str, Any]:
        done = await asyncio.to_thread(self._command, "roll", "start", self._bundle)
        return {"version": done["version"], "pushed": done["pushed"]}

    async def _wait_ready(self) -> dict[str, Any]:
        watch = ("roll", "watch", "--timeout-s", "30")
        done = await asyncio.to_thread(self._command, *watch)
        for entry in ENTRIES:
            await until(f"{entry} sees the groups", partial(self._sees_groups, entry))
        return {"groups": done["serving"]}

    async def _sees_groups(self, entry: str) -> bool:
        url = f"{self._site.daemons[entry].http}/operator/status"
        headers = {"Authorization": "Bearer operator-token"}
        async with self._session.get(url, headers=headers) as response:
            status = await response.json()
        gates = [replica["gate"] for replica in status["replicas"]]
        return gates == ["none"] * 3

    async def _stream(self, entry: str, tokens: int) -> dict[str, Any]:
        url = f"{self._site.daemons[entry].http}/v1/chat/completions"
        body = {
            "model": "care-planner",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "Draft a plan for the morning visit."}],
        }
        async with self._session.post(url, json=body, headers=self._headers) as response:
            answer = await response.read()
        events = answer.split(b"\n\n")
        if response.status != 200 or events[-2] != b"data: [DONE]" or len(events) != tokens + 2:
            raise StepFailed(f"stream: status {response.status}, {len(events) - 2} tokens")
        self.served += 1
        return {"tokens": tokens}

    async def _confirm(self, entry: str) -> dict[str, Any]:
        url = f"{self._site.daemons[entry].http}/services/roster/visits/{entry}/confirm"
        headers = {**self._headers, "Idempotency-Key": f"visit-{entry}"}
        async with self._session.post(url, headers=headers) as response:
            answer = await response.json()
        if response.status != 200 or not answer.get("confirmed"):
            raise StepFailed(f"confirm: status {response.status} {answer}")
        self.served += 1
        async with self._session.post(url, headers=headers) as response:
            again = await response.json()
        if response.status != 409:
            raise StepFailed(f"the same key was not refused: {response.status} {again}")
        self.refused += 1
        return {"again": again["error"]["reason"]}

    async def _refusal(self, entry: str) -> dict[str, Any]:
        url = f"{self._site.daemons[entry].http}/v1/completions"
        body = {"model": "care-planner", "prompt": "late " * 2000, "max_tokens": 8}
        headers = {**self._headers, "X-Deadline-Ms": "1"}
        async with self._session.post(url, json=body, headers=headers) as response:
            answer = await response.json()
        error = answer.get("error", {})
        if error.get("outcome") != "not_run" or "Retry-After" not in response.headers:
            raise StepFailed(f"not refused: {response.status} {answer}")
        self.refused += 1
        return {"reason": error["reason"], "retry_after_s": response.headers["Retry-After"]}

    async def _roll_under_stream(self) -> dict[str, Any]:
        stream = asyncio.create_task(self._stream(ENTRIES[0], STREAM_TOKENS))
        await asyncio.sleep(0.3)
        await self._submit("v2.toml", "2026-12")
        done = await self._roll()
        await self._wait_ready()
        await stream
        return {"version": done["version"], "stream_tokens": STREAM_TOKENS}

    async def _status(self) -> dict[str, Any]:
        status = await asyncio.to_thread(self._command, "status")
        versions = sorted({entry["version"] for entry in status["entries"]})
        return {"versions": ",".join(map(str, versions))}


async def _demo() -> int:
    began_s = time.monotonic()
    site = Site()
    with running_site(site):
        async with aiohttp.ClientSession() as session:
            demo = Demo(site, session)
            result = "passed"
            try:
                await demo.run()
            except (StepFailed, TimeoutError, aiohttp.ClientError) as fault:
                print(f"fault={str(fault)!r} logs={site.folder}")
                result = "failed"
        killed = site.stop()
    if killed:
        result = "failed"
        print(f"killed={','.join(killed)}")
    seconds = time.monotonic() - began_s
    print(f"demo={result} served={demo.served} refused={demo.refused} seconds={seconds:.1f}")
    return 0 if result == "passed" else 1


def main() -> None:
    """Run the demo."""
    sys.exit(asyncio.run(_demo()))


if __name__ == "__main__":
    main()
