# SPDX-License-Identifier: Apache-2.0
"""Intervals of engine probes, depending on other information about the engines."""

from dataclasses import replace

import testtools

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.coordinator import Coordinator, CoordinatorTuning
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.state import CoordinatorState
from ochreway_direct.enginestate import EngineState
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.order import Leave
from ochreway_standins.engineworld import CONFIGURATION, LARGE, SERVICE, SPEC, EngineWorld

TUNING = CoordinatorTuning()
LISTED = ListedTarget(
    *(InstanceId("i"), SERVICE, "h:1", HallId("h")), engine=EngineState(DomainId("d"))
)


def probes_made(world: EngineWorld, seconds: float) -> int:
    """Return how many probes a world's coordinator sends within some seconds."""
    probe_count = 0
    due_probes = world.coordinator.due_probes

    def count(now_s: float) -> list[object]:
        nonlocal probe_count
        due = due_probes(now_s)
        probe_count += len(due)
        return list(due)

    world.coordinator.due_probes = count  # type: ignore[method-assign, assignment]
    world.run(seconds)
    world.coordinator.due_probes = due_probes  # type: ignore[method-assign]
    return probe_count


class ProbingTests(testtools.TestCase):
    def test_members_of_groups_that_answer_are_asked_rarely(self) -> None:
        world = EngineWorld()
        world.run(60.0)
        before = probes_made(world, 10.0)
        world.coordinator._probing.is_answering = lambda _: True
        self.assertLess(probes_made(world, 10.0), 0.7 * before)

    def test_a_member_lost_to_a_group_that_falls_silent_is_noticed_at_once(self) -> None:
        world = EngineWorld()
        world.run(60.0)
        world.coordinator._probing.is_answering = lambda _: True
        before = world.serving(LARGE)
        lost = world.members(LARGE)[1]
        group = next(n for n, g in world.coordinator.groups.items() if lost in g.members)
        world.crash(lost)
        world.coordinator.suspect(group, world.now_s)
        self.assertLess(world.run_until(lambda: world.serving(LARGE) < before, 2.0), 0.3)

    def test_of_more_than_may_be_asked_the_urgent_come_first(self) -> None:
        coordinator = Coordinator(replace(TUNING, probes_per_s=100.0))
        coordinator.configure(CONFIGURATION)
        coordinator.begin(Epoch(1), 0.0)
        listed = [replace(LISTED, instance=InstanceId(f"i{n}")) for n in range(500)]
        coordinator.on_listing(listed, 0.0)
        probed: list[str] = []
        for step in range(1, 201):
            for probe in coordinator.due_probes(step * 0.05):
                probed.append(probe.record.instance)
                state = EngineState(DomainId("d"))
                coordinator.on_state(probe.record.instance, state, step * 0.05)
        self.assertLess(len(probed), 1100)
        self.assertEqual(500, len(set(probed[:500])))
        changed = replace(listed[7], engine=EngineState(DomainId("d"), staged=(LARGE.name,)))
        coordinator.on_listing([*listed[:7], changed, *listed[8:]], 10.0)
        due = coordinator.due_probes(10.0 + SPEC.report_lag_s + 0.05)
        self.assertEqual(changed.instance, due[0].record.instance)

    def test_an_order_that_was_taken_is_not_repeated_before_a_report_could_show_it(self) -> None:
        state = CoordinatorState(TUNING)
        record = EngineRecord(LISTED, EngineState(DomainId("d")), observed_s=9.0)
        leave = Leave(GroupId("g"), Epoch(1))
        self.assertTrue(state.issue_order(record, leave, 10.0))
        record.pending_order, record.order_accepted = None, True
        self.assertFalse(state.issue_order(record, leave, 11.0))
        record.observed_s = 10.5
        self.assertTrue(state.issue_order(record, leave, 11.0))
        record.pending_order = None
        self.assertTrue(state.issue_order(record, leave, 11.0 + TUNING.order_unseen_retry_s))

    def test_an_engine_whose_listing_changed_is_asked_once_its_report_shows_that(self) -> None:
        coordinator = Coordinator(TUNING)
        coordinator.configure(CONFIGURATION)
        coordinator.begin(Epoch(1), 0.0)
        coordinator.on_listing((LISTED,), 0.0)
        self.assertEqual(1, len(coordinator.due_probes(0.0)))
        coordinator.on_state(LISTED.instance, EngineState(DomainId("d")), 0.0)
        self.assertEqual([], coordinator.due_probes(0.5))
        staged = EngineState(DomainId("d"), staged=(LARGE.name,))
        coordinator.on_listing((replace(LISTED, engine=staged),), 0.6)
        self.assertEqual([], coordinator.due_probes(0.61))
        self.assertEqual(1, len(coordinator.due_probes(0.6 + SPEC.report_lag_s + 0.01)))
        coordinator.on_state(LISTED.instance, staged, 0.6 + SPEC.report_lag_s + 0.01)
        self.assertEqual([], coordinator.due_probes(1.8))
