# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_core.priority import Priority
from ochreway_core.reason import Reason
from ochreway_routing.fairqueue import LOWER_CLASS_INTERVAL, Displacement, FairQueue
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
        self.assertAlmostEqual(0.0, queue.queued_cost)


def classed(name: str, organisation: str = "a", priority: int = 1, **more: object) -> Work[str]:
    queued_s = more.pop("queued_s", 0.0)
    return Work(name, organisation, priority, 1.0, 0.0, 9.0, 0.0, queued_s, **more)  # type: ignore[arg-type]


class OrderTests(testtools.TestCase):
    """The order that direct entries add to that of native ones."""

    def setUp(self) -> None:
        super().setUp()
        self.queue: FairQueue[str] = FairQueue(8, 4, Displacement.BY_CLASS)

    def offer(self, *works: Work[str]) -> None:
        for each in works:
            self.assertTrue(self.queue.offer(each).is_ok())

    def order(self) -> list[str]:
        planned = [each.item for each in self.queue.planned()]
        taken = []
        while (following := self.queue.dequeue()) is not None:
            taken.append(following.item)
        self.assertEqual(planned, taken)
        return taken

    def test_the_priority_of_the_route_decides_within_an_effective_priority(self) -> None:
        """Guards against an organisation's priority that levels its routes."""
        self.offer(classed("late", route_priority=2), classed("soon", route_priority=0))
        self.assertEqual(["soon", "late"], self.order())

    def test_work_that_must_run_goes_first(self) -> None:
        """Guards against new work before work that cannot be refused."""
        self.offer(classed("new", priority=0), classed("resumed", priority=2, must_run=True))
        self.assertEqual(["resumed", "new"], self.order())

    def test_returned_work_goes_first_in_its_class_only(self) -> None:
        self.offer(
            classed("urgent", priority=0),
            classed("other", "b"),
            classed("returned", "a", returned=True),
        )
        self.assertEqual(["urgent", "returned", "other"], self.order())

    def test_late_work_goes_after_the_rest_of_its_organisation(self) -> None:
        """Guards against one late call that makes all calls behind it late."""
        self.offer(classed("late", late=True), classed("in time"))
        self.assertEqual(["in time", "late"], self.order())

    def test_replaced_work_is_queued_once(self) -> None:
        first, second = classed("first"), classed("second")
        self.offer(first, second)
        self.queue.replace(first, classed("first", late=True))
        self.assertEqual(2, len(self.queue))
        self.assertEqual(["second", "first"], self.order())

    def test_work_that_does_not_fit_keeps_its_turn(self) -> None:
        """Guards against a queue that waits for work whose only place is taken."""
        self.offer(classed("a"), classed("b", "b"))
        taken = self.queue.dequeue(lambda work: work.item == "b")
        assert taken is not None
        self.assertEqual("b", taken.item)
        self.assertIsNone(self.queue.dequeue(lambda _: False))
        self.assertEqual(["a"], self.order())

    def test_more_urgent_work_displaces_the_least_urgent(self) -> None:
        """Guards against a full queue of less urgent work that refuses urgent work."""
        self.offer(*(classed(str(n), priority=1 + n % 2) for n in range(8)))
        displaced = self.queue.offer(classed("urgent", priority=0)).unwrap()
        assert displaced is not None
        self.assertEqual(2, displaced.priority)

    def test_less_urgent_work_displaces_nothing(self) -> None:
        """Guards against an urgent call that gives way to an organisation with fewer calls."""
        self.offer(*(classed(str(n), priority=1) for n in range(8)))
        refused = self.queue.offer(classed("least", "b", priority=2))
        self.assertEqual(Reason.QUEUE_FULL, refused.unwrap_err())

    def test_an_organisation_over_its_share_gives_way_within_its_class(self) -> None:
        """Guards against one organisation that fills the queue of a class."""
        self.offer(*(classed(str(n)) for n in range(7)), classed("small", "b"))
        displaced = self.queue.offer(classed("small2", "b")).unwrap()
        assert displaced is not None
        self.assertEqual("a", displaced.organisation)
        self.assertEqual(Reason.OVER_SHARE, self.queue.offer(classed("more")).unwrap_err())

    def test_work_that_must_run_is_not_displaced(self) -> None:
        """Guards against a call that may have run and is refused."""
        self.offer(*(classed(str(n), must_run=True) for n in range(8)))
        self.assertTrue(self.queue.offer(classed("urgent", priority=0)).is_err())
        self.assertTrue(self.queue.offer(classed("more", must_run=True)).is_err())

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.integers(0, 2),
                st.booleans(),
                st.booleans(),
                st.floats(0, 9),
            ),
            max_size=30,
        ),
        st.integers(0, 10),
    )
    def test_the_plan_is_the_order(
        self, offers: list[tuple[str, int, bool, bool, float]], before: int
    ) -> None:
        """Guards against forecasts by another order than that in which calls go."""
        self.queue = FairQueue(100, 4, Displacement.BY_CLASS)
        self.offer(*(classed(f"before{n}") for n in range(before)))
        while self.queue.dequeue() is not None:
            pass
        for n, (organisation, priority, must_run, returned, queued_s) in enumerate(offers):
            more = {"must_run": must_run, "returned": returned, "queued_s": queued_s}
            self.offer(classed(str(n), organisation, priority, **more))
        self.assertEqual(len(offers), len(self.order()))
