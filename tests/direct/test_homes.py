# SPDX-License-Identifier: Apache-2.0
"""Where requests bound to home regions go, and where they never do."""

import asyncio
import random
from dataclasses import replace

import testtools

from ochreway_core.ids import (
    DomainId,
    Epoch,
    GroupId,
    HallId,
    InstanceId,
    OrganisationId,
    RegionId,
    Version,
)
from ochreway_direct.configuration import Configuration, Organisation, RouteKind
from ochreway_direct.enginestate import EngineState, MemberPhase, Membership
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.fleets.fleetview import FleetView
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.halls.homecheck import HomeCheck
from ochreway_direct.halls.homes import Homes
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.platformhealth import NEVER_S
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_direct.settings import DirectSettings
from ochreway_direct.versions.freshness import Freshness
from ochreway_runtime.logs import EventLog
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, SPEC, EngineWorld
from tests.direct.relaycase import (
    LAST_CHUNK,
    Headers,
    RelayCase,
    RunningRelay,
    complete_response,
    event_chunk,
    stream_response_head,
)

EAST, WEST, SOUTH = RegionId("east"), RegionId("west"), RegionId("south")
E1, E2, W1, NOWHERE = HallId("e1"), HallId("e2"), HallId("w1"), HallId("n1")
REGION_OF = {E1: EAST, E2: EAST, W1: WEST}
QUEUED = 3
Writer = asyncio.StreamWriter


async def good(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "fine"))


async def cut(headers: Headers, writer: Writer) -> None:
    writer.close()


async def full(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "", "503 Busy", "Not-Run: 1\r\n"))


class HomesTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.homes = Homes(REGION_OF)

    def test_without_homes_any_hall_may_serve(self) -> None:
        self.assertIsNone(self.homes.halls((), ()))

    def test_the_homes_of_either_bind_and_of_both_both_do(self) -> None:
        self.assertEqual({E1, E2}, self.homes.halls((EAST,), ()))
        self.assertEqual({W1}, self.homes.halls((), (WEST,)))
        self.assertEqual({W1}, self.homes.halls((EAST, WEST), (WEST, SOUTH)))

    def test_what_leaves_no_home_leaves_no_hall_rather_than_any(self) -> None:
        for route, organisation in (((EAST,), (WEST,)), ((SOUTH,), ()), ((), (SOUTH,))):
            self.assertEqual(frozenset(), self.homes.halls(route, organisation))

    def test_the_own_region_is_that_of_the_own_hall_unless_all_halls_say_otherwise(self) -> None:
        addresses = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "http://127.0.0.1:4")
        own = DirectSettings("n", "e1", "a", *addresses, region="east")
        self.assertEqual({E1: EAST}, own.region_of)
        listed = replace(own, hall_regions=("e1=west", "w1=west"))
        self.assertEqual({E1: WEST, W1: WEST}, listed.region_of)


class FleetChoiceTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(E1, random.Random(1))

    def group(self, name: str, hall: HallId, *others: HallId) -> GroupView:
        halls = (hall, *others) if others else ()
        leader = InstanceId(f"{name}-leader")
        return GroupView(
            *(GroupId(name), Epoch(1), SERVICE, LARGE.name, leader, "x:1", hall), halls=halls
        )

    def chosen(self, within: frozenset[HallId] | None) -> str | None:
        found = self.fleet.pick_group(SERVICE, LARGE.name, (), SPEC, QUEUED, within=within)
        return found.group if found is not None else None

    def test_a_group_is_within_reach_only_with_all_its_members(self) -> None:
        groups = (self.group("east", E1), self.group("across", E1, W1), self.group("both", E1, E2))
        self.fleet.set_groups(groups)
        places = self.fleet.eligible_groups(SERVICE, LARGE.name, frozenset((E1, E2)))
        self.assertEqual(["east", "both"], [each.group for each in places])
        self.assertEqual(
            ["east"], [g.group for g in self.fleet.eligible_groups(SERVICE, None, {E1})]
        )
        self.assertEqual(3, len(self.fleet.eligible_groups(SERVICE, LARGE.name)))

    def test_what_is_outside_is_chosen_neither_when_idle_nor_alone(self) -> None:
        near, far = self.group("near", E1), self.group("far", W1)
        self.fleet.set_groups((near, far))
        for _ in range(100):
            self.assertEqual("far", self.chosen(frozenset((W1,))))
        self.fleet.set_groups((near,))
        self.assertIsNone(self.chosen(frozenset((W1,))))
        self.assertFalse(self.fleet.has_group(SERVICE, LARGE.name, frozenset((W1,))))
        self.assertEqual("near", self.chosen(None))

    def test_a_drained_home_is_closed_too(self) -> None:
        self.fleet.set_groups((self.group("one", E1), self.group("other", E2)))
        self.fleet.set_closed_halls(frozenset((E1,)))
        for _ in range(20):
            self.assertEqual("other", self.chosen(frozenset((E1, E2))))
        self.assertIsNone(self.chosen(frozenset((E1,))))

    def test_a_plain_target_outside_is_not_chosen(self) -> None:
        halls = {"near": E1, "far": W1, "nowhere": NOWHERE}
        targets = [ListedTarget(InstanceId(n), SERVICE, "x:1", h) for n, h in halls.items()]
        self.fleet.set_targets(targets)
        for _ in range(100):
            found = self.fleet.pick_target(SERVICE, (), frozenset((W1,)))
            self.assertEqual("far", found and found.instance)
        self.assertIsNone(self.fleet.pick_target(SERVICE, ("far",), frozenset((W1,))))


class GroupHallsTests(testtools.TestCase):
    def test_the_holder_names_the_halls_of_all_members(self) -> None:
        world = EngineWorld(domains=3)
        world.run(60.0)
        models = {view.model for view in world.coordinator.views()}
        self.assertEqual({LARGE.name, SMALL.name}, models)
        members = {each.instance: each for each in world.coordinator.engines.values()}
        for view in world.coordinator.views():
            group = world.coordinator.groups[view.group]
            moved = members[group.members[-1]]
            moved.listed = replace(moved.listed, hall=W1)
        for view in world.coordinator.views():
            halls = {members[i].listed.hall for i in world.coordinator.groups[view.group].members}
            self.assertEqual((2, halls), (len(view.halls), set(view.halls)))

    def test_without_a_holder_the_list_names_the_halls_of_listed_members(self) -> None:
        listed = (
            self.member("g", 0, E1, MemberPhase.OPEN),
            self.member("g", 1, W1, MemberPhase.READY),
            self.member("h", 0, E2, MemberPhase.OPEN),
            self.member("i", 0, NOWHERE, MemberPhase.READY),
        )
        heard, read = FleetView(1.0), FleetView(1.0)
        heard.merge_engines(listed)
        read.apply_list(listed, 10.0, 10.0, NEVER_S)
        for view in (heard, read):
            halls = {each.group: (each.hall, each.halls) for each in view.groups(10.0)}
            self.assertEqual({"g": (E1, (E1, W1)), "h": (E2, (E2,))}, halls)

    def member(self, group: str, rank: int, hall: HallId, phase: MemberPhase) -> ListedTarget:
        membership = Membership(GroupId(group), Epoch(1), rank, phase)
        state = EngineState(DomainId("d"), LARGE.name, (), membership)
        return ListedTarget(InstanceId(f"{group}{rank}"), SERVICE, "x:1", hall, engine=state)


class BoundCase(RelayCase):
    """A relay with targets in given halls, and homes of a route and of an organisation."""

    route_homes: tuple[RegionId, ...] = ()
    organisation_homes: tuple[RegionId, ...] = ()

    def configuration(self) -> Configuration:
        plain = super().configuration()
        route = replace(plain.routes[0], homes=self.route_homes)
        ann = replace(plain.organisations[0], homes=self.organisation_homes)
        return replace(plain, routes=(route,), organisations=(ann,))

    def place(self, running: RunningRelay, *halls: HallId) -> None:
        """Put the targets in halls, in their order."""
        running.serving.homes = Homes(REGION_OF)
        fleet = running.fleet
        groups = zip(fleet._groups.values(), halls, strict=True)
        fleet.set_groups([replace(each, hall=hall) for each, hall in groups])
        targets = zip(fleet._targets.values(), halls, strict=True)
        fleet.set_targets([replace(each, hall=hall) for each, hall in targets])

    def seen(self, running: RunningRelay) -> list[int]:
        return [len(each.seen) for each in running.targets]


class RouteHomesTests(BoundCase):
    route_homes = (EAST,)

    def test_a_repeat_goes_to_the_other_home_never_outside(self) -> None:
        for script in (cut, full):

            async def work(running: RunningRelay) -> None:
                self.place(running, W1, E1, NOWHERE, E2)
                for number in range(6):
                    answer = await running.send_request(Request=f"r{number}")
                    self.assertEqual((200, b"fine"), (answer.status, answer.body))
                self.assertEqual([0, 0], self.seen(running)[::2])
                self.assertEqual(6, self.seen(running)[3])

            self.run_with_relay(work, good, script, good, good)

    def test_with_the_only_home_failing_nothing_outside_is_asked(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.place(running, W1, E1, NOWHERE)
            self.assertEqual(502, (await running.send_request()).status)
            self.assertEqual([0, 2, 0], self.seen(running))

        self.run_with_relay(work, good, cut, good)

    def test_a_home_that_has_halls_but_no_target_is_waited_for_and_refused_as_any(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.place(running, W1, NOWHERE)
            answer = await running.send_request()
            self.assertEqual((503, b"no_group\n"), (answer.status, answer.body))
            self.assertEqual([0, 0], self.seen(running))

        self.run_with_relay(work, good, good)

    def test_without_any_known_hall_it_is_refused_at_once_and_counted(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.place(running, W1, E1)
            running.serving.homes = Homes({W1: WEST})
            answer = await running.send_request()
            self.assertEqual((503, b"no_home\n"), (answer.status, answer.body))
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertEqual([0, 0], self.seen(running))
            self.assertEqual(1, running.metrics.counters["refused.no_home"])

        self.run_with_relay(work, good, good)


class ResumedWithinHomesTests(BoundCase):
    kind = RouteKind.STREAM
    resumable = True
    attempts = 3
    route_homes = (EAST,)

    def test_a_broken_stream_goes_on_at_the_other_home(self) -> None:
        async def breaks(headers: Headers, writer: Writer) -> None:
            writer.write(stream_response_head(headers) + event_chunk(1))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        async def goes_on(headers: Headers, writer: Writer) -> None:
            begin = int(headers.get("after", 0)) + 1
            pieces = b"".join(event_chunk(number) for number in range(begin, 4))
            writer.write(stream_response_head(headers) + pieces + LAST_CHUNK)

        async def work(running: RunningRelay) -> None:
            self.place(running, E1, W1, E2)
            answer = await running.send_request()
            self.assertEqual((False, 3), (answer.broken, answer.body.count(b"data:")))
            self.assertEqual([1, 0, 1], self.seen(running))

        self.run_with_relay(work, breaks, goes_on, goes_on)

    def test_with_no_other_home_it_ends_broken_rather_than_go_outside(self) -> None:
        async def breaks(headers: Headers, writer: Writer) -> None:
            writer.write(stream_response_head(headers) + event_chunk(1))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        async def work(running: RunningRelay) -> None:
            self.place(running, E1, W1)
            self.assertTrue((await running.send_request()).broken)
            self.assertEqual([1, 0], self.seen(running))

        self.run_with_relay(work, breaks, good)


class OrganisationHomesTests(BoundCase):
    organisation_homes = (WEST,)

    def test_an_organisation_is_served_at_its_home_alone(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.place(running, E1, W1)
            for number in range(6):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertEqual([0, 6], self.seen(running))

        self.run_with_relay(work, good, good)


class BothBindTests(BoundCase):
    route_homes = (EAST, WEST)
    organisation_homes = (WEST, SOUTH)

    def test_what_both_allow_serves(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.place(running, E1, W1)
            for number in range(6):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertEqual([0, 6], self.seen(running))

        self.run_with_relay(work, good, good)


class ContradictionTests(BoundCase):
    kind = RouteKind.UNSAFE
    tuning = RelayTuning(max_wait_share=5.0)
    route_homes = (EAST,)
    organisation_homes = (WEST,)

    def test_what_no_region_may_serve_is_refused_at_once_as_not_run(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.place(running, E1, W1)
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            answer = await running.send_request()
            self.assertEqual((503, b"no_home\n"), (answer.status, answer.body))
            patience_s = self.tuning.max_wait_share * self.configuration().routes[0].objective_s
            self.assertLess(loop.time() - begun_s, patience_s / 4)
            self.assertEqual([0, 0], self.seen(running))

        self.run_with_relay(work, good, good)


class HomeCheckTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.serving = Serving(Fleet(E1, random.Random(1)), Freshness(1.0))
        self.serving.homes = Homes(REGION_OF)
        self.targets = [
            ListedTarget(InstanceId(hall), SERVICE, "x:1", hall) for hall in (E1, W1, NOWHERE)
        ]

    def lines(self, *configurations: Configuration) -> list[str]:
        """Return what is told of configurations, each checked twice."""
        told: list[str] = []

        class Log(EventLog):
            def event(self, name: str, **fields: object) -> None:
                told.append(f"{name} {fields.get('hall', '')}{fields.get('region', '')}")

        check = HomeCheck(self.serving, lambda: self.targets, Log("entry", "e", "info"))
        for each in configurations:
            self.serving.apply(each)
            check.check(0.0)
            check.check(1.0)
        self.unknown = check.unknown_halls
        return told

    def named(self, version: int, *homes: RegionId) -> Configuration:
        ann = Organisation(OrganisationId("ann"), ("k",), homes=homes)
        return Configuration(Version(version), organisations=(ann,))

    def test_without_homes_nothing_is_told(self) -> None:
        self.assertEqual([], self.lines(self.named(1)))

    def test_an_unknown_hall_and_an_empty_home_are_each_told_once(self) -> None:
        told = self.lines(self.named(1, EAST), self.named(2, EAST, SOUTH), self.named(3, SOUTH))
        self.assertEqual(["hall_region_unknown n1", "home_without_hall south"], told)
        self.assertEqual({NOWHERE}, self.unknown)
