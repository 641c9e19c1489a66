# SPDX-License-Identifier: Apache-2.0
"""HTTP interface for callers: which requests are refused, and with which answers."""

import asyncio
import json
import socket

import testtools

from ochreway_standins.bench import HEADERS
from ochreway_standins.engine import Engine
from ochreway_standins.platformserver import serve
from ochreway_standins.site import free_port, until
from tests.processes.site import RunningSite, run_on_site

GOOD = {"model": "care-planner", "prompt": "p", "max_tokens": 2}


class CallerTests(testtools.TestCase):
    def test_bad_input_gets_a_clear_answer_each(self) -> None:
        async def scenario(running: RunningSite) -> None:
            await self._bad_bodies(running)
            await self._bad_headers(running)
            await self._bad_addresses(running)
            await self._good(running)

        run_on_site(scenario, entries=1)

    async def _refused(
        self, running: RunningSite, path: str, **more: object
    ) -> tuple[int, str, str]:
        status, content, _ = await running.post(path, **more)
        error = content["error"]
        self.assertEqual("not_run", error["outcome"])
        return status, error["reason"], error["message"]

    async def _bad_bodies(self, running: RunningSite) -> None:
        path = "/v1/chat/completions"
        cases = (
            (b"{", "not JSON"),
            (b"[1]", "JSON object"),
            (json.dumps({"messages": []}).encode(), "model must be given"),
            (json.dumps({"model": "care-planner", "messages": []}).encode(), "messages must"),
            (json.dumps({"model": "care-planner", "messages": ["x"]}).encode(), "role"),
            (
                b'{"model": "care-planner", "messages": [{"role": "user"}], "max_tokens": 0}',
                "above 0",
            ),
            (b'{"model": "care-planner", "messages": [{"role": "u"}], "stream": 1}', "stream must"),
        )
        for body, expected in cases:
            status, reason, message = await self._refused(running, path, data=body)
            self.assertEqual((400, "bad_request"), (status, reason))
            self.assertIn(expected, message)
        huge = b"x" * (9 * 1024 * 1024)
        self.assertEqual((413, "too_large"), (await self._refused(running, path, data=huge))[:2])

    async def _bad_headers(self, running: RunningSite) -> None:
        cases = (
            ({"X-Deadline-Ms": "soon"}, "X-Deadline-Ms"),
            ({"X-Deadline-Ms": "0"}, "X-Deadline-Ms"),
            ({"X-Priority": "first"}, "X-Priority"),
            ({"X-Repeatable": "perhaps"}, "X-Repeatable"),
            ({"Idempotency-Key": "k" * 300}, "Idempotency-Key"),
            ({"X-Key-Issued-Ms": "now"}, "X-Key-Issued-Ms"),
        )
        for headers, expected in cases:
            status, _, message = await self._refused(
                running, "/v1/completions", json=GOOD, headers=headers
            )
            self.assertEqual(400, status)
            self.assertIn(expected, message)
        wrong = {"Authorization": "Bearer wrong"}
        found = await self._refused(running, "/v1/completions", json=GOOD, headers=wrong)
        self.assertEqual((401, "unauthorised"), found[:2])
        async with running.session.post(
            running.url("/v1/completions"), headers={**HEADERS, "X-Long": "h" * 40_000}, json=GOOD
        ) as response:
            self.assertEqual(431, response.status)

    async def _bad_addresses(self, running: RunningSite) -> None:
        unknown = {**GOOD, "model": "nobody"}
        found = await self._refused(running, "/v1/completions", json=unknown)
        self.assertEqual((404, "unknown_target"), found[:2])
        found = await self._refused(running, "/services/nobody/x")
        self.assertEqual((404, "unknown_target"), found[:2])

    async def _good(self, running: RunningSite) -> None:
        status, content, headers = await running.post("/v1/completions", json=GOOD)
        self.assertEqual((200, "care care "), (status, content["choices"][0]["text"]))
        self.assertIn("x-request-id", headers)
        async with running.session.get(running.url("/v1/models"), headers=HEADERS) as response:
            models = (await response.json())["data"]
        self.assertEqual(["care-planner"], [model["id"] for model in models])

    def test_caller_gone_cancels_the_engines_work(self) -> None:
        async def scenario(running: RunningSite) -> None:
            body = {**GOOD, "max_tokens": 10_000, "stream": True}
            url = running.url("/v1/completions")
            async with running.session.post(url, json=body, headers=HEADERS) as response:
                await response.content.readany()
                response.close()

            async def cancelled() -> bool:
                counts = []
                for name in ("engine-1", "engine-2", "engine-3"):
                    target = running.site.daemons[name].target
                    async with running.session.get(f"{target}/runs") as reply:
                        counts.append((await reply.json())["cancelled"])
                return sum(counts) == 1

            await until("the engine was told", cancelled)

        run_on_site(scenario, entries=1)

    def test_slow_caller_stalls_nobody_else(self) -> None:
        async def scenario(running: RunningSite) -> None:
            host, _, port = running.url("").removeprefix("http://").rpartition(":")
            body = json.dumps({**GOOD, "max_tokens": 200_000, "stream": True}).encode()
            token = HEADERS["Authorization"]
            request = (
                f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: {token}"
                f"\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            with socket.create_connection((host, int(port))) as slow:
                slow.sendall(request + body)
                await asyncio.sleep(1.0)
                quick = await asyncio.wait_for(running.stream(20), 10.0)
                self.assertTrue(quick.endswith(b"data: [DONE]\n\n"))

        run_on_site(scenario, entries=1, token_interval_s=0.0, tokens_per_event=16)

    def test_share_of_the_old_tools_goes_to_their_target(self) -> None:
        port = free_port()
        legacy = f'[model.legacy]\nshare_percent = 100\ntargets = ["http://127.0.0.1:{port}"]\n'

        async def scenario(running: RunningSite) -> None:
            engine = Engine(0.0, 0.0, 1)
            old = asyncio.create_task(serve(engine.application(), port))
            await asyncio.sleep(0.2)
            self.assertTrue((await running.stream(3)).endswith(b"data: [DONE]\n\n"))
            self.assertEqual(1, len(engine.runs))
            old.cancel()

        run_on_site(scenario, entries=1, more=legacy)
