# SPDX-License-Identifier: Apache-2.0
"""Orders that are carried out late, on an engine that has changed since they were decided."""

import testtools

from ochreway_core.ids import GroupId
from ochreway_direct.coordinator import Assignment
from ochreway_direct.coordinator.grouprecord import GroupRecord
from ochreway_direct.order import Close, Join, Leave
from ochreway_standins.engineworld import LARGE, SMALL, EngineWorld

LEAVE_LATE_S = 5.0


class LateOrderTests(testtools.TestCase):
    def lost_member(self) -> tuple[EngineWorld, GroupRecord]:
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
        world, group = self.lost_member()
        self.delay_ends(world, group)
        self.join_late(world, group)
        world.run(LEAVE_LATE_S + 10.0)
        self.assertEqual([], world.violations)
        self.assertGreaterEqual(world.serving(LARGE), 2)

    def test_members_of_a_lost_leader_are_used_at_once(self) -> None:
        world, group = self.lost_member()
        world.crash(group.leader)
        survivors = set(group.members[1:-1])

        def joined() -> set[GroupId]:
            memberships = [world.engines[each].membership for each in survivors]
            return {each.group for each in memberships if each is not None} - {group.group}

        self.assertLess(world.run_until(lambda: bool(joined()), 10.0), 3.0)
