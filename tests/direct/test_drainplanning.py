# SPDX-License-Identifier: Apache-2.0
"""Groups while a hall is drained: replaced elsewhere, kept unchanged, and used again afterwards."""

from dataclasses import replace

import testtools

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.coordinator import Assignment, CoordinatorTuning
from ochreway_direct.coordinator.census import take_census
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord, PhaseCause
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.enginestate import EngineState
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.order import Close
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, EngineWorld

SETTLED_S = 60.0
DRAINED, KEPT = HallId("d0"), HallId("d1")
FORMED_S = 4.0
"""Maximum time until engines with weights serve in new groups."""


class DrainWorld(EngineWorld):
    """Record every order that is sent to an engine of a drained hall."""

    def __init__(self, domains: int = 3, tuning: CoordinatorTuning | None = None) -> None:
        self.drained: frozenset[HallId] = frozenset()
        self.forbidden: list[Assignment] = []
        super().__init__(domains=domains, tuning=tuning)

    def drain(self, *halls: HallId) -> None:
        self.drained = frozenset(halls)
        self.coordinator.set_drained_halls(self.drained)

    def take_over(self) -> None:
        super().take_over()
        self.coordinator.set_drained_halls(self.drained)

    def _give(self, assignment: Assignment) -> None:
        if self.hall(assignment.instance) in self.drained:
            self.forbidden.append(assignment)
        super()._give(assignment)

    def hall(self, instance: InstanceId) -> HallId:
        return HallId(self.engines[instance].domain)

    def views_of(self, hall: HallId) -> list[GroupView]:
        return [view for view in self.coordinator.views() if hall in view.halls]

    def outside(self) -> int:
        views = self.coordinator.views()
        return sum(1 for view in views if not self.drained & set(view.halls))


def settled(domains: int = 3, tuning: CoordinatorTuning | None = None) -> DrainWorld:
    world = DrainWorld(domains, tuning)
    world.run(SETTLED_S)
    assert world.serving(LARGE) >= 2
    assert world.serving(SMALL) >= 2
    return world


class DrainPlanningTests(testtools.TestCase):
    def test_groups_of_the_hall_are_replaced_elsewhere_while_they_serve_on(self) -> None:
        world = settled()
        before = {view.group for view in world.views_of(DRAINED)}
        models = {view.model for view in world.coordinator.views()}
        self.assertTrue(before)
        world.drain(DRAINED)
        world.run(30.0)
        self.assertEqual(before, {view.group for view in world.views_of(DRAINED)})
        views = world.coordinator.views()
        elsewhere = {view.model for view in views if view.halls != (DRAINED,)}
        self.assertEqual(models, elsewhere)
        engines = sum(
            1
            for record in world.coordinator.engines.values()
            if record.listed.hall != DRAINED and record.membership is not None
        )
        # Of the 16 remaining engines, all that can form complete groups serve.
        self.assertGreaterEqual(engines, 12)
        self.assertEqual([], world.forbidden)
        self.assertEqual([], world.violations)

    def test_the_plan_has_neither_groups_nor_engines_of_the_hall(self) -> None:
        world = settled()
        for _ in range(4):
            world.add(DomainId(DRAINED), LARGE.name)
        world.drain(DRAINED)
        known = set(world.coordinator.groups)
        world.run(10.0)
        plan = world.coordinator.plans[SERVICE]
        self.assertNotIn(DRAINED, {slot.domain for slot in (*plan.wanted, *plan.current)})
        self.assertTrue(plan.current)
        census = take_census(world.coordinator._state, SERVICE)
        self.assertEqual([], census.free[DomainId(DRAINED)])
        begun = [g for name, g in world.coordinator.groups.items() if name not in known]
        halls = {world.hall(instance) for group in begun for instance in group.members}
        self.assertNotIn(DRAINED, halls)

    def test_free_engines_elsewhere_take_over_within_seconds(self) -> None:
        world = settled(domains=2)
        outside = len(world.coordinator.views()) - len(world.views_of(DRAINED))
        for _ in range(4):
            world.add(DomainId("d2"), LARGE.name)
        world.run(0.5)
        world.drain(DRAINED)
        world.run_until(lambda: world.outside() > outside, FORMED_S)
        self.assertEqual([], world.forbidden)

    def test_a_hall_given_back_serves_at_once_with_the_groups_it_had(self) -> None:
        world = settled()
        before = {view.group for view in world.views_of(DRAINED)}
        world.drain(DRAINED)
        world.run(20.0)
        world.drain()
        self.assertEqual(before, {view.group for view in world.views_of(DRAINED)})
        world.step()
        self.assertEqual(before, {view.group for view in world.views_of(DRAINED)})
        world.run(10.0)
        self.assertEqual([], world.violations)

    def test_what_lost_a_member_serves_no_more_and_is_dissolved_when_the_hall_is_back(self) -> None:
        world = settled()
        world.drain(DRAINED)
        lost = world.views_of(DRAINED)[0]
        record = world.coordinator.groups[lost.group]
        world.crash(record.members[-1])
        world.run(10.0)
        self.assertNotIn(lost.group, {view.group for view in world.coordinator.views()})
        self.assertIs(GroupPhase.DISSOLVING, record.phase)
        self.assertEqual([], world.forbidden)
        world.drain()
        world.run_until(lambda: lost.group not in world.coordinator.groups, 3.0)
        self.assertEqual([], world.violations)

    def test_engines_that_lost_their_weights_meanwhile_are_planned_for_again(self) -> None:
        world = settled()
        world.drain(DRAINED)
        world.run(5.0)
        inside = [i for i in world.engines if world.hall(i) == DRAINED]
        for instance in inside:
            world.crash(instance)
        world.run(10.0)
        self.assertEqual([], world.views_of(DRAINED))
        for _ in inside:
            world.add(DomainId(DRAINED))
        world.run(10.0)
        self.assertEqual([], world.forbidden)
        world.drain()
        world.run_until(lambda: bool(world.views_of(DRAINED)), 40.0)
        self.assertEqual([], world.violations)

    def test_a_second_hall_and_then_the_first_back(self) -> None:
        world = settled()
        world.drain(DRAINED)
        world.run(8.0)
        world.drain(DRAINED, KEPT)
        world.run(12.0)
        first = {view.group for view in world.views_of(DRAINED)}
        self.assertGreater(world.outside(), 0)
        world.drain(KEPT)
        world.step()
        self.assertEqual(first, {view.group for view in world.views_of(DRAINED)})
        world.run(20.0)
        self.assertEqual([], world.forbidden)
        self.assertEqual([], world.violations)

    def test_a_new_holder_in_the_midst_keeps_the_groups_and_gives_no_order_there(self) -> None:
        world = settled()
        before = {view.group for view in world.views_of(DRAINED)}
        world.drain(DRAINED)
        world.run(1.0)
        world.take_over()
        world.run(20.0)
        self.assertEqual(before, {view.group for view in world.views_of(DRAINED)})
        self.assertGreater(world.outside(), 0)
        self.assertEqual([], world.forbidden)
        self.assertEqual([], world.violations)

    def test_another_hall_that_goes_dark_meanwhile_does_not_stop_planning(self) -> None:
        world = settled()
        world.drain(DRAINED)
        world.run(10.0)
        for instance in list(world.engines):
            if world.hall(instance) in (DRAINED, KEPT):
                world.crash(instance)
        world.run(6.0)
        alive = {view.group for view in world.coordinator.views()}
        views = world.coordinator.views()
        self.assertTrue(alive)
        self.assertTrue(all(set(view.halls) <= {HallId("d2")} for view in views), views)
        self.assertEqual([], world.forbidden)

    def test_engines_that_are_listed_and_silent_there_are_no_fault_of_the_own_network(self) -> None:
        world = settled()
        for record in world.coordinator.engines.values():
            record.dead = record.listed.hall in (DRAINED, KEPT)
        self.assertTrue(world.coordinator._most_silent())
        world.drain(DRAINED)
        self.assertFalse(world.coordinator._most_silent())

    def test_engines_of_the_hall_are_asked_rarely_and_their_silence_is_no_loss_to_plan_for(
        self,
    ) -> None:
        world = settled()
        losses = world.coordinator._state.loss_meter
        world.drain(DRAINED)
        world.run(1.0)
        asked: list[InstanceId] = []
        due_probes = world.coordinator.due_probes

        def watch(now_s: float) -> list[object]:
            due = due_probes(now_s)
            asked.extend(p.record.instance for p in due if p.record.listed.hall == DRAINED)
            return list(due)

        world.coordinator.due_probes = watch  # type: ignore[method-assign, assignment]
        world.run(20.0)
        inside = [i for i in world.engines if world.hall(i) == DRAINED]
        self.assertLessEqual(len(asked), 11 * len(inside))
        self.assertGreaterEqual(len(asked), 9 * len(inside))
        rate = losses.losses_per_engine_s
        for instance in inside:
            world.crash(instance)
        world.run(6.0)
        self.assertLessEqual(losses.losses_per_engine_s, rate)

    def test_engines_of_a_hall_that_is_given_back_are_asked_at_once(self) -> None:
        world = settled()
        world.drain(DRAINED)
        world.run(5.0)
        for record in world.coordinator.engines.values():
            record.probed_s = world.now_s
        world.drain()
        due = world.coordinator.due_probes(world.now_s)
        asked = {probe.record.instance for probe in due}
        inside = {i for i in world.engines if world.hall(i) == DRAINED}
        self.assertEqual(inside, asked & inside)

    def test_weights_being_loaded_there_leave_their_place_to_loads_elsewhere(self) -> None:
        world = settled()
        state = world.coordinator._state
        loading = state.count_loading(SERVICE)
        for record in [r for r in state.engines.values() if r.listed.hall == DRAINED][:3]:
            record.begin_staging(LARGE.name, world.now_s + 60.0)
        self.assertEqual(loading + 3, state.count_loading(SERVICE))
        world.drain(DRAINED)
        self.assertEqual(loading, state.count_loading(SERVICE))
        # A new holder assumes that all of them began within the window of the load limit.
        self.assertEqual(loading + 3, state.count_loading_anywhere(SERVICE))

    def test_a_group_being_formed_half_there_gives_its_engines_up(self) -> None:
        world = settled()
        state = world.coordinator._state
        there, here = (
            next(r for r in world.coordinator.engines.values() if r.listed.hall == hall)
            for hall in (DRAINED, KEPT)
        )
        for cause, phase in (
            (PhaseCause.BEGUN, GroupPhase.DISSOLVING),
            (PhaseCause.ADOPTED, GroupPhase.FORMING),
        ):
            members = (there.instance, here.instance)
            group = GroupRecord(
                *(GroupId("g"), Epoch(9), SERVICE, DomainId(""), SMALL.name, members),
                phase=GroupPhase.FORMING,
                since_s=world.now_s,
                cause=cause,
            )
            state.drained_halls = frozenset({DRAINED})
            state.groups = {group.group: group}
            world.coordinator._lifecycle._advance_forming(group, world.now_s)
            self.assertIs(phase, group.phase)

    def test_a_group_being_formed_there_waits_for_the_hall_to_be_back(self) -> None:
        world = settled()
        state = world.coordinator._state
        inside = [r for r in world.coordinator.engines.values() if r.listed.hall == DRAINED][:2]
        members = tuple(record.instance for record in inside)
        group = GroupRecord(
            *(GroupId("g"), Epoch(9), SERVICE, inside[0].domain, SMALL.name, members),
            phase=GroupPhase.FORMING,
            since_s=world.now_s - 60.0,
        )
        world.drain(DRAINED)
        state.groups = {group.group: group}
        world.coordinator._lifecycle._advance_forming(group, world.now_s)
        world.drain()
        world.coordinator._lifecycle._advance_forming(group, world.now_s)
        self.assertIs(GroupPhase.FORMING, group.phase)

    def test_with_every_hall_drained_nothing_is_ordered_and_all_is_kept(self) -> None:
        world = settled()
        before = {view.group for view in world.coordinator.views()}
        world.drain(*(HallId(f"d{n}") for n in range(3)))
        world.run(15.0)
        self.assertEqual(before, {view.group for view in world.coordinator.views()})
        self.assertEqual([], world.forbidden)


class OrderTests(testtools.TestCase):
    def test_the_one_place_where_orders_are_given_gives_none_in_a_drained_hall(self) -> None:
        state = CoordinatorState(CoordinatorTuning())
        listed = EngineWorld(1, 1).coordinator.engines[InstanceId("e1")].listed
        record = EngineRecord(listed, EngineState(DomainId("d0")))
        order = Close(GroupId("g"), Epoch(1))
        state.drained_halls = frozenset({listed.hall})
        self.assertFalse(state.issue_order(record, order, 1.0))
        self.assertEqual(([], None), (state.assignments, record.pending_order))
        other = replace(listed, hall=KEPT)
        self.assertTrue(state.issue_order(EngineRecord(other, record.state), order, 1.0))
        self.assertEqual(1, len(state.assignments))

    def test_a_slow_or_surplus_group_there_is_neither_swapped_nor_traded(self) -> None:
        world = settled()
        world.drain(DRAINED)
        for instance, engine in world.engines.items():
            if world.hall(instance) == DRAINED:
                engine.pace = 2 * CoordinatorTuning().swap_pace
        before = {view.group for view in world.views_of(DRAINED)}
        for at_s in (world.now_s - 60.0, world.now_s):
            world.coordinator.demand.update({LARGE.name: 0.1, SMALL.name: 9.0}, at_s)
        world.run(20.0)
        self.assertEqual(before, {view.group for view in world.views_of(DRAINED)})
        self.assertEqual([], world.forbidden)
