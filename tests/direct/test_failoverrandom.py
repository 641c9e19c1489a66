# SPDX-License-Identifier: Apache-2.0
"""Random silences, refusals, losses and breaks of several targets under many streams."""

import asyncio
import random
import re
from collections import Counter
from dataclasses import dataclass, field

from ochreway_core.ids import GroupId
from ochreway_direct.configuration import RouteKind
from tests.direct.relaycase import (
    LAST_CHUNK,
    Answer,
    Headers,
    RelayCase,
    RunningRelay,
    Script,
    complete_response,
    event_chunk,
    stream_response_head,
)
from tests.direct.test_silenttargets import TUNING, Writer

EVENTS = 6
REQUESTS = 60
TARGETS = 3
SPREAD_S = 3.0
"""Time in which the requests are sent."""
DEADLINE_S = 4.0
TOLERANCE_S = 0.2
PAUSES_S = (*[0.0] * 6, *[0.05] * 6, 0.3, 0.8, 1.4)
NOT_RUN = "503 Service Unavailable"


@dataclass(slots=True)
class Ran:
    """What the targets did with each request."""

    runs: Counter[str] = field(default_factory=Counter)
    broken: set[str] = field(default_factory=set)
    whole: int = 0


def erratic(rng: random.Random, ran: Ran) -> Script:
    """Return a script that turns requests away, is silent or breaks off, each at random."""

    async def script(headers: Headers, writer: Writer) -> None:
        request = headers["request"]
        if rng.random() < 0.25:
            writer.write(complete_response(headers, "full", NOT_RUN, "Not-Run: 1\r\n"))
            return
        ran.runs[request] += 1
        await asyncio.sleep(rng.choice(PAUSES_S))
        writer.write(stream_response_head(headers))
        for number in range(int(headers.get("after", "0")) + 1, EVENTS + 1):
            if rng.random() < 0.02:
                ran.broken.add(request)
                writer.transport.abort()
                return
            writer.write(event_chunk(number))
            await writer.drain()
            await asyncio.sleep(rng.choice(PAUSES_S))
        writer.write(LAST_CHUNK)

    return script


class RandomFailoverTests(RelayCase):
    """Guard against parts that come twice or not at all, and against answers that break off."""

    kind = RouteKind.STREAM
    resumable = True
    tuning = TUNING
    budget = (0.0, 1000.0)

    async def _send(self, running: RunningRelay, rng: random.Random, request: str) -> None:
        await asyncio.sleep(rng.uniform(0.0, SPREAD_S))
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        answer = await running.send_request(Request=request)
        self._check(request, answer, loop.time() - begun_s)

    def _check(self, request: str, answer: Answer, took_s: float) -> None:
        if answer.status != 200:
            return
        numbers = [int(each) for each in re.findall(rb"id: (\d+)\ndata: e\1\n\n", answer.body)]
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers, request)
        if not answer.broken:
            self.assertEqual(EVENTS, len(numbers), request)
            self.ran.whole += 1
        elif request not in self.ran.broken:
            self.assertGreater(took_s, DEADLINE_S - TOLERANCE_S, request)

    async def _lose_groups(self, running: RunningRelay, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(0.2, 0.8))
            running.fleet.abandon(GroupId(f"g{rng.randrange(TARGETS)}"))

    def test_each_answer_is_in_order_and_breaks_off_only_with_its_target(self) -> None:
        for seed in range(1, 4):
            rng = random.Random(seed)
            self.ran = Ran()

            async def work(running: RunningRelay, rng: random.Random = rng) -> None:
                running.budget.balance = 1000.0
                losing = asyncio.create_task(self._lose_groups(running, rng))
                requests = [f"r{number}" for number in range(REQUESTS)]
                await asyncio.gather(*(self._send(running, rng, each) for each in requests))
                losing.cancel()
                await asyncio.sleep(0.1)
                self.assertEqual(Counter(), running.fleet.under_way())
                self.assertLessEqual(max(self.ran.runs.values()), self.attempts)
                self.assertGreater(self.ran.whole, REQUESTS // 2)
                self.assertGreater(
                    list(self.ran.runs.values()).count(self.attempts), REQUESTS // 10
                )

            scripts = [erratic(rng, self.ran) for _ in range(TARGETS)]
            self.run_with_relay(work, *scripts)


class QueuedRandomFailoverTests(RandomFailoverTests):
    queued = True
