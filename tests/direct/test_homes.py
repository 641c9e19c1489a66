# SPDX-License-Identifier: Apache-2.0
"""Halls that serve requests with home regions, and halls that never do."""

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


async def answer_fine(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "fine"))


async def drop_connection(headers: Headers, writer: Writer) -> None:
    writer.close()


async def refuse_as_busy(headers: Headers, writer: Writer) -> None:
    writer.write(complete_response(headers, "", "503 Busy", "Not-Run: 1\r\n"))


class HomesTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.homes = Homes(REGION_OF)

    def test_without_homes_any_hall_may_serve(self) -> None:
        self.assertIsNone(self.homes.halls((), ()))

    def test_homes_of_a_route_and_of_an_organisation_both_bind(self) -> None:
        self.assertEqual({E1, E2}, self.homes.halls((EAST,), ()))
        self.assertEqual({W1}, self.homes.halls((), (WEST,)))
        self.assertEqual({W1}, self.homes.halls((EAST, WEST), (WEST, SOUTH)))

    def test_contradicting_or_unknown_homes_leave_no_hall(self) -> None:
        for route, organisation in (((EAST,), (WEST,)), ((SOUTH,), ()), ((), (SOUTH,))):
            self.assertEqual(frozenset(), self.homes.halls(route, organisation))

    def test_the_region_setting_applies_to_the_own_hall_unless_hall_regions_are_set(self) -> None:
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

    def pick_group_within(self, within: frozenset[HallId] | None) -> str | None:
        picked = self.fleet.pick_group(SERVICE, LARGE.name, (), SPEC, QUEUED, within=within)
        return picked.group if picked is not None else None

    def test_a_group_is_eligible_only_with_all_its_members(self) -> None:
        groups = (self.group("east", E1), self.group("across", E1, W1), self.group("both", E1, E2))
        self.fleet.set_groups(groups)
        places = self.fleet.eligible_groups(SERVICE, LARGE.name, frozenset((E1, E2)))
        self.assertEqual(["east", "both"], [each.group for each in places])
        self.assertEqual(
            ["east"], [g.group for g in self.fleet.eligible_groups(SERVICE, None, {E1})]
        )
        self.assertEqual(3, len(self.fleet.eligible_groups(SERVICE, LARGE.name)))

    def test_a_group_outside_is_not_chosen_even_if_idle_or_alone(self) -> None:
        near, far = self.group("near", E1), self.group("far", W1)
        self.fleet.set_groups((near, far))
        for _ in range(100):
            self.assertEqual("far", self.pick_group_within(frozenset((W1,))))
        self.fleet.set_groups((near,))
        self.assertIsNone(self.pick_group_within(frozenset((W1,))))
        self.assertFalse(self.fleet.has_group(SERVICE, LARGE.name, frozenset((W1,))))
        self.assertEqual("near", self.pick_group_within(None))

    def test_a_drained_home_is_closed_too(self) -> None:
        self.fleet.set_groups((self.group("one", E1), self.group("other", E2)))
        self.fleet.set_closed_halls(frozenset((E1,)))
        for _ in range(20):
            self.assertEqual("other", self.pick_group_within(frozenset((E1, E2))))
        self.assertIsNone(self.pick_group_within(frozenset((E1,))))

    def test_a_plain_target_outside_is_not_chosen(self) -> None:
        halls = {"near": E1, "far": W1, "nowhere": NOWHERE}
        targets = [ListedTarget(InstanceId(n), SERVICE, "x:1", h) for n, h in halls.items()]
        self.fleet.set_targets(targets)
        for _ in range(100):
            target = self.fleet.pick_target(SERVICE, (), frozenset((W1,)))
            self.assertEqual("far", target and target.instance)
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
        merged, listed_view = FleetView(1.0), FleetView(1.0)
        merged.merge_engines(listed)
        listed_view.apply_list(listed, 10.0, 10.0, NEVER_S)
        for view in (merged, listed_view):
            halls = {each.group: (each.hall, each.halls) for each in view.groups(10.0)}
            self.assertEqual({"g": (E1, (E1, W1)), "h": (E2, (E2,))}, halls)

    def member(self, group: str, rank: int, hall: HallId, phase: MemberPhase) -> ListedTarget:
        membership = Membership(GroupId(group), Epoch(1), rank, phase)
        state = EngineState(DomainId("d"), LARGE.name, (), membership)
        return ListedTarget(InstanceId(f"{group}{rank}"), SERVICE, "x:1", hall, engine=state)


class HomesRelayCase(RelayCase):
    """Relay with targets in given halls, and homes of a route and of an organisation."""

    route_homes: tuple[RegionId, ...] = ()
    organisation_homes: tuple[RegionId, ...] = ()

    def configuration(self) -> Configuration:
        plain = super().configuration()
        route = replace(plain.routes[0], homes=self.route_homes)
        ann = replace(plain.organisations[0], homes=self.organisation_homes)
        return replace(plain, routes=(route,), organisations=(ann,))

    def assign_halls(self, running: RunningRelay, *halls: HallId) -> None:
        """Assign halls to the targets, in their order."""
        running.serving.homes = Homes(REGION_OF)
        fleet = running.fleet
        groups = zip(fleet._groups.values(), halls, strict=True)
        fleet.set_groups([replace(each, hall=hall) for each, hall in groups])
        targets = zip(fleet._targets.values(), halls, strict=True)
        fleet.set_targets([replace(each, hall=hall) for each, hall in targets])

    def requests_per_target(self, running: RunningRelay) -> list[int]:
        return [len(each.seen) for each in running.targets]


class RouteHomesTests(HomesRelayCase):
    route_homes = (EAST,)

    def test_a_repeat_goes_to_the_other_home_never_outside(self) -> None:
        for failing_target in (drop_connection, refuse_as_busy):

            async def work(running: RunningRelay) -> None:
                self.assign_halls(running, W1, E1, NOWHERE, E2)
                for number in range(6):
                    answer = await running.send_request(Request=f"r{number}")
                    self.assertEqual((200, b"fine"), (answer.status, answer.body))
                self.assertEqual([0, 0], self.requests_per_target(running)[::2])
                self.assertEqual(6, self.requests_per_target(running)[3])

            self.run_with_relay(work, answer_fine, failing_target, answer_fine, answer_fine)

    def test_with_the_only_home_failing_no_target_outside_is_used(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, W1, E1, NOWHERE)
            self.assertEqual(502, (await running.send_request()).status)
            self.assertEqual([0, 2, 0], self.requests_per_target(running))

        self.run_with_relay(work, answer_fine, drop_connection, answer_fine)

    def test_a_home_without_targets_is_waited_for_and_then_refused(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, W1, NOWHERE)
            answer = await running.send_request()
            self.assertEqual((503, b"no_group\n"), (answer.status, answer.body))
            self.assertEqual([0, 0], self.requests_per_target(running))

        self.run_with_relay(work, answer_fine, answer_fine)

    def test_a_home_without_halls_is_refused_at_once_and_counted(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, W1, E1)
            running.serving.homes = Homes({W1: WEST})
            answer = await running.send_request()
            self.assertEqual((503, b"no_home\n"), (answer.status, answer.body))
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertEqual([0, 0], self.requests_per_target(running))
            self.assertEqual(1, running.metrics.counters["refused.no_home"])

        self.run_with_relay(work, answer_fine, answer_fine)


class ResumedWithinHomesTests(HomesRelayCase):
    kind = RouteKind.STREAM
    resumable = True
    attempts = 3
    route_homes = (EAST,)

    def test_a_broken_stream_is_resumed_at_the_other_home(self) -> None:
        async def break_stream(headers: Headers, writer: Writer) -> None:
            writer.write(stream_response_head(headers) + event_chunk(1))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        async def resume_stream(headers: Headers, writer: Writer) -> None:
            begin = int(headers.get("after", 0)) + 1
            pieces = b"".join(event_chunk(number) for number in range(begin, 4))
            writer.write(stream_response_head(headers) + pieces + LAST_CHUNK)

        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, E1, W1, E2)
            answer = await running.send_request()
            self.assertEqual((False, 3), (answer.broken, answer.body.count(b"data:")))
            self.assertEqual([1, 0, 1], self.requests_per_target(running))

        self.run_with_relay(work, break_stream, resume_stream, resume_stream)

    def test_without_another_home_a_broken_stream_is_not_resumed_outside(self) -> None:
        async def break_stream(headers: Headers, writer: Writer) -> None:
            writer.write(stream_response_head(headers) + event_chunk(1))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()

        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, E1, W1)
            self.assertTrue((await running.send_request()).broken)
            self.assertEqual([1, 0], self.requests_per_target(running))

        self.run_with_relay(work, break_stream, answer_fine)


class OrganisationHomesTests(HomesRelayCase):
    organisation_homes = (WEST,)

    def test_an_organisation_is_served_at_its_home_alone(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, E1, W1)
            for number in range(6):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertEqual([0, 6], self.requests_per_target(running))

        self.run_with_relay(work, answer_fine, answer_fine)


class BothBindTests(HomesRelayCase):
    route_homes = (EAST, WEST)
    organisation_homes = (WEST, SOUTH)

    def test_only_halls_that_both_allow_serve(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, E1, W1)
            for number in range(6):
                self.assertEqual(200, (await running.send_request(Request=f"r{number}")).status)
            self.assertEqual([0, 6], self.requests_per_target(running))

        self.run_with_relay(work, answer_fine, answer_fine)


class ContradictionTests(HomesRelayCase):
    kind = RouteKind.UNSAFE
    tuning = RelayTuning(max_wait_share=5.0)
    route_homes = (EAST,)
    organisation_homes = (WEST,)

    def test_a_request_that_no_region_may_serve_is_refused_at_once_as_not_run(self) -> None:
        async def work(running: RunningRelay) -> None:
            self.assign_halls(running, E1, W1)
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            answer = await running.send_request()
            self.assertEqual((503, b"no_home\n"), (answer.status, answer.body))
            patience_s = self.tuning.max_wait_share * self.configuration().routes[0].objective_s
            self.assertLess(loop.time() - begun_s, patience_s / 4)
            self.assertEqual([0, 0], self.requests_per_target(running))

        self.run_with_relay(work, answer_fine, answer_fine)


class HomeCheckTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.serving = Serving(Fleet(E1, random.Random(1)), Freshness(1.0))
        self.serving.homes = Homes(REGION_OF)
        self.targets = [
            ListedTarget(InstanceId(hall), SERVICE, "x:1", hall) for hall in (E1, W1, NOWHERE)
        ]

    def logged_events(self, *configurations: Configuration) -> list[str]:
        """Return the events logged for configurations, each checked twice."""
        events: list[str] = []

        class Log(EventLog):
            def event(self, name: str, **fields: object) -> None:
                events.append(f"{name} {fields.get('hall', '')}{fields.get('region', '')}")

        check = HomeCheck(self.serving, lambda: self.targets, Log("entry", "e", "info"))
        for each in configurations:
            self.serving.apply(each)
            check.check(0.0)
            check.check(1.0)
        self.unknown = check.unknown_halls
        return events

    def configuration_with(self, version: int, *homes: RegionId) -> Configuration:
        ann = Organisation(OrganisationId("ann"), ("k",), homes=homes)
        return Configuration(Version(version), organisations=(ann,))

    def test_without_homes_nothing_is_logged(self) -> None:
        self.assertEqual([], self.logged_events(self.configuration_with(1)))

    def test_an_unknown_hall_and_an_empty_home_are_each_logged_once(self) -> None:
        events = self.logged_events(
            self.configuration_with(1, EAST),
            self.configuration_with(2, EAST, SOUTH),
            self.configuration_with(3, SOUTH),
        )
        self.assertEqual(["hall_region_unknown n1", "home_without_hall south"], events)
        self.assertEqual({NOWHERE}, self.unknown)
