# SPDX-License-Identifier: Apache-2.0
"""Planning for groups in a drained hall: replacements load first, then the group drains."""

from dataclasses import replace

from ochreway_core.bundle import Bundle, Roll
from ochreway_core.ids import HallId, NodeId
from ochreway_core.reason import Reason
from ochreway_nodes.controller.groupchange import (
    DissolveGroup,
    DrainGroup,
    FormGroup,
    GroupChange,
    RefreshGroup,
    ReleaseStandbys,
)
from ochreway_nodes.controller.halldrainplan import replacements_to_warm
from ochreway_nodes.controller.planner import next_change
from ochreway_nodes.controller.repair import ExpectedCost, RepairTuning
from ochreway_nodes.controller.situation import Situation
from tests.nodes.test_planner import PlannerCase, bundle

OPEN_HALL, DRAINED_HALL = HallId("here"), HallId("there")


class HallDrainPlanTests(PlannerCase):
    def setUp(self) -> None:
        super().setUp()
        self.drained: frozenset[HallId] = frozenset()
        self.closed: frozenset[HallId] = frozenset()
        for health in self.health.values():
            health.hall = OPEN_HALL

    def situation(self, wanted: Bundle | None = None) -> Situation:
        undrained = super().situation(wanted)
        return replace(undrained, drained_halls=self.drained, closed_halls=self.closed)

    def drain(self, names: str, grace_expired: bool = False) -> None:
        """Move instances into the drained hall."""
        for name in names:
            self.health[NodeId(name)].hall = DRAINED_HALL
        self.drained = frozenset((DRAINED_HALL,))
        self.closed = self.drained if grace_expired else frozenset()

    def warm(self, names: str) -> None:
        """Report the weights of the groups as loaded by these instances."""
        row = next(iter(self.rows.groups.values()))
        report = self.health[row.leader.node].report
        assert report is not None
        for name in names:
            self.health[NodeId(name)].report = replace(
                report, node=NodeId(name), group="", artifact=row.artifact
            )

    def members(self, change: GroupChange | None) -> set[str]:
        assert isinstance(change, FormGroup), change
        return {chosen.node for chosen in change.members}

    def test_no_group_forms_with_instances_in_a_drained_hall(self) -> None:
        self.drain("abc")
        self.assertEqual({"d", "e", "f"}, self.members(self.planned()))
        self.drain("abcdef")
        self.assertIsNone(self.planned())

    def test_a_group_serves_on_while_its_replacement_loads(self) -> None:
        self.add_two_groups()
        self.drain("b")
        self.assertIsNone(self.planned())
        to_warm = replacements_to_warm(self.situation())
        self.assertEqual(["g"], [peer.node for peer, _ in to_warm])
        self.warm("g")
        self.assertIsInstance(self.planned(), DrainGroup)
        self.assertEqual([], replacements_to_warm(self.situation()))

    def test_two_groups_load_different_instances_and_go_down_in_turn(self) -> None:
        first, _ = self.add_two_groups()
        self.drain("ad")
        to_warm = replacements_to_warm(self.situation())
        self.assertEqual(["g", "h"], [peer.node for peer, _ in to_warm])
        self.warm("gh")
        change = self.planned()
        self.assertIsInstance(change, DrainGroup)
        self.add_group("care-0", "abc", 1, draining=True)
        self.report(first, Reason.DRAINING)
        self.assertIsNone(self.planned())

    def test_a_spare_reserved_for_one_draining_group_does_not_let_another_drain(self) -> None:
        wanted = bundle("abcdefg").model_copy(update={"roll": Roll(max_groups_down=2)})
        self.add_two_groups()
        self.drain("ad")
        self.warm("g")
        change = self.planned(wanted)
        assert isinstance(change, DrainGroup), change
        self.assertEqual("care-0", change.group)
        first = self.add_group("care-0", "abc", 1, draining=True)
        self.report(first, Reason.DRAINING)
        self.assertIsNone(self.planned(wanted))
        self.report(first, Reason.DRAINING, drained=True)
        self.assertEqual({"b", "c", "g"}, self.members(self.planned(wanted)))

    def test_with_a_spare_for_each_several_groups_drain_at_once(self) -> None:
        wanted = bundle().model_copy(update={"roll": Roll(max_groups_down=2)})
        self.add_two_groups()
        self.drain("ad")
        self.warm("gh")
        first = self.add_group("care-0", "abc", 1, draining=True)
        self.report(first, Reason.DRAINING)
        change = self.planned(wanted)
        assert isinstance(change, DrainGroup), change
        self.assertEqual("care-1", change.group)

    def test_a_drained_group_is_formed_elsewhere(self) -> None:
        first, _ = self.add_two_groups(draining=True)
        self.drain("b")
        self.assertIsNone(self.planned())
        self.report(first, Reason.DRAINING, drained=True)
        self.assertEqual({"a", "c", "g"}, self.members(self.planned()))

    def test_after_the_grace_period_a_group_drains_without_ready_replacements(self) -> None:
        self.add_two_groups()
        self.drain("bgh", grace_expired=True)
        self.assertIsInstance(self.planned(), DrainGroup)
        first, _ = self.add_two_groups(draining=True)
        self.report(first, Reason.DRAINING, drained=True)
        self.assertIsInstance(self.planned(), DissolveGroup)

    def test_without_enough_replacements_a_group_serves_until_the_grace_period_ends(self) -> None:
        self.add_two_groups()
        self.drain("bgh")
        self.assertIsNone(self.planned())
        self.assertEqual([], replacements_to_warm(self.situation()))

    def test_a_drained_group_that_lost_its_replacement_reopens_until_the_grace_period_ends(
        self,
    ) -> None:
        first, _ = self.add_two_groups(draining=True)
        self.report(first, Reason.DRAINING, drained=True)
        self.drain("bgh")
        self.assertIsInstance(self.planned(), RefreshGroup)
        self.drain("bgh", grace_expired=True)
        self.assertIsInstance(self.planned(), DissolveGroup)

    def test_a_draining_group_reopens_when_its_hall_is_restored(self) -> None:
        self.add_two_groups(draining=True)
        self.drain("b")
        self.assertIsNone(self.planned())
        self.drained = frozenset()
        self.assertIsInstance(self.planned(), RefreshGroup)

    def test_a_dead_member_is_replaced_together_with_the_other_members_in_the_hall(self) -> None:
        first, _ = self.add_two_groups()
        self.drain("ab")
        self.lose("b", 20.0)
        self.report(first, Reason.GROUP_INCOMPLETE)
        self.assertEqual({"c", "g", "h"}, self.members(self.planned()))

    def test_a_standby_in_a_drained_hall_is_released(self) -> None:
        self.add_two_groups(standbys="g")
        self.drain("g")
        self.assertIsInstance(self.planned(bundle(standbys=1)), ReleaseStandbys)

    def test_replacing_a_leaving_member_also_replaces_a_member_in_a_drained_hall(self) -> None:
        first, _ = self.add_two_groups(draining=True)
        self.report(first, Reason.DRAINING, drained=True)
        self.health[NodeId("a")].leaving = True
        self.drain("b")
        change = next_change(self.situation(), ExpectedCost(RepairTuning()))
        self.assertNotIn("b", self.members(change))

    def test_a_new_version_uses_no_instance_in_a_drained_hall(self) -> None:
        first, _ = self.add_two_groups(draining=True)
        self.report(first, Reason.DRAINING, drained=True)
        self.drain("b", grace_expired=True)
        self.assertNotIn("b", self.members(self.planned(bundle(version="2"))))
