# SPDX-License-Identifier: Apache-2.0
"""The operators' command drains a hall of real processes and restores it."""

import asyncio
import json
import subprocess
from typing import Any

import testtools

from ochreway_standins.bench import roll
from ochreway_standins.site import bundle_text, until
from tests.processes.site import ENGINES, SERVICES, RunningSite, run_on_site

DRAINED_HALL = "hall-2"
DRAINED_ENGINE = "engine-3"
SPARE_ENGINE = "engine-4"
EXIT_NOT_FOUND = 4


class HallTests(testtools.TestCase):
    async def place_engines(self, running: RunningSite) -> None:
        """Place one member into a hall of its own and start a spare in the other hall."""
        site = running.site
        site.start_engine(SPARE_ENGINE)
        for listed in site.listed:
            listed["hall"] = DRAINED_HALL if listed["name"] == DRAINED_ENGINE else "hall-1"
        await site.publish_list(running.session)
        await roll(site, running.session, bundle_text([*ENGINES, SPARE_ENGINE], SERVICES, 1, "1"))

        async def placed() -> bool:
            return await self.groups_in_drained_hall(running) == {"entry-1": 1, "entry-2": 1}

        await until("the group is seen in its halls", placed, site=site)

    async def groups_in_drained_hall(self, running: RunningSite) -> dict[str, int]:
        found = {}
        for entry in ("entry-1", "entry-2"):
            halls = (await running.status(entry))["halls"]
            found[entry] = halls["groups"].get(DRAINED_HALL, 0)
        return found

    async def command(
        self, running: RunningSite, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        return await asyncio.to_thread(running.site.command, *arguments)

    async def listed(self, running: RunningSite) -> dict[str, Any]:
        """Return the command's listing of the drained hall."""
        done = await self.command(running, "--json", "hall", "list")
        self.assertEqual(0, done.returncode, done.stderr)
        halls = {each["hall"]: each for each in json.loads(done.stdout)["halls"]}
        self.assertEqual({"hall-1", DRAINED_HALL}, set(halls))
        found: dict[str, Any] = halls[DRAINED_HALL]
        return found

    def test_a_hall_is_emptied_while_its_model_is_served_on_and_is_used_again(self) -> None:
        async def scenario(running: RunningSite) -> None:
            await self.place_engines(running)
            self.assertEqual((1, False), self.state(await self.listed(running)))
            done = await self.command(
                running, "hall", "drain", DRAINED_HALL, "--wait", "--timeout-s", "30"
            )
            self.assertEqual(0, done.returncode, done.stdout + done.stderr)
            self.assertIn(f"drained: {DRAINED_HALL} (version 1)", done.stdout)
            self.assertIn("empty=True", done.stdout.splitlines()[-1])
            self.assertEqual((0, True), self.state(await self.listed(running)))
            await running.wait_for_gate("care-0", "none")
            self.assertTrue((await running.stream(3)).endswith(b"data: [DONE]\n\n"))

            done = await self.command(running, "hall", "restore", DRAINED_HALL)
            self.assertIn("drained: none (version 2)", done.stdout)
            two = [*ENGINES[1:], SPARE_ENGINE]
            await roll(running.site, running.session, bundle_text(two, SERVICES, 1, "1"))

            async def used_again() -> bool:
                return await self.groups_in_drained_hall(running) == {"entry-1": 1, "entry-2": 1}

            await until("the hall is used again", used_again, site=running.site)

        run_on_site(scenario)

    def state(self, listed: dict[str, Any]) -> tuple[int, bool]:
        return listed["groups"], listed["drained"]

    def test_an_unknown_hall_is_refused(self) -> None:
        async def scenario(running: RunningSite) -> None:
            for change in ("drain", "restore"):
                done = await self.command(running, "hall", change, "cellar")
                self.assertEqual(EXIT_NOT_FOUND, done.returncode)
                self.assertIn("halls: hall-1", done.stderr)

        run_on_site(scenario)
