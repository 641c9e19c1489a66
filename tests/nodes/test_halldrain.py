# SPDX-License-Identifier: Apache-2.0
"""Draining and restoring a hall with real entries, controllers and agents, one fault per test."""

from functools import partial

import testtools

from ochreway_core.codec import decode
from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.effects import TableRead
from ochreway_core.ids import NodeId
from ochreway_core.messages import HallsUpdate
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow
from ochreway_nodes.agent import AgentNode
from ochreway_nodes.entry import EntryNode
from ochreway_standins.soak.halloperator import HallOperator
from ochreway_standins.soak.operator import Operator, bundle_body
from ochreway_standins.soak.process import Process
from ochreway_standins.soak.simplatform import Mode
from ochreway_standins.soak.world import OTHER_HALL, Shape, World, hall_of

ROLL_S = 3.0
DRAIN_S = 15.0
EMPTY_WITHIN_S = 15.0
SERVES_WITHIN_S = 15.0


class HallDrainTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = World(3, Shape())
        self.halls = HallOperator(self.world)
        body = bundle_body(0, self.world.shape.engines, self.world.shape.services)
        operator = Operator(self.world, "ann")
        self.world.clock.at(ROLL_S, lambda: operator.roll(body, lambda version: None))
        self.run_until(DRAIN_S)
        self.assertEqual(["care-0", "care-1", "roster-0", "roster-1"], self.groups())
        self.assertNotEqual([], self.groups_in_drained_hall())

    def run_until(self, at_s: float) -> None:
        self.world.clock.run_until(at_s)

    def rows(self) -> list[GroupRow]:
        rows = self.world.platform.table.rows
        return [decode(GroupRow, row.content) for key, row in rows.items() if "group/" in key]

    def groups(self) -> list[str]:
        return sorted(row.group for row in self.rows())

    def groups_in_drained_hall(self) -> list[str]:
        """Return the groups with a member in the drained hall."""
        return sorted(
            row.group
            for row in self.rows()
            if any(hall_of(peer.node) == OTHER_HALL for peer in row.members)
        )

    def entries(self) -> list[tuple[Process, EntryNode]]:
        live = [(entry, entry.node) for entry in self.world.entries() if entry.running]
        return [(entry, node) for entry, node in live if isinstance(node, EntryNode)]

    def serving(self) -> set[str]:
        """Return the groups whose leader admits requests now."""
        serving_groups = set()
        for process in self.world.agents():
            agent = process.node
            assert isinstance(agent, AgentNode)
            row = agent.membership.row
            if row is None or not agent.membership.leads:
                continue
            now_s = process.local_s(self.world.clock.now_s)
            if agent.membership.closed_because(now_s) is Reason.NONE:
                serving_groups.add(str(row.group))
        return serving_groups

    def sends_nothing_to_drained_hall(self, process: Process, node: EntryNode) -> bool:
        return all(
            replica.leaving
            for row in self.rows()
            if (replica := node.router.replicas.get(row.group)) is not None
            and any(hall_of(peer.node) == OTHER_HALL for peer in row.members)
        )

    def test_groups_move_out_of_a_drained_hall_and_back_when_it_is_restored(self) -> None:
        self.halls.set_drained(OTHER_HALL)
        min_serving = 4
        for tenth in range(int(EMPTY_WITHIN_S * 10)):
            self.run_until(DRAIN_S + tenth / 10)
            care = [served for served in self.serving() if served.startswith("care")]
            min_serving = min(min_serving, len(care))
        # Groups go down one at a time, as in a roll. The service target in the hall has no
        # replacement.
        self.assertGreaterEqual(min_serving, 1)
        self.assertEqual([], self.groups_in_drained_hall())
        self.assertEqual({"care-0", "care-1", "roster-1"}, self.serving())
        self.halls.set_drained()
        self.run_until(DRAIN_S + EMPTY_WITHIN_S + SERVES_WITHIN_S)
        self.assertEqual({"care-0", "care-1", "roster-0", "roster-1"}, self.serving())
        self.assertEqual(["roster-0"], self.groups_in_drained_hall())

    def test_a_hall_restored_within_the_grace_period_loses_no_group(self) -> None:
        self.halls.set_drained(OTHER_HALL)
        self.world.clock.at(DRAIN_S + 0.6, self.halls.set_drained)
        self.run_until(DRAIN_S + EMPTY_WITHIN_S)
        self.assertEqual({"care-0", "care-1", "roster-0", "roster-1"}, self.serving())
        self.assertIn("roster-0", self.groups_in_drained_hall())

    def test_the_next_lease_holder_continues_the_drain(self) -> None:
        self.halls.set_drained(OTHER_HALL)
        self.run_until(DRAIN_S + 1.5)
        holder = next(
            process
            for process, node in self.entries()
            if any(controller.holding for controller in node.controllers.values())
        )
        self.world.kill(holder.peer.node, whole_instance=True)
        self.run_until(DRAIN_S + EMPTY_WITHIN_S + self.world.shape.timing.lease_s)
        self.assertEqual([], self.groups_in_drained_hall())
        self.assertEqual({"care-0", "care-1", "roster-1"}, self.serving())

    def test_without_the_table_entries_stop_sending_after_the_grace_period(self) -> None:
        self.halls.set_drained(OTHER_HALL)
        table_down_s = DRAIN_S + 2.0
        self.world.clock.at(table_down_s, partial(setattr, self.world.platform, "mode", Mode.DOWN))
        self.run_until(table_down_s)
        self.assertEqual({1}, {node.drains.newest.version for _, node in self.entries()})
        self.run_until(table_down_s + self.world.shape.timing.hall_drain_s + 0.5)
        self.assertNotEqual([], self.groups_in_drained_hall())
        for process, node in self.entries():
            self.assertTrue(self.sends_nothing_to_drained_hall(process, node), process.peer.node)

    def test_without_the_table_from_the_start_nothing_changes(self) -> None:
        self.world.platform.mode = Mode.DOWN
        self.halls.set_drained(OTHER_HALL)
        self.run_until(DRAIN_S + EMPTY_WITHIN_S)
        self.assertEqual({"care-0", "care-1", "roster-0", "roster-1"}, self.serving())

    def test_an_entry_started_during_a_drain_sends_nothing_to_the_hall(self) -> None:
        self.halls.set_drained(OTHER_HALL)
        self.run_until(DRAIN_S + 2.0)
        name = NodeId("entry-2")
        self.world.kill(name, whole_instance=False)
        self.world.boot(name)
        process = self.world.processes[name]
        node = process.node
        assert isinstance(node, EntryNode)
        while not node.drains.halls:
            self.run_until(self.world.clock.now_s + 0.1)
        local_s = process.local_s(self.world.clock.now_s)
        self.assertEqual({OTHER_HALL}, node.drains.closed(local_s))
        self.assertTrue(self.sends_nothing_to_drained_hall(process, node))

    def test_a_late_message_does_not_drain_a_restored_hall(self) -> None:
        self.halls.set_drained(OTHER_HALL)
        self.run_until(DRAIN_S + 2.0)
        self.halls.set_drained()
        self.run_until(DRAIN_S + 5.0)
        late = HallsUpdate(DrainedHalls(1, (OTHER_HALL,)))
        for process, node in self.entries():
            self.assertEqual((2, frozenset()), (node.drains.newest.version, node.drains.halls))
            handle = partial(node.on_message, process.peer, node.version, late)
            self.world.post(process, handle)
            self.assertEqual(frozenset(), node.drains.halls)

    def test_an_entry_cut_off_from_the_table_learns_of_the_drain_from_others(self) -> None:
        cut_off, _ = self.entries()[0]
        table_read = self.world._table_read

        def read_unless_cut_off(process: Process, effect: TableRead) -> None:
            if process is not cut_off:
                table_read(process, effect)

        self.world._effect_handlers[TableRead] = read_unless_cut_off
        self.halls.set_drained(OTHER_HALL)
        self.run_until(DRAIN_S + 10.0)
        self.assertEqual({1}, {node.drains.newest.version for _, node in self.entries()})
