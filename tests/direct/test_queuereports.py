# SPDX-License-Identifier: Apache-2.0
"""What entries report of their queues, and what a queue makes of it."""

import random
from collections import Counter
from dataclasses import replace

import testtools

from ochreway_core.codec import encode
from ochreway_core.ids import Fingerprint
from ochreway_direct.ids import ModelName
from ochreway_direct.queueing.callqueue import CallQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_direct.queueing.waitingcalls import (
    WaitingCalls,
    count_waiting,
    parse_waiting_key,
    waiting_key,
)
from ochreway_direct.serving import Serving
from ochreway_direct.work import NO_WORK, Work, bounded_work, subtract_work, sum_work
from ochreway_routing.fairqueue import FairQueue
from ochreway_standins.engineworld import SPEC

MAX_BYTES = 1024
HOLD_S = QueueTuning().max_hold_s
MODEL = ModelName("m")
URGENT, LEAST = (True, 0, 0), (True, 2, 2)
ONE_FREE = PlaceFacts(1, 4, load=3, own=1, free=1, waiting={URGENT: 1}, waiting_entries=1)


def report(number: int, entries: int = 1) -> Work:
    waiting = WaitingCalls({waiting_key(URGENT, MODEL): number}, {MODEL: entries})
    return Work(waiting=waiting, served_by={"o": number})


def call(priority: int, **more: object) -> WaitingCall:
    name = Fingerprint(f"{priority}")
    return WaitingCall(name, "", priority, priority, 1.0, 0.0, 0.4, 0.8, 0.04, **more)  # type: ignore[arg-type]


class ReportTests(testtools.TestCase):
    def test_an_entry_without_queues_reports_nothing(self) -> None:
        """Guards against bytes and decisions that no configuration calls for."""
        made = Serving.__dataclass_fields__["queue_report"].default()  # type: ignore[operator]
        self.assertEqual((NO_WORK.waiting, {}), (made.waiting, dict(made.served_by)))

    def test_a_sum_without_a_part_is_the_other(self) -> None:
        """Guards against calls that are counted twice or lost on the way through heads."""
        both = sum_work((report(2), report(3, 2)))
        self.assertEqual((report(5, 3).waiting, {"o": 5}), (both.waiting, both.served_by))
        left = subtract_work(both, report(2))
        self.assertEqual((report(3, 2).waiting, {"o": 3}), (left.waiting, left.served_by))
        self.assertEqual({}, subtract_work(report(1), report(4)).waiting.calls)

    def test_both_fields_take_at_most_one_kilobyte(self) -> None:
        """Guards against heartbeats that grow with classes, models and organisations."""
        rng = random.Random(1)
        for _ in range(100):
            width = rng.choice((1, 8, 40, 300))
            names = [f"{n}".rjust(rng.randrange(1, 1 + width), "ö") for n in range(80)]
            counts = {(True, n % 5, n % 3): rng.randrange(1, 10**6) for n in range(15)}
            waiting = count_waiting((ModelName(each), counts) for each in names)
            work = Work(waiting=waiting, served_by={n: rng.randrange(10**6) for n in names})
            kept = bounded_work(work)
            taken = len(encode(kept)) - len(encode(NO_WORK))
            self.assertLessEqual(taken, MAX_BYTES)
            self.assertLessEqual(len(kept.served_by), 16)
            parsed = [parse_waiting_key(key) for key in kept.waiting.calls]
            if width < 40:
                self.assertIn((True, 0, 0), [each[0] for each in parsed if each])

    def test_the_largest_organisations_are_kept(self) -> None:
        """Guards against shares that miss whoever has most."""
        kept = bounded_work(Work(served_by={f"o{n}": n for n in range(100)}))
        self.assertEqual({f"o{n}" for n in range(84, 100)}, set(kept.served_by))

    def test_keys_of_another_form_are_ignored(self) -> None:
        """Guards against a build that cannot read another's reports."""
        self.assertIsNone(parse_waiting_key("1.2/m"))
        self.assertIsNone(parse_waiting_key("x"))
        self.assertEqual((LEAST, "a/b"), parse_waiting_key(waiting_key(LEAST, ModelName("a/b"))))


class HeldPlaceTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        spec = replace(SPEC, slots=4)
        self.queue = CallQueue(spec, 3, 12, random.Random(1), QueueTuning())

    def offer(self, *calls: WaitingCall) -> None:
        for each in calls:
            self.queue.offer(each, ONE_FREE, 0.8, 0.0).unwrap()

    def take(self, facts: PlaceFacts, now_s: float) -> int | None:
        self.queue.advance(facts, now_s)
        left = [facts.free]

        def pick(_: WaitingCall, beyond: int) -> bool | None:
            return True if left[0] + beyond > 0 else None

        taken = self.queue.take(pick, lambda _: facts, now_s)
        return None if taken is None else taken[0].priority

    def test_a_place_is_left_to_a_more_urgent_call_elsewhere_for_a_bounded_time(self) -> None:
        """Guards against calls that pass others, and against places kept for old counts."""
        self.offer(call(2))
        self.assertIsNone(self.take(ONE_FREE, 0.0))
        held_s = self.queue.held_for_s(0.0)
        self.assertEqual(HOLD_S, held_s)
        self.assertIsNone(self.take(ONE_FREE, HOLD_S - 0.001))
        self.assertEqual(2, self.take(ONE_FREE, HOLD_S))
        self.assertIsNone(self.queue.held_for_s(HOLD_S))

    def test_a_place_beyond_those_left_is_taken_at_once(self) -> None:
        """Guards against entries that all leave places to the same call."""
        self.offer(call(2), call(2))
        two_free = replace(ONE_FREE, load=2, free=2)
        self.assertEqual(2, self.take(two_free, 0.0))
        self.assertIsNone(self.take(ONE_FREE, 0.0))

    def test_each_entry_leaves_its_share(self) -> None:
        """Guards against as many unused places as entries for each call that waits."""
        shares = [
            replace(ONE_FREE, waiting={URGENT: 6}, waiting_entries=n).more_urgent_elsewhere(LEAST)
            for n in (0, 1, 2, 5, 9)
        ]
        self.assertEqual([6, 3, 2, 1, 1], shares)

    def test_a_place_goes_to_the_organisation_that_runs_least_everywhere(self) -> None:
        """Guards against shares that each entry counts for itself."""
        big, small = call(1), call(2)
        small.priority = small.route_priority = 1
        big.organisation, small.organisation = "big", "small"
        self.offer(big, small)
        facts = replace(ONE_FREE, waiting={}, served_by={"big": 3})
        self.assertEqual(1, self.take(facts, 0.0))
        self.assertEqual(
            [big], [each for each, _ in self.queue.call_forecasts(lambda _: facts, 0.0)]
        )

    def test_equal_and_more_urgent_calls_and_those_that_may_have_run_go_at_once(self) -> None:
        """Guards against calls that wait for equal ones, and answers that break off."""
        for each in (call(0), call(2, must_run=True)):
            self.offer(each)
            self.assertEqual(each.priority, self.take(ONE_FREE, 0.0))

    def test_no_place_beyond_the_slots_is_lent_while_a_more_urgent_call_waits_elsewhere(
        self,
    ) -> None:
        """Guards against a less urgent queue at engines in front of urgent calls."""
        self.offer(call(2))
        full = replace(ONE_FREE, load=4, free=0)
        self.assertIsNone(self.take(full, 0.0))
        self.assertEqual(2, self.take(replace(full, waiting={}), 0.0))


class SharesEverywhereTests(testtools.TestCase):
    def queue(self) -> FairQueue[WaitingCall]:
        queue: FairQueue[WaitingCall] = FairQueue(capacity=10, slots=4)
        for organisation in ("big", "small"):
            queue.offer(replace(call(1).work(), organisation=organisation)).unwrap()
        return queue

    def test_an_organisation_that_runs_more_elsewhere_goes_later(self) -> None:
        """Guards against an organisation that gets a share at each entry."""
        queue = self.queue()
        self.assertEqual("big", queue.planned()[0].organisation)
        queue.set_running_elsewhere(Counter(big=3))
        self.assertEqual("small", queue.planned()[0].organisation)
        first = queue.dequeue()
        self.assertEqual("small", first.organisation if first else None)
