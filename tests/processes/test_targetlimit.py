# SPDX-License-Identifier: Apache-2.0
"""Limits stated by targets with agents, and by legacy targets of the operators' old tools.

``platform/tests/test_targetlimit.py`` describes the incident and its cause. Here too a target that
stated a limit of requests per second received all requests that arrived: 39 and more within 4 s
through its agent where 20 are allowed, and 134 where two entries send directly.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import testtools
from aiohttp import web

from ochreway_standins.site import free_port
from tests.processes.site import ENGINES, SERVICES, RunningSite, run_on_site
from tests.processes.test_backoff import (
    arrivals,
    busier_service,
    configure_target,
    confirm_for,
    confirmations,
)

LIMIT_PER_S = 2.5
LIMIT_WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
SLACK_REQUESTS = 5
"""Bound the excess over its limit that a target may receive in a window: a factor plus requests."""
PROPAGATION_S = 3.0
OBSERVED_S = 8.0
MIN_USED_SHARE = 0.7
"""Minimum share of a limit that is used while callers request more."""
WORK_S = 0.02
PAUSE_S = 0.05


def max_in_window(at_s: list[float]) -> int:
    """Return the maximum number of arrivals in a window."""
    return max(
        (sum(first <= each < first + LIMIT_WINDOW_S for each in at_s) for first in at_s), default=0
    )


def max_allowed(per_s: float) -> float:
    return EXCESS_FACTOR * per_s * LIMIT_WINDOW_S + SLACK_REQUESTS


@dataclass
class LegacyTarget:
    """Legacy target that records arrivals and states a limit."""

    limit_value: str | None = None
    arrivals_s: list[float] = field(default_factory=list)
    port: int = 0

    async def run(self, request: web.Request) -> web.Response:
        self.arrivals_s.append(asyncio.get_running_loop().time())
        headers = {"Request-Limit": self.limit_value} if self.limit_value is not None else {}
        return web.Response(body=b"served", headers=headers)

    async def start(self) -> web.AppRunner:
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.run)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self.port).start()
        return runner


class TargetLimitTests(testtools.TestCase):
    def test_services_get_what_they_named_and_callers_are_told_when_one_takes_more(self) -> None:
        async def scenario(running: RunningSite) -> None:
            for name in SERVICES:
                await configure_target(running, name, limit=str(LIMIT_PER_S))
            await confirm_for(running, PROPAGATION_S)
            since = {name: len(await arrivals(running, name)) for name in SERVICES}
            answers = await confirm_for(running, OBSERVED_S)
            for name in SERVICES:
                came = (await arrivals(running, name))[since[name] :]
                asked = [each["at_s"] for each in came if each["path"].endswith("/confirm")]
                self.assertLessEqual(max_in_window(asked), max_allowed(LIMIT_PER_S))
                self.assertGreaterEqual(len(asked), MIN_USED_SHARE * LIMIT_PER_S * OBSERVED_S)
            refused = [content for status, content in answers if status != 200]
            self.assertGreater(len(refused), 0)
            self.assertEqual({"target_limit"}, {each["error"]["reason"] for each in refused})

        run_on_site(scenario, service_work_s=WORK_S)

    def test_one_service_that_names_a_limit_leaves_callers_to_the_other(self) -> None:
        async def scenario(running: RunningSite) -> None:
            chosen = await busier_service(running)
            other = next(each for each in SERVICES if each != chosen)
            await configure_target(running, chosen, limit=str(LIMIT_PER_S))
            await confirm_for(running, PROPAGATION_S)
            since = len(await arrivals(running, chosen))
            answers = await confirm_for(running, OBSERVED_S)
            self.assertEqual([], [each for each in answers if each[0] != 200])
            came = confirmations((await arrivals(running, chosen))[since:])
            self.assertLessEqual(came, LIMIT_PER_S * OBSERVED_S + SLACK_REQUESTS)
            await configure_target(running, other, limit=str(LIMIT_PER_S))
            await configure_target(running, chosen)
            await confirm_for(running, PROPAGATION_S)
            since = len(await arrivals(running, chosen))
            await confirm_for(running, PROPAGATION_S)
            after = confirmations((await arrivals(running, chosen))[since:])
            self.assertGreater(after, 2 * LIMIT_PER_S * PROPAGATION_S)

        run_on_site(scenario, service_work_s=WORK_S)

    def test_a_group_gets_what_its_leader_named(self) -> None:
        async def scenario(running: RunningSite) -> None:
            for name in ENGINES:
                await configure_target(running, name, limit=str(LIMIT_PER_S))

            async def ask_on(for_s: float) -> list[bytes]:
                end_s = asyncio.get_running_loop().time() + for_s
                found = []
                while asyncio.get_running_loop().time() < end_s:
                    found.append(await running.stream(2))
                    await asyncio.sleep(PAUSE_S)
                return found

            await ask_on(PROPAGATION_S)
            since = {name: len(await arrivals(running, name)) for name in ENGINES}
            answers = await ask_on(OBSERVED_S)
            served = sum(each.endswith(b"data: [DONE]\n\n") for each in answers)
            self.assertGreaterEqual(served, MIN_USED_SHARE * LIMIT_PER_S * OBSERVED_S)
            for name in ENGINES:
                came: list[dict[str, Any]] = (await arrivals(running, name))[since[name] :]
                asked = [each["at_s"] for each in came if "completions" in each["path"]]
                self.assertLessEqual(max_in_window(asked), max_allowed(LIMIT_PER_S))

        run_on_site(scenario, service_work_s=WORK_S)

    def test_a_target_of_old_tools_gets_what_it_named_from_all_entries(self) -> None:
        old = LegacyTarget(limit_value="4", port=free_port())

        async def scenario(running: RunningSite) -> None:
            runner = await old.start()

            async def ask_on(for_s: float, entry: str) -> None:
                end_s = asyncio.get_running_loop().time() + for_s
                while asyncio.get_running_loop().time() < end_s:
                    await running.stream(2, entry)
                    await asyncio.sleep(PAUSE_S)

            entries = ("entry-1", "entry-2")
            await asyncio.gather(*(ask_on(PROPAGATION_S, entry) for entry in entries))
            old.arrivals_s.clear()
            await asyncio.gather(*(ask_on(OBSERVED_S, entry) for entry in entries))
            self.assertLessEqual(max_in_window(old.arrivals_s), max_allowed(4.0))
            self.assertGreaterEqual(len(old.arrivals_s), MIN_USED_SHARE * 4.0 * OBSERVED_S)
            await runner.cleanup()

        legacy = f'[model.legacy]\nshare_percent = 100\ntargets = ["http://127.0.0.1:{old.port}"]\n'
        run_on_site(scenario, more=legacy)
