# SPDX-License-Identifier: Apache-2.0
from dataclasses import replace

import testtools

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.fleets.fleetpublisher import FleetContent, FleetPublisher
from ochreway_direct.fleets.fleetview import FleetView
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.messages import FleetChange, FleetMark, FleetUpdate
from ochreway_direct.platformhealth import NEVER_S


def view(name: str, pace: float = 1.0) -> GroupView:
    group = GroupId(name), Epoch(1), ServiceName("s"), ModelName("m")
    return GroupView(*group, InstanceId(name), f"{name}:1", HallId("h"), pace)


def content(*groups: GroupView, lost: tuple[str, ...] = (), leaving: str = "") -> FleetContent:
    leaving_instances = (InstanceId(leaving),) if leaving else ()
    return FleetContent.build(groups, map(GroupId, lost), (), leaving_instances)


class FleetPublisherTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.publisher = FleetPublisher()
        self.view = FleetView(1.4)

    def publish(self, lease: int, published: FleetContent) -> FleetUpdate | FleetChange | None:
        message = self.publisher.next_message(lease, published, 0.1)
        if isinstance(message, FleetUpdate):
            self.assertTrue(self.view.apply_update(message, 10.0))
        elif message is not None:
            self.assertTrue(self.view.apply_change(message, 10.0))
        return message

    def shown(self) -> dict[str, float]:
        return {each.group: each.pace for each in self.view.groups(10.0)}

    def test_each_lease_begins_with_a_full_update_and_continues_with_changes(self) -> None:
        self.assertIsInstance(self.publish(1, content(view("a"), view("b"))), FleetUpdate)
        message = self.publish(1, content(view("a", 2.0), view("c")))
        assert isinstance(message, FleetChange)
        self.assertEqual({"a", "c"}, {each.group for each in message.groups})
        self.assertEqual(("b",), message.gone)
        self.assertEqual({"a": 2.0, "c": 1.0}, self.shown())
        self.assertIsInstance(self.publish(2, content(view("c"))), FleetUpdate)
        self.assertEqual({"c": 1.0}, self.shown())

    def test_nothing_is_published_when_nothing_changed(self) -> None:
        self.publish(1, content(view("a"), lost=("x",)))
        self.assertIsNone(self.publish(1, content(view("a"), lost=("x",))))
        self.assertIsNone(self.publish(1, content(view("a"))))

    def test_a_lost_group_and_a_leave_are_published(self) -> None:
        self.publish(1, content(view("a")))
        self.assertIsNotNone(self.publish(1, content(view("a"), lost=("x",))))
        self.assertIsNotNone(self.publish(1, content(view("a"), lost=("x",), leaving="i")))
        self.assertEqual({"i"}, set(self.view.leaving))

    def test_a_view_that_missed_a_change_is_older_and_applies_no_later_one(self) -> None:
        self.publish(1, content(view("a")))
        self.publisher.next_message(1, content(view("b")), 0.1)
        missed = self.publisher.next_message(1, content(view("c")), 0.1)
        assert isinstance(missed, FleetChange)
        self.assertFalse(self.view.apply_change(missed, 10.0))
        self.assertTrue(self.view.is_older_than(FleetMark(1, missed.sequence)))
        self.assertEqual({"a": 1.0}, self.shown())

    def test_a_view_stays_fresh_while_its_holder_renews_it(self) -> None:
        self.publish(1, content(view("a")))
        mark = replace(self.view.mark(10.0), age_s=0.2, listed_age_s=0.3)
        self.assertTrue(self.view.list_is_stale(12.0))
        self.assertTrue(self.view.confirm(mark, 12.0))
        self.assertFalse(self.view.list_is_stale(12.0))
        self.assertAlmostEqual(0.2, self.view.mark(12.0).age_s)
        self.assertFalse(self.view.confirm(replace(mark, sequence=9), 14.0))

    def test_a_list_read_by_an_entry_itself_does_not_renew_the_list_of_the_update(
        self,
    ) -> None:
        self.publish(1, content(view("a")))
        self.view.apply_list((), 11.0, 11.0, NEVER_S)
        age_s = self.view.mark(12.0).listed_age_s
        assert age_s is not None
        self.assertAlmostEqual(2.1, age_s)
        self.view.renew_update(12.0)
        self.assertEqual(1.0, self.view.mark(12.0).listed_age_s)
