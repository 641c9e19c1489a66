# SPDX-License-Identifier: Apache-2.0
"""Backoff requested by a target with an agent: the target must receive nothing in the meantime.

``platform/tests/test_backoff.py`` describes the incident and its cause. With agents, a target that
rejected work with a Retry-After received the next request, state query and order at once, and its
503 was forwarded as an answer although another replica of the service was free.
"""

import asyncio
from typing import Any

import testtools

from ochreway_standins.site import until
from ochreway_standins.turningaway import CONTROL
from tests.processes.site import ENGINES, SERVICES, RunningSite, run_on_site

REQUESTED_BACKOFF_S = 2.0
IN_FLIGHT_S = 0.5
MAX_EARLY_REQUESTS = 2
PAUSE_S = 0.05
CALLERS = 8
WORK_S = 0.1
LEAVE_TIMEOUT_S = 2.0


async def configure_target(running: RunningSite, name: str, **wanted: Any) -> None:
    target = running.site.daemons[name].target
    async with running.session.post(target + CONTROL, json=wanted) as response:
        response.raise_for_status()


async def arrivals(running: RunningSite, name: str) -> list[dict[str, Any]]:
    async with running.session.get(running.site.daemons[name].target + CONTROL) as response:
        found: list[dict[str, Any]] = await response.json()
        return found


async def early_arrivals(running: RunningSite, name: str) -> list[int]:
    """Return the number of arrivals in each backoff that received more than is allowed."""
    came = await arrivals(running, name)
    spans = [
        (each["at_s"] + IN_FLIGHT_S, each["at_s"] + each["asked_s"])
        for each in came
        if each["asked_s"] is not None
    ]
    counts = [sum(since < each["at_s"] < until_s for each in came) for since, until_s in spans]
    return [count for count in counts if count > MAX_EARLY_REQUESTS]


async def confirm_for(running: RunningSite, for_s: float) -> list[tuple[int, Any]]:
    """Let several callers confirm visits at both entries for a time."""
    end_s = asyncio.get_running_loop().time() + for_s
    found: list[tuple[int, Any]] = []

    async def confirm(caller: int) -> None:
        while asyncio.get_running_loop().time() < end_s:
            entry = f"entry-{1 + caller % 2}"
            found.append(await running.confirm(f"visit-{len(found)}", entry))
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(confirm(caller) for caller in range(CALLERS)))
    return found


async def busier_service(running: RunningSite) -> str:
    """Return the service that currently receives more requests."""
    await confirm_for(running, PAUSE_S)
    sent = {name: confirmations(await arrivals(running, name)) for name in SERVICES}
    return max(SERVICES, key=lambda name: sent[name])


def confirmations(came: list[dict[str, Any]]) -> int:
    return sum(each["path"].endswith("/confirm") for each in came)


class BackoffTests(testtools.TestCase):
    def test_a_service_is_left_alone_and_another_replica_serves(self) -> None:
        async def scenario(running: RunningSite) -> None:
            chosen = await busier_service(running)
            await configure_target(running, chosen, asks_s=REQUESTED_BACKOFF_S)
            answers = await confirm_for(running, 2 * REQUESTED_BACKOFF_S)
            self.assertEqual([], [each for each in answers if each[0] != 200])
            self.assertEqual([], await early_arrivals(running, chosen))
            await configure_target(running, chosen)
            since = len(await arrivals(running, chosen))

            async def used_again() -> bool:
                await confirm_for(running, PAUSE_S)
                return confirmations((await arrivals(running, chosen))[since:]) > 0

            await until("the service is used again", used_again, site=running.site)

        run_on_site(scenario, service_work_s=WORK_S)

    def test_callers_whom_no_replica_takes_are_told_when_one_will(self) -> None:
        async def scenario(running: RunningSite) -> None:
            for name in SERVICES:
                await configure_target(running, name, asks_s=REQUESTED_BACKOFF_S)
            await confirm_for(running, IN_FLIGHT_S)
            path = "/services/roster/visits/late/confirm"
            status, content, headers = await running.post(path)
            error = content["error"]
            self.assertEqual(
                (503, "not_run", "backoff"), (status, error["outcome"], error["reason"])
            )
            self.assertTrue(0.0 < float(headers["retry-after"]) <= REQUESTED_BACKOFF_S)
            for name in SERVICES:
                self.assertEqual([], await early_arrivals(running, name))

        run_on_site(scenario, service_work_s=WORK_S)

    def test_a_group_is_left_alone_as_its_leader_asks_and_serves_afterwards(self) -> None:
        async def scenario(running: RunningSite) -> None:
            for name in ENGINES:
                await configure_target(running, name, asks_s=REQUESTED_BACKOFF_S)
            for _ in range(10):
                self.assertIn(b"not_run", await running.stream(3))
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(REQUESTED_BACKOFF_S)
            for name in ENGINES:
                self.assertEqual([], await early_arrivals(running, name))
                await configure_target(running, name)

            async def served() -> bool:
                return (await running.stream(3)).endswith(b"data: [DONE]\n\n")

            await until("the group serves", served, site=running.site)

        run_on_site(scenario, service_work_s=WORK_S)

    def test_a_target_that_says_it_leaves_gets_no_more(self) -> None:
        async def scenario(running: RunningSite) -> None:
            chosen = await busier_service(running)
            await configure_target(running, chosen, leaving=True)
            await confirm_for(running, LEAVE_TIMEOUT_S)
            since = len(await arrivals(running, chosen))
            answers = await confirm_for(running, LEAVE_TIMEOUT_S)
            self.assertEqual([], [each for each in answers if each[0] != 200])
            self.assertEqual(0, confirmations((await arrivals(running, chosen))[since:]))

        run_on_site(scenario, service_work_s=WORK_S)
