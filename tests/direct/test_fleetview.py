# SPDX-License-Identifier: Apache-2.0
from dataclasses import replace

import testtools

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.enginestate import EngineState, MemberPhase, Membership
from ochreway_direct.fleets.fleetview import FleetView
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.messages import FleetUpdate
from ochreway_direct.platformhealth import NEVER_S

SERVICE, HALL = ServiceName("s"), HallId("h")
PLAIN = ListedTarget(InstanceId("p"), ServiceName("plain"), "p:1", HALL)


def engine(name: str, rank: int = 0, phase: MemberPhase = MemberPhase.OPEN) -> ListedTarget:
    membership = Membership(GroupId("g"), Epoch(1), rank, phase)
    state = EngineState(DomainId("d"), ModelName("m"), (), membership)
    return ListedTarget(InstanceId(name), SERVICE, f"{name}:1", HALL, engine=state)


def update(revision: int, sequence: int, *names: str, age_s: float | None = 0.1) -> FleetUpdate:
    groups = tuple(
        GroupView(*(GroupId(n), Epoch(1), SERVICE, ModelName("m"), InstanceId(n), f"{n}:1", HALL))
        for n in names
    )
    return FleetUpdate(revision, sequence, groups, (), (PLAIN,), (), age_s)


class FleetViewTests(testtools.TestCase):
    def names(self, view: FleetView, now_s: float) -> list[str]:
        return [each.group for each in view.groups(now_s)]

    def test_a_newer_lease_goes_before_a_later_update_of_an_older_one(self) -> None:
        view = FleetView(1.4)
        self.assertTrue(view.apply_update(update(5, 1, "new"), 10.0))
        self.assertFalse(view.apply_update(update(3, 99, "old"), 10.1))
        self.assertEqual(["new"], self.names(view, 10.2))

    def test_the_list_shows_open_groups_without_an_update_from_a_holder(self) -> None:
        view = FleetView(1.4)
        members = (
            engine("a"),
            engine("b", 1, MemberPhase.READY),
            engine("c", 0, MemberPhase.READY),
        )
        view.apply_list((PLAIN, *members), 10.0, 10.0, NEVER_S)
        self.assertEqual(["g"], self.names(view, 10.1))

    def test_the_last_update_is_used_while_the_list_is_empty(self) -> None:
        view = FleetView(1.4)
        view.apply_update(update(5, 1, "g9"), 10.0)
        self.assertEqual(["g9"], self.names(view, 60.0))

    def test_a_target_that_left_the_list_is_leaving(self) -> None:
        view = FleetView(1.4)
        view.apply_list((PLAIN, engine("a"), engine("b")), 10.0, 10.0, NEVER_S)
        view.apply_list((PLAIN, replace(engine("a"), leaving=True)), 11.0, 11.0, NEVER_S)
        self.assertEqual({"a", "b"}, set(view.leaving))

    def test_a_target_that_left_unannounced_stays_leaving_while_others_name_its_group(self) -> None:
        view = FleetView(1.4)
        view.apply_list((PLAIN, engine("a"), engine("b")), 10.0, 10.0, NEVER_S)
        for now_s in (11.0, 12.0, 13.0):
            view.apply_list((PLAIN, engine("a")), now_s, now_s, NEVER_S)
            self.assertEqual({"b"}, set(view.leaving))

    def test_targets_that_lapsed_in_an_outage_are_kept_for_a_while(self) -> None:
        view = FleetView(1.4)
        view.apply_list((PLAIN,), 10.0, 10.0, NEVER_S)
        view.apply_list((), 20.0, 20.0, 19.9)
        self.assertEqual((PLAIN,), view.plain_targets())
        self.assertEqual(set(), set(view.leaving))
        view.apply_list((), 22.2, 22.2, 19.9)
        self.assertEqual((), view.plain_targets())
        self.assertEqual({"p"}, set(view.leaving))

    def test_a_target_that_announced_its_leave_stays_leaving_after_an_outage(self) -> None:
        view = FleetView(1.4)
        view.apply_list((PLAIN, engine("a"), engine("b")), 10.0, 10.0, NEVER_S)
        view.apply_list((PLAIN, replace(engine("a"), leaving=True), engine("b")), 20.0, 20.0, 19.9)
        view.apply_list((PLAIN,), 20.5, 20.5, 19.9)
        self.assertEqual({"a"}, set(view.leaving))
        view.apply_list((PLAIN,), 22.2, 22.2, 19.9)
        self.assertEqual({"a", "b"}, set(view.leaving))

    def test_the_age_of_the_list_counts_from_its_query(self) -> None:
        view = FleetView(1.4)
        view.apply_update(update(5, 1, age_s=1.0), 10.0)
        self.assertFalse(view.list_is_stale(10.3))
        self.assertTrue(view.list_is_stale(10.5))

    def test_engines_of_another_entrys_list_are_known_but_not_fresh(self) -> None:
        view = FleetView(1.4)
        view.merge_engines((PLAIN, engine("a")))
        self.assertEqual(["a"], [each.instance for each in view.targets()])
        self.assertTrue(view.list_is_stale(10.0))

    # Guards against targets that have left and come back by the view of a holder that was cut off:
    # it keeps what it misses for a while, as rows may have lapsed, but has not read it.
    def test_what_a_holder_keeps_after_an_outage_is_not_newer_than_a_reading(self) -> None:
        gone = replace(PLAIN, instance=InstanceId("gone"), address="gone:1")
        holder, other = FleetView(1.4), FleetView(1.4)
        holder.apply_update(update(5, 1, "g"), 10.0)
        holder.apply_list((PLAIN, gone), 10.0, 10.0, NEVER_S)
        holder.apply_list((PLAIN,), 20.0, 20.0, 20.0)
        other.apply_list((PLAIN,), 20.1, 20.1, NEVER_S)
        holder.apply_list((PLAIN,), 20.6, 20.6, 20.0)
        self.assertEqual({PLAIN, gone}, set(holder.plain_targets()))
        published = holder.full_update(20.7)
        assert published is not None
        other.apply_update(published, 20.7)
        self.assertEqual({PLAIN}, set(other.plain_targets()))
        holder.renew_update(20.8)
        other.confirm(holder.mark(20.8), 20.8)
        self.assertEqual({PLAIN}, set(other.plain_targets()))
        holder.apply_list((PLAIN,), 22.6, 22.6, 20.0)
        published = holder.full_update(22.7)
        assert published is not None
        self.assertLess(published.listed_age_s or 9.0, 0.2)
