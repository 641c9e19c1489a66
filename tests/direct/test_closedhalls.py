# SPDX-License-Identifier: Apache-2.0
"""A closed hall gets no new requests; without another one, callers are refused at once."""

import asyncio
import random
from dataclasses import replace

import testtools

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.configuration import RouteKind
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_standins.engineworld import LARGE, SERVICE, SPEC
from tests.direct.relaycase import (
    LAST_CHUNK,
    PLAIN_SERVICE,
    Headers,
    RelayCase,
    RunningRelay,
    complete_response,
    event_chunk,
    stream_response_head,
)

CLOSED, OPEN = HallId("closed"), HallId("open")
BREAKS_S = 0.3


def group(name: str, hall: HallId, *members_in: HallId) -> GroupView:
    leader = InstanceId(f"{name}-leader")
    view = GroupView(GroupId(name), Epoch(1), SERVICE, LARGE.name, leader, "x:1", hall)
    return replace(view, halls=members_in)


def plain(name: str, hall: HallId) -> ListedTarget:
    return ListedTarget(InstanceId(name), PLAIN_SERVICE, "x:1", hall)


class ClosedFleetTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(OPEN, random.Random(1))
        self.fleet.set_closed_halls(frozenset({CLOSED}))

    def picked(self) -> str | None:
        choice = self.fleet.pick_group(SERVICE, LARGE.name, (), SPEC, 3)
        return choice.group if choice is not None else None

    def test_a_group_with_any_member_in_the_hall_gets_nothing(self) -> None:
        self.fleet.set_groups((group("there", CLOSED), group("partly", OPEN, OPEN, CLOSED)))
        self.assertIsNone(self.picked())
        self.fleet.set_groups((*self.fleet._groups.values(), group("here", OPEN, OPEN)))
        self.assertEqual({"here"}, {self.picked() for _ in range(20)})

    def test_a_plain_target_in_the_hall_gets_nothing(self) -> None:
        self.fleet.set_targets((plain("there", CLOSED), plain("here", OPEN)))
        chosen = {self.fleet.pick_target(PLAIN_SERVICE, ()) for _ in range(20)}
        self.assertEqual({"here"}, {each.instance for each in chosen if each is not None})
        self.assertIsNone(self.fleet.pick_target(PLAIN_SERVICE, (InstanceId("here"),)))

    def test_a_hall_that_is_open_again_is_used_at_once(self) -> None:
        self.fleet.set_groups((group("there", CLOSED),))
        self.fleet.set_closed_halls(frozenset())
        self.assertEqual("there", self.picked())

    def test_all_halls_are_closed_only_where_a_target_exists_and_none_outside(self) -> None:
        self.assertFalse(self.fleet.all_halls_closed(SERVICE, LARGE.name))
        self.fleet.set_groups((group("there", CLOSED),))
        self.assertTrue(self.fleet.all_halls_closed(SERVICE, LARGE.name))
        self.assertFalse(self.fleet.all_halls_closed(PLAIN_SERVICE, None))
        self.fleet.set_groups((group("there", CLOSED), group("here", OPEN)))
        self.assertFalse(self.fleet.all_halls_closed(SERVICE, LARGE.name))
        self.assertTrue(self.fleet.all_halls_closed(SERVICE, LARGE.name, frozenset({CLOSED})))


class ClosedRelayTests(RelayCase):
    tuning = RelayTuning(max_wait_share=5.0)

    def test_with_every_target_in_a_closed_hall_a_caller_is_refused_at_once_as_not_run(
        self,
    ) -> None:
        async def work(running: RunningRelay) -> None:
            (target,) = running.fleet._targets.values()
            running.fleet.set_closed_halls(frozenset({target.hall}))
            begun_s = asyncio.get_running_loop().time()
            answer = await running.send_request()
            self.assertLess(asyncio.get_running_loop().time() - begun_s, 0.5)
            self.assertEqual((503, b"hall_drained\n"), (answer.status, answer.body))
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertEqual([], running.targets[0].seen)

        async def good(headers: Headers, writer: asyncio.StreamWriter) -> None:
            writer.write(complete_response(headers, "fine"))

        self.run_with_relay(work, good)


class ClosedStreamTests(RelayCase):
    kind = RouteKind.STREAM
    resumable = True

    def closing(self, breaks: bool) -> tuple[bytes, list[int]]:
        """Close the first target's hall while it answers; return the answer and each run count."""
        results: list[tuple[bytes, list[int]]] = []

        async def first(headers: Headers, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_response_head(headers) + event_chunk(1))
            await writer.drain()
            await asyncio.sleep(BREAKS_S)
            if breaks:
                writer.close()
                return
            writer.write(event_chunk(2) + event_chunk(3) + LAST_CHUNK)

        async def other(headers: Headers, writer: asyncio.StreamWriter) -> None:
            begin = int(headers["after"]) + 1
            pieces = b"".join(event_chunk(number) for number in range(begin, 4))
            writer.write(stream_response_head(headers) + pieces + LAST_CHUNK)

        async def work(running: RunningRelay) -> None:
            groups = list(running.fleet._groups.values())
            halls = (CLOSED, CLOSED, OPEN)
            moved = [replace(each, hall=hall) for each, hall in zip(groups, halls, strict=True)]
            running.fleet.set_groups(moved)
            asking = asyncio.ensure_future(running.send_request())
            await asyncio.sleep(BREAKS_S / 2)
            running.fleet.set_closed_halls(frozenset({CLOSED}))
            answer = await asking
            self.assertFalse(answer.broken)
            results.append((answer.body, [len(target.seen) for target in running.targets]))

        self.run_with_relay(work, first, other, other)
        return results[0]

    def test_requests_under_way_in_a_closed_hall_are_not_interrupted(self) -> None:
        body, runs = self.closing(breaks=False)
        self.assertEqual(([1, 0, 0], 3), (runs, body.count(b"data:")))

    def test_a_stream_that_breaks_in_a_closed_hall_resumes_outside(self) -> None:
        body, runs = self.closing(breaks=True)
        self.assertEqual(([1, 0, 1], 3), (runs, body.count(b"data:")))
