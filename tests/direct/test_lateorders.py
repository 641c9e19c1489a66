# SPDX-License-Identifier: Apache-2.0
"""Orders that are carried out late, on an engine that has changed since they were decided."""

from dataclasses import replace

import testtools

from ochreway_core.ids import GroupId
from ochreway_direct.coordinator import Assignment
from ochreway_direct.coordinator.grouprecord import GroupRecord
from ochreway_direct.enginestate import MemberPhase
from ochreway_direct.order import Close, Join, Leave, OrderOutcome
from ochreway_standins.engineworld import LARGE, SMALL, SPEC, STEP_S, EngineWorld

LEAVE_LATE_S = 5.0
PROBE_S = 0.15
"""Interval of probes of a group that is being formed, and a step."""

DECIDED_WITHIN_S = 10.0


def lost_member() -> tuple[EngineWorld, GroupRecord]:
    """Return a world whose first large group has just lost its last member.

    Two engines are added that can form another group with two of the survivors.
    """
    world = EngineWorld()
    world.run_until(lambda: world.serving(LARGE) >= 2 and world.serving(SMALL) >= 2, 60.0)
    world.run(60.0)
    lost = world.members(LARGE)[-1]
    group = next(g for g in world.coordinator.groups.values() if lost in g.members)
    world.crash(lost)
    for _ in range(2):
        world.add(group.domain, LARGE.name)
    return world, group


class LateOrderTests(testtools.TestCase):
    def delay_ends(self, world: EngineWorld, group: GroupRecord) -> None:
        """Leave orders to close or leave unanswered at the leader, and carry each out late."""
        give = world._give

        def give_late(assignment: Assignment) -> None:
            order = assignment.order
            if assignment.instance == group.leader and isinstance(order, Close | Leave):
                world.lose(assignment, LEAVE_LATE_S)
            else:
                give(assignment)

        world._give = give_late  # type: ignore[method-assign]

    def join_late(self, world: EngineWorld, group: GroupRecord) -> None:
        """Carry out a former join again as soon as its engine has left the group."""
        member = group.members[1]
        engine = world.engines[member]
        world.run_until(lambda: engine.membership is None, 5.0)
        join = Join(group.group, group.epoch, group.model, group.members)
        world._carry_out(Assignment(member, f"{member}:1", join))

    def test_no_member_is_used_elsewhere_while_the_leader_of_its_group_is_open(self) -> None:
        # A join without an answer, carried out after its engine had left, and a leader whose
        # leave is late too: the engine took the join of another group under the open leader.
        world, group = lost_member()
        world.checks_orders = False
        self.delay_ends(world, group)
        self.join_late(world, group)
        world.run(LEAVE_LATE_S + 10.0)
        self.assertEqual([], world.violations)
        self.assertGreaterEqual(world.serving(LARGE), 2)

    def test_members_of_a_lost_leader_are_used_at_once(self) -> None:
        world, group = lost_member()
        world.crash(group.leader)
        survivors = set(group.members[1:-1])

        def joined() -> set[GroupId]:
            memberships = [world.engines[each].membership for each in survivors]
            return {each.group for each in memberships if each is not None} - {group.group}

        self.assertLess(world.run_until(lambda: bool(joined()), 10.0), 3.0)

    def test_a_late_join_is_rejected_by_an_engine_that_has_taken_other_orders(self) -> None:
        # The order is a condition by itself, whatever the holder knows of its engine.
        world, group = lost_member()
        joins: list[Assignment] = []
        give = world._give

        def watch(assignment: Assignment) -> None:
            if isinstance(assignment.order, Join):
                joins.append(assignment)
            give(assignment)

        world._give = watch  # type: ignore[method-assign]
        world.run_until(lambda: len(joins) >= LARGE.size, 10.0)
        world.run(3.0)
        outcomes = {world._carry_out(each) for each in joins}
        self.assertEqual({OrderOutcome.CONFLICT}, outcomes)

    def repair_s(self, checks_orders: bool, leaves_counted: bool = True) -> float:
        world, _ = lost_member()
        world.checks_orders, world.leaves_counted = checks_orders, leaves_counted
        world.run_until(lambda: world.serving(LARGE) < 2, 5.0)
        return world.run_until(lambda: world.serving(LARGE) >= 2, 30.0)

    def test_groups_are_formed_again_as_fast_as_without_the_condition(self) -> None:
        # Reports lag behind an accepted leave; the join that follows it does not wait for them.
        self.assertEqual(self.repair_s(checks_orders=False), self.repair_s(checks_orders=True))

    def test_a_wrong_count_costs_one_refused_join(self) -> None:
        wrong_s = self.repair_s(checks_orders=True, leaves_counted=False)
        right_s = self.repair_s(checks_orders=True)
        self.assertLess(wrong_s - right_s, SPEC.report_lag_s + PROBE_S + STEP_S)


class TwoHolderTests(testtools.TestCase):
    """A new holder stands still, and a former one uses the engines that it was about to join."""

    def delayed_joins(self) -> tuple[EngineWorld, list[Assignment]]:
        """Return a world and the joins that its present holder has decided on but not sent."""
        world, _ = lost_member()
        former = world.coordinator
        world.take_over()
        present, delayed = world.coordinator, list[Assignment]()
        for _ in range(round(DECIDED_WITHIN_S / STEP_S)):
            world._probe()
            assignments = present.tick(world.now_s)
            delayed += [each for each in assignments if isinstance(each.order, Join)]
            if delayed:
                break
            for assignment in assignments:
                world._give(assignment)
            world.pass_time(STEP_S)
        world.coordinator = former
        world.run_until(lambda: self.is_led(world, delayed), 30.0)
        return world, delayed

    def is_led(self, world: EngineWorld, delayed: list[Assignment]) -> bool:
        """Return whether an engine of the delayed joins belongs to a group with an open leader."""
        for each in delayed:
            engine = world.engines[each.instance]
            leader = world.engines[engine.members[0]] if engine.members else engine
            membership = leader.membership
            if engine.membership and membership and membership.phase is MemberPhase.OPEN:
                return True
        return False

    def test_delayed_joins_of_a_new_holder_change_no_group_of_the_former_one(self) -> None:
        # The new holder's epoch is the higher one, so that epochs alone reject nothing.
        world, delayed = self.delayed_joins()
        for each in delayed:
            world._carry_out(each)
        self.assertEqual([], world.violations)

    def test_without_their_condition_the_delayed_joins_break_the_group(self) -> None:
        world, delayed = self.delayed_joins()
        for each in delayed:
            world._carry_out(replace(each, orders_taken=None))
        self.assertNotEqual([], world.violations)


class ForeignEpochTests(testtools.TestCase):
    def test_a_group_of_a_newer_holder_is_not_taken_for_remains(self) -> None:
        # The members were told to leave at once, whatever their group's epoch.
        world, group = lost_member()
        former = world.coordinator
        world.take_over()
        world.run_until(lambda: world.serving(LARGE) >= 2, 30.0)
        for engine in world.engines.values():
            if engine.alive and engine.instance in former.engines:
                former.on_state(engine.instance, engine.state(world.now_s), world.now_s)
        former._state.groups.clear()
        leaves = [each for each in former.tick(world.now_s) if isinstance(each.order, Leave)]
        newest = max(each.epoch for each in world.coordinator.groups.values())
        self.assertEqual(newest, former.foreign_epoch)
        told = {each.order.epoch for each in leaves if isinstance(each.order, Leave)}
        self.assertNotIn(newest, told)
