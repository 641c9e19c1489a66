# SPDX-License-Identifier: Apache-2.0
"""Faults of real processes on loopback: killed, frozen or stopped, or the platform unavailable."""

import asyncio
import signal

import testtools

from ochreway_standins.bench import roll
from ochreway_standins.site import bundle_text, until
from tests.processes.site import ENGINES, SERVICES, RunningSite, run_on_site

FROZEN_S = 4.0


class FaultTests(testtools.TestCase):
    def test_killed_member_closes_the_gate_and_its_replacement_opens_it(self) -> None:
        async def scenario(running: RunningSite) -> None:
            running.site.signal("engine-2", signal.SIGKILL)
            running.site.wait("engine-2")
            await running.wait_for_gate("care-0", "group_incomplete")
            answer = await running.stream(3)
            self.assertIn(b"not_run", answer)
            target = running.site.daemons["engine-2.engine"].http
            running.site.start_agent("engine-2", "model", target)
            await running.site.publish_list(running.session)
            await running.wait_for_gate("care-0", "none")
            self.assertTrue((await running.stream(3)).endswith(b"data: [DONE]\n\n"))

        run_on_site(scenario)

    def test_frozen_leader_wakes_and_admits_only_with_fresh_grants(self) -> None:
        async def scenario(running: RunningSite) -> None:
            status = await running.status()
            leaders = [
                group["members"][0]["node"]
                for entry in (status, await running.status("entry-2"))
                for domain in entry["domains"]
                for group in domain["groups"]
                if group["group"] == "care-0"
            ]
            running.site.signal(leaders[0], signal.SIGSTOP)
            await asyncio.sleep(FROZEN_S)
            running.site.signal(leaders[0], signal.SIGCONT)

            async def served() -> bool:
                answer = await running.stream(3)
                whole = answer.endswith(b"data: [DONE]\n\n")
                self.assertTrue(whole or b"not_run" in answer, answer)
                return whole

            await until("the group serves again", served)

        run_on_site(scenario)

    def test_stop_of_the_leader_cuts_no_stream(self) -> None:
        async def scenario(running: RunningSite) -> None:
            stream = asyncio.create_task(running.stream(60))
            await asyncio.sleep(0.5)
            for name in ENGINES:
                running.site.signal(name, signal.SIGTERM)
            answer = await stream
            self.assertTrue(answer.endswith(b"data: [DONE]\n\n"), answer[-200:])
            self.assertEqual(61, answer.count(b"\n\n"))
            codes = [await asyncio.to_thread(running.site.wait, name) for name in ENGINES]
            self.assertEqual([0, 0, 0], codes)

        run_on_site(scenario)

    def test_stop_of_an_entry_cuts_no_stream(self) -> None:
        async def scenario(running: RunningSite) -> None:
            stream = asyncio.create_task(running.stream(60))
            await asyncio.sleep(0.5)
            running.site.signal("entry-1", signal.SIGTERM)
            await asyncio.sleep(0.3)
            refused, content, _ = await running.post("/v1/completions", json={})
            self.assertEqual((503, "stopping"), (refused, content["error"]["reason"]))
            self.assertTrue((await stream).endswith(b"data: [DONE]\n\n"))
            self.assertEqual(0, await asyncio.to_thread(running.site.wait, "entry-1"))

        run_on_site(scenario)

    def test_same_key_through_two_entries_runs_once(self) -> None:
        async def scenario(running: RunningSite) -> None:
            tries = [
                running.confirm("v1", f"entry-{1 + number % 2}", "the-key") for number in range(10)
            ]
            statuses = sorted(status for status, _ in await asyncio.gather(*tries))
            self.assertEqual(1, await running.confirmed("v1"))
            self.assertLessEqual(statuses.count(200), 1)
            self.assertEqual((409, "key_answered"), await self._reason(running, "v1"))

        run_on_site(scenario)

    async def _reason(self, running: RunningSite, visit: str) -> tuple[int, str]:
        status, content = await running.confirm(visit, "entry-2", "the-key")
        return status, content["error"]["reason"]

    def test_killed_entry_and_a_retry_with_the_key_run_once(self) -> None:
        async def scenario(running: RunningSite) -> None:
            await running.wait_for_key_homes("entry-1")
            first = asyncio.create_task(running.confirm("v2", "entry-1", "key-2"))

            async def begun() -> bool:
                self.assertFalse(first.done(), f"answered too early: {first}")
                return await running.confirmed("v2") == 1

            await until("the service has begun", begun)
            running.site.signal("entry-1", signal.SIGKILL)
            await asyncio.gather(first, return_exceptions=True)
            status, content = await running.confirm("v2", "entry-2", "key-2")
            self.assertEqual((409, "unknown"), (status, content["error"]["outcome"]))
            self.assertEqual(1, await running.confirmed("v2"))

        run_on_site(scenario, service_work_s=1.5)

    def test_everything_goes_on_while_the_platform_is_down(self) -> None:
        async def scenario(running: RunningSite) -> None:
            await running.site.set_mode(running.session, "down")
            await asyncio.sleep(8.0)
            self.assertTrue((await running.stream(3)).endswith(b"data: [DONE]\n\n"))
            self.assertEqual(200, (await running.confirm("v3", "entry-2", "key-3"))[0])
            peer = running.site.daemons["entry-1"].link
            running.site.start_entry("entry-3", "--peer", f"entry-1={peer}")
            await running.wait_for_gate("care-0", "none", "entry-3")
            self.assertTrue((await running.stream(3, "entry-3")).endswith(b"data: [DONE]\n\n"))

        run_on_site(scenario)

    def test_lost_answers_change_nothing_twice(self) -> None:
        async def scenario(running: RunningSite) -> None:
            await running.site.set_mode(running.session, "lossy")
            body = bundle_text(ENGINES, SERVICES, 1, "2")
            rolled = asyncio.create_task(roll(running.site, running.session, body))
            await asyncio.sleep(4.0)
            await running.site.set_mode(running.session, "up")
            await rolled
            self.assertEqual(2, (await running.status())["version"])
            self.assertTrue((await running.stream(3)).endswith(b"data: [DONE]\n\n"))

        run_on_site(scenario)

    def test_of_two_operators_who_race_one_wins_and_the_other_hears_who(self) -> None:
        async def scenario(running: RunningSite) -> None:
            site = running.site
            listed = site.command("--json", "bundle", "list")
            digest = listed.stdout.split('"bundle": "')[1].split('"')[0]
            race = [
                asyncio.to_thread(
                    site.command, "roll", "start", digest, "--seen", "1", operator=name
                )
                for name in ("ann", "cy")
            ]
            done = await asyncio.gather(*race)
            self.assertEqual([0, 5], sorted(each.returncode for each in done))
            loser = next(each for each in done if each.returncode == 5)
            self.assertIn("version 2", loser.stderr)

        run_on_site(scenario)
