# SPDX-License-Identifier: Apache-2.0
import asyncio
from collections import Counter

import testtools

from ochreway_core.ids import NodeId
from ochreway_direct.configuration import RouteKind
from ochreway_direct.relay.freedplaces import FreedPlaces
from ochreway_direct.relay.waitingcalls import WaitingKey
from ochreway_standins.engineworld import LARGE, SERVICE
from tests.direct.relaycase import END, Headers, RelayCase, Running, event, stream_head

KEY = WaitingKey(SERVICE, LARGE.name, None)
OTHER = WaitingKey(SERVICE, None, None)
FIRST_S = "4"
RETURNED_S = "3"


async def stream(headers: Headers, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(headers) + event(1) + END)


class FreedPlacesTests(testtools.TestCase):
    def test_the_rate_follows_what_ends(self) -> None:
        freed = FreedPlaces()
        for number in range(100):
            freed.note(KEY, number / 10)
        self.assertAlmostEqual(10.0, freed.per_s(KEY, 10.0), delta=0.5)
        self.assertLess(freed.per_s(KEY, 20.0), 0.1)
        self.assertEqual(0.0, freed.per_s(OTHER, 10.0))


class PatienceTests(RelayCase):
    kind = RouteKind.STREAM

    def fill(self, running: Running, number: int) -> None:
        running.fleet.set_elsewhere(NodeId("other"), Counter({"g0": number}))

    async def free_soon(self, running: Running) -> None:
        await asyncio.sleep(0.3)
        self.fill(running, 0)

    def test_a_first_caller_is_refused_soon(self) -> None:
        async def work(running: Running) -> None:
            await running.ask(**{"Deadline-S": FIRST_S})
            self.fill(running, 99)
            freeing = asyncio.ensure_future(self.free_soon(running))
            answer = await running.ask(**{"Deadline-S": FIRST_S})
            self.assertEqual((503, b"queue_full\n"), (answer.status, answer.body))
            await freeing

        self.relayed(work, stream)

    def test_one_that_came_back_waits_while_places_are_freed(self) -> None:
        async def work(running: Running) -> None:
            for _ in range(4):
                await running.ask(**{"Deadline-S": FIRST_S})
            self.fill(running, 99)
            freeing = asyncio.ensure_future(self.free_soon(running))
            self.assertEqual(200, (await running.ask(**{"Deadline-S": RETURNED_S})).status)
            await freeing

        self.relayed(work, stream)

    def test_one_that_came_back_is_refused_at_once_where_none_is_freed(self) -> None:
        async def work(running: Running) -> None:
            for _ in range(4):
                await running.ask(**{"Deadline-S": FIRST_S})
            self.fill(running, 99)
            running.relay._patience.freed = FreedPlaces()
            freeing = asyncio.ensure_future(self.free_soon(running))
            self.assertEqual(503, (await running.ask(**{"Deadline-S": RETURNED_S})).status)
            await freeing

        self.relayed(work, stream)

    def test_one_that_came_back_waits_for_a_group_that_is_expected(self) -> None:
        async def work(running: Running) -> None:
            await running.ask(**{"Deadline-S": FIRST_S})
            running.fleet.set_groups([])

            async def regroup() -> None:
                await asyncio.sleep(0.3)
                running.show()

            regrouping = asyncio.ensure_future(regroup())
            self.assertEqual(200, (await running.ask(**{"Deadline-S": RETURNED_S})).status)
            await regrouping

        self.relayed(work, stream)

    def test_those_with_less_time_left_are_served_first(self) -> None:
        async def work(running: Running) -> None:
            for _ in range(8):
                await running.ask(**{"Deadline-S": FIRST_S})
            self.fill(running, 99)
            asking = []
            for name, deadline_s in (("long", "3.6"), ("short", "2.5"), ("middle", "3")):
                more = {"Request": name, "Deadline-S": deadline_s}
                asking.append(asyncio.ensure_future(running.ask(**more)))
            await asyncio.sleep(0.1)
            self.fill(running, 0)
            for answer in await asyncio.gather(*asking):
                self.assertEqual(200, answer.status)
            order = [seen["request"] for seen in running.targets[0].seen[-3:]]
            self.assertEqual(["short", "middle", "long"], order)

        self.relayed(work, stream)
