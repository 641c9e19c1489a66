# SPDX-License-Identifier: Apache-2.0
import random
from collections import Counter

import testtools

from ochreway_core.ids import Epoch, GroupId, HallId, InstanceId
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.fleets.groupview import GroupView
from ochreway_direct.relay.attempt import Attempt
from ochreway_standins.engineworld import LARGE, SERVICE, SPEC

HALL = HallId("h")
QUEUED = 3


def view(name: str, pace: float) -> GroupView:
    leader = InstanceId(f"{name}-leader")
    return GroupView(GroupId(name), Epoch(1), SERVICE, LARGE.name, leader, "x:1", HALL, pace)


class GroupChoiceTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(HALL, random.Random(1))

    def load(self, group: GroupView, requests: int) -> None:
        for _ in range(requests):
            self.fleet.begin(Attempt(group.leader, group.address, group.hall, group.group))

    def chosen(self) -> str | None:
        choice = self.fleet.pick_group(SERVICE, LARGE.name, (), SPEC, QUEUED)
        return choice.group if choice is not None else None

    def test_of_equal_groups_the_least_loaded_is_chosen(self) -> None:
        busy, idle = view("busy", 1.0), view("idle", 1.0)
        self.fleet.set_groups((busy, idle))
        self.load(busy, 4)
        self.assertEqual("idle", self.chosen())

    def test_prompts_that_are_not_read_yet_count_until_an_answer_has_begun(self) -> None:
        one, other = view("one", 1.0), view("other", 1.0)
        self.fleet.set_groups((one, other))
        unread = Attempt(one.leader, one.address, one.hall, one.group, prompt_tokens=4000)
        self.fleet.begin(unread)
        self.load(other, 4)
        self.assertEqual("other", self.chosen())
        self.assertEqual({"one": 4000}, self.fleet.unread())
        self.fleet.on_answer_part(unread, 1.0)
        self.assertEqual("one", self.chosen())
        self.assertEqual({}, self.fleet.unread())

    def test_prompts_sent_by_other_entries_count_too(self) -> None:
        one, other = view("one", 1.0), view("other", 1.0)
        self.fleet.set_groups((one, other))
        self.load(other, 2)
        self.assertEqual("one", self.chosen())
        self.fleet.set_remote_work("e2", Counter(), Counter({"one": 4000}))
        self.assertEqual("other", self.chosen())
        self.fleet.drop_remote_work("e2")
        self.assertEqual("one", self.chosen())

    def test_a_slow_group_is_chosen_only_when_others_would_be_slower(self) -> None:
        fast, slow = view("fast", 1.0), view("slow", 3.0)
        self.fleet.set_groups((fast, slow))
        self.load(fast, 12)
        self.assertEqual("fast", self.chosen())
        self.load(fast, SPEC.slots)
        self.assertEqual("slow", self.chosen())

    def test_of_many_groups_the_best_of_a_few_drawn_ones_is_chosen(self) -> None:
        fleet = Fleet(HALL, random.Random(1), sample_size=2)
        groups = [view(f"g{n}", 1.0) for n in range(10)]
        fleet.set_groups(groups)
        for group in groups[1:]:
            fleet.begin(Attempt(group.leader, group.address, HALL, group.group))
            fleet.begin(Attempt(group.leader, group.address, HALL, group.group))
        choices = [fleet.pick_group(SERVICE, LARGE.name, (), SPEC, QUEUED) for _ in range(200)]
        idle = sum(each is not None and each.group == "g0" for each in choices)
        self.assertTrue(20 <= idle <= 60, idle)
        self.assertEqual(10, len({each.group for each in choices if each is not None}))

    def test_slow_groups_are_drawn_only_when_the_fast_ones_are_full(self) -> None:
        fleet = Fleet(HALL, random.Random(1), sample_size=2)
        fast = [view(f"fast{n}", 1.0) for n in range(3)]
        fleet.set_groups([*fast, *(view(f"slow{n}", 4.0) for n in range(9))])

        def chosen() -> str:
            choice = fleet.pick_group(SERVICE, LARGE.name, (), SPEC, QUEUED)
            assert choice is not None
            return choice.group[:4]

        self.assertEqual({"fast"}, {chosen() for _ in range(100)})
        for group in fast:
            for _ in range(SPEC.slots + QUEUED):
                fleet.begin(Attempt(group.leader, group.address, HALL, group.group))
        self.assertEqual({"slow"}, {chosen() for _ in range(20)})

    def test_none_is_chosen_when_all_are_full(self) -> None:
        only = view("only", 1.0)
        self.fleet.set_groups((only,))
        self.load(only, SPEC.slots + QUEUED)
        self.assertIsNone(self.chosen())

    def test_a_sum_over_entries_follows_each_of_their_reports(self) -> None:
        group = view("one", 1.0)
        self.fleet.set_groups((group,))
        self.fleet.set_remote_work("e2", {"one": 3})
        self.fleet.set_remote_work("e3", {"one": 2, "other": 1})
        self.assertEqual(5, self.fleet.load("one"))
        self.fleet.set_remote_work("e2", {"other": 4})
        self.assertEqual((2, 5), (self.fleet.load("one"), self.fleet.load("other")))
        self.fleet.drop_remote_work("e3")
        self.assertEqual((0, 4), (self.fleet.load("one"), self.fleet.load("other")))


class SilenceTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(HALL, random.Random(1))
        self.group = view("one", 1.0)
        self.fleet.set_groups((self.group,))

    def begin(self, begun_s: float) -> Attempt:
        group = self.group
        attempt = Attempt(group.leader, group.address, HALL, group.group, begun_s=begun_s)
        self.fleet.begin(attempt)
        return attempt

    def test_a_group_whose_answers_stand_still_is_silent(self) -> None:
        self.fleet.on_answer_part(self.begin(10.0), 10.2)
        self.assertEqual([], self.fleet.silent_groups(10.4, 0.3))
        self.assertEqual(["one"], self.fleet.silent_groups(10.6, 0.3))

    def test_a_group_that_answers_nobody_is_silent_after_a_while(self) -> None:
        self.begin(10.0)
        self.begin(10.5)
        self.assertEqual([], self.fleet.silent_groups(10.6, 0.3))
        self.assertEqual(["one"], self.fleet.silent_groups(10.8, 0.3))

    def test_a_group_that_nothing_is_asked_of_is_not(self) -> None:
        self.assertEqual([], self.fleet.silent_groups(60.0, 0.3))
