# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.priority import Priority
from ochreway_core.reason import Reason
from ochreway_routing.fairqueue import LOWER_CLASS_INTERVAL, FairQueue
from ochreway_routing.work import Work


def work(
    name: str, organisation: str, priority: Priority = Priority.NORMAL, deadline_s: float = 100.0
) -> Work[str]:
    return Work(name, organisation, priority, 10.0, 5.0, deadline_s, 1.0, 0.0)


class FairQueueTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue: FairQueue[str] = FairQueue(capacity=8, slots=4)

    def offer(self, *args: object, **more: object) -> None:
        self.assertTrue(self.queue.offer(work(*args, **more)).is_ok())  # type: ignore[arg-type]

    def taken(self, count: int) -> list[str]:
        return [
            dequeued.item for dequeued in (self.queue.dequeue() for _ in range(count)) if dequeued
        ]

    def test_small_organisation_is_served_in_turn(self) -> None:
        for index in range(5):
            self.offer(f"big{index}", "big")
        self.offer("small0", "small")
        self.assertIn("small0", self.taken(2))

    def test_weights(self) -> None:
        self.queue.capacity = 100
        self.queue.set_shares([("a", 3, 0), ("b", 1, 0)])
        for index in range(12):
            self.offer(f"a{index}", "a")
            self.offer(f"b{index}", "b")
        first = self.taken(7)
        self.assertEqual(5, sum(name.startswith("a") for name in first))

    def test_guaranteed_share_goes_first(self) -> None:
        self.queue.set_shares([("a", 100, 0), ("b", 1, 50)])
        self.offer("a0", "a")
        self.offer("a1", "a")
        self.offer("b0", "b")
        self.assertEqual(["b0"], self.taken(1))

    def test_visit_work_goes_first(self) -> None:
        self.offer("chat", "a")
        self.offer("visit", "a", Priority.VISIT)
        self.assertEqual(["visit", "chat"], self.taken(2))

    def test_lower_class_does_not_starve(self) -> None:
        self.queue.capacity = 100
        self.offer("batch", "a", Priority.BATCH)
        for index in range(50):
            self.offer(f"v{index}", "a", Priority.VISIT)
        self.assertIn("batch", self.taken(LOWER_CLASS_INTERVAL))

    def test_earliest_deadline_first(self) -> None:
        self.offer("later", "a", deadline_s=9.0)
        self.offer("sooner", "a", deadline_s=3.0)
        self.assertEqual(["sooner", "later"], self.taken(2))

    def test_full_queue_makes_room_for_the_one_under_its_share(self) -> None:
        for index in range(8):
            self.offer(f"big{index}", "big")
        displaced = self.queue.offer(work("small", "small")).unwrap()
        assert displaced is not None
        self.assertEqual("big", displaced.organisation)

    def test_full_queue_refuses_the_one_over_its_share(self) -> None:
        for index in range(7):
            self.offer(f"big{index}", "big")
        self.offer("small", "small")
        self.assertEqual(Reason.OVER_SHARE, self.queue.offer(work("more", "big")).unwrap_err())

    def test_infeasible_work_is_removed(self) -> None:
        self.offer("late", "a", deadline_s=2.0)
        self.offer("fine", "a", deadline_s=50.0)
        self.assertEqual(["late"], [each.item for each in self.queue.remove_infeasible(1.0, 0.5)])
        self.assertEqual(1, len(self.queue))

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(list(Priority))), max_size=40)
    )
    def test_everything_offered_comes_out_once(self, offers: list[tuple[str, Priority]]) -> None:
        queue: FairQueue[str] = FairQueue(capacity=10, slots=4)
        kept: set[str] = set()
        for index, (organisation, priority) in enumerate(offers):
            offered = queue.offer(work(str(index), organisation, priority))
            if offered.is_ok():
                kept.add(str(index))
                displaced = offered.unwrap()
                if displaced is not None:
                    kept.remove(displaced.item)
        taken = []
        while (following := queue.dequeue()) is not None:
            taken.append(following.item)
        self.assertEqual(sorted(kept), sorted(taken))
        self.assertAlmostEqual(0.0, queue.tokens)
