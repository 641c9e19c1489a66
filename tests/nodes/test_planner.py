# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.bundle import Bundle, Group, Model, Organisation, Roll
from ochreway_core.ids import DomainId, Epoch, GroupId, Incarnation, NodeId, TargetName, Version
from ochreway_core.messages import Report
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow, InstanceRow
from ochreway_core.targetkind import TargetKind
from ochreway_nodes.controller.domainrows import DomainRows
from ochreway_nodes.controller.groupchange import (
    DissolveGroup,
    DrainGroup,
    FormGroup,
    GroupChange,
    RefreshGroup,
    ReleaseStandbys,
)
from ochreway_nodes.controller.health import Health
from ochreway_nodes.controller.planner import Situation, next_change
from ochreway_nodes.controller.repair import ExpectedCost, RepairTuning, WaitThenSpare

DOMAIN = DomainId("d1")
NOW_S = 1000.0


def peer(name: str) -> Peer:
    return Peer(NodeId(name), f"{name}:1")


def bundle(instances: str = "abcdefgh", version: str = "1", **section: int) -> Bundle:
    group = Group(
        name="care",
        domain=DOMAIN,
        model="m",
        replicas=2,
        instances_per_replica=3,
        instances=list(instances),
        **section,
    )
    return Bundle(
        format=1,
        name="b",
        roll=Roll(max_groups_down=1),
        model=[Model(name="m", version=version, weights="w")],
        group=[group],
        organisation=[Organisation(name="o", token_sha256="0" * 64)],
    )


class PlannerCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rows = DomainRows(DOMAIN)
        self.health = {
            NodeId(name): Health(peer(name), listed=True, last_seen_s=NOW_S) for name in "abcdefgh"
        }

    def add_group(self, name: str, members: str, epoch: int, **more: object) -> GroupRow:
        row = GroupRow(
            group=GroupId(name),
            domain=DOMAIN,
            kind=TargetKind.MODEL,
            target=TargetName("m"),
            artifact=bundle().artifact(bundle().group[0]),
            slots=64,
            priority=1,
            epoch=Epoch(epoch),
            step=0,
            version=Version(1),
            draining=bool(more.get("draining", False)),
            members=tuple(peer(member) for member in members),
            standbys=tuple(peer(standby) for standby in str(more.get("standbys", ""))),
        )
        self.rows.groups[row.group] = row
        for assigned in row.all_peers:
            self.rows.instances[assigned.node] = InstanceRow(assigned.node, row.group, row.epoch)
        self.report(row)
        return row

    def report(self, row: GroupRow, gate: Reason = Reason.NONE, drained: bool = False) -> None:
        self.health[row.leader.node].report = Report(
            row.leader.node,
            Incarnation(1),
            row.group,
            row.epoch,
            row.step,
            True,
            False,
            True,
            "",
            gate,
            drained,
            (),
        )

    def lose(self, name: str, silent_s: float) -> None:
        self.health[NodeId(name)].last_seen_s = NOW_S - silent_s

    def situation(self, wanted: Bundle | None = None) -> Situation:
        return Situation(wanted or bundle(), self.rows, self.health, 4.0, {}, NOW_S)

    def planned(self, wanted: Bundle | None = None, baseline: bool = False) -> GroupChange | None:
        situation = self.situation(wanted)
        policy = WaitThenSpare if baseline else ExpectedCost
        return next_change(situation, policy(RepairTuning()))

    def add_two_groups(self, **more: object) -> tuple[GroupRow, GroupRow]:
        return self.add_group("care-0", "abc", 1, **more), self.add_group("care-1", "def", 2)


class PlannerTests(PlannerCase):
    def test_missing_group_is_formed(self) -> None:
        change = self.planned()
        assert isinstance(change, FormGroup)
        self.assertEqual(("care-0", 3), (change.group, len(change.members)))

    def test_no_change_when_groups_match_the_bundle(self) -> None:
        self.add_two_groups()
        self.assertIsNone(self.planned())

    def test_dead_member_is_replaced_by_a_spare(self) -> None:
        first, _ = self.add_two_groups()
        self.lose("b", 20.0)
        self.report(first, Reason.GROUP_INCOMPLETE)
        change = self.planned()
        assert isinstance(change, FormGroup)
        self.assertEqual({"a", "c", "g"}, {chosen.node for chosen in change.members})

    def test_member_that_only_the_controller_misses_is_left_alone(self) -> None:
        self.add_two_groups()
        self.lose("b", 20.0)
        self.assertIsNone(self.planned())

    def test_baseline_policy_waits_before_using_a_spare(self) -> None:
        first, _ = self.add_two_groups()
        self.lose("b", 20.0)
        self.report(first, Reason.GROUP_INCOMPLETE)
        self.assertIsNone(self.planned(baseline=True))
        self.lose("b", 90.0)
        self.assertIsInstance(self.planned(baseline=True), FormGroup)

    def test_broken_groups_are_joined_when_there_is_no_spare(self) -> None:
        first, second = self.add_two_groups()
        for name in "begh":
            self.lose(name, 20.0)
        self.report(first, Reason.GROUP_INCOMPLETE)
        self.report(second, Reason.GROUP_INCOMPLETE)
        change = self.planned()
        assert isinstance(change, FormGroup)
        self.assertEqual(("care-1",), change.dissolve)
        self.assertEqual(3, len(change.members))

    def test_max_groups_down_bounds_a_roll(self) -> None:
        self.add_two_groups()
        self.assertIsInstance(self.planned(bundle(version="2")), DrainGroup)
        self.add_two_groups(draining=True)
        self.assertIsNone(self.planned(bundle(version="2")))

    def test_drained_group_is_formed_with_the_new_version(self) -> None:
        first, _ = self.add_two_groups(draining=True)
        self.report(first, Reason.DRAINING, drained=True)
        self.assertIsInstance(self.planned(bundle(version="2")), FormGroup)

    def test_group_draining_without_a_reason_is_reopened(self) -> None:
        self.add_two_groups(draining=True)
        self.assertIsInstance(self.planned(), RefreshGroup)

    def test_leaving_member_drains_its_group_then_a_spare_takes_its_place(self) -> None:
        self.add_two_groups()
        self.health[NodeId("b")].leaving = True
        self.assertIsInstance(self.planned(), DrainGroup)
        first, _ = self.add_two_groups(draining=True)
        self.report(first, Reason.DRAINING, drained=True)
        change = self.planned()
        assert isinstance(change, FormGroup)
        self.assertNotIn("b", {chosen.node for chosen in change.members})

    def test_member_at_a_new_address_is_updated(self) -> None:
        self.add_two_groups()
        self.health[NodeId("b")].peer = Peer(NodeId("b"), "elsewhere:1")
        change = self.planned()
        assert isinstance(change, FormGroup)
        self.assertIn(Peer(NodeId("b"), "elsewhere:1"), change.members)

    def test_standbys_are_reserved_and_released_when_not_wanted(self) -> None:
        change = self.planned(bundle(standbys=1))
        assert isinstance(change, FormGroup)
        self.assertEqual(1, len(change.standbys))
        self.add_two_groups(standbys="g")
        self.assertIsInstance(self.planned(), ReleaseStandbys)

    def test_unwanted_group_is_drained_then_dissolved(self) -> None:
        self.add_two_groups()
        other = self.add_group("old-0", "gh", 3)
        self.assertIsInstance(self.planned(), DrainGroup)
        self.rows.groups.pop(other.group)
        other = self.add_group("old-0", "gh", 3, draining=True)
        self.report(other, Reason.DRAINING, drained=True)
        self.assertIsInstance(self.planned(), DissolveGroup)
