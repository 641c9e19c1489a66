# SPDX-License-Identifier: Apache-2.0
import random
import sys
from dataclasses import replace
from types import FrameType

import testtools

from ochreway_core.ids import Fingerprint, InstanceId
from ochreway_core.reason import Reason
from ochreway_direct.queueing.callqueue import CallQueue
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_direct.queueing.promises import Promise
from ochreway_direct.queueing.queuetuning import QueueTuning
from ochreway_direct.queueing.waitingcall import WaitingCall
from ochreway_standins.engineworld import SPEC

FULL = PlaceFacts(groups=1, slots=4, load=4, own=4)
LONGEST_S = 0.8
BEYOND, BEYOND_RESUMING = 3, 12


def waiting(name: str, priority: int = 1, now_s: float = 0.0, **more: object) -> WaitingCall:
    times_s = (now_s, now_s + 0.4, now_s + 0.8, 0.04)
    return WaitingCall(Fingerprint(name), "", priority, priority, 1.0, *times_s, **more)  # type: ignore[arg-type]


class CallQueueTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.facts = FULL
        spec = replace(SPEC, slots=4)
        self.queue = CallQueue(spec, BEYOND, BEYOND_RESUMING, random.Random(1), QueueTuning())

    def offer(self, call: WaitingCall, now_s: float = 0.0) -> WaitingCall | None:
        return self.queue.offer(call, self.facts, LONGEST_S, now_s).unwrap()

    def take(self, load: int = 0, now_s: float = 0.0) -> str | None:
        def pick(_: WaitingCall, beyond: int) -> bool | None:
            return True if load < FULL.slots + beyond else None

        taken = self.queue.take(pick, lambda _: self.facts, now_s)
        return None if taken is None else taken[0].fingerprint

    def call_forecasts(self, now_s: float = 0.0) -> dict[str, tuple[int, bool]]:
        return {
            call.fingerprint: (forecast.rank, forecast.refused_in_s >= 0.0)
            for call, forecast in self.queue.call_forecasts(lambda _: self.facts, now_s)
        }

    def run_for(self, run_s: float) -> None:
        for _ in range(100):
            self.queue.forecast.record_run(run_s)

    def test_one_place_goes_to_one_call(self) -> None:
        """Guards against two calls on one freed place, and against a call that goes twice."""
        self.offer(waiting("a"))
        self.offer(waiting("b"))
        places = ["place"]
        pick = lambda *_: places.pop() if places else None  # noqa: E731
        self.assertIsNotNone(self.queue.take(pick, lambda _: FULL, 0.0))
        self.assertIsNone(self.queue.take(pick, lambda _: FULL, 0.0))
        self.assertEqual(1, len(self.queue))

    def test_a_call_that_leaves_frees_its_place_in_the_queue(self) -> None:
        """Guards against places for callers who are gone, and ranks that count them."""
        gone, stays = waiting("gone"), waiting("stays")
        self.offer(gone)
        self.offer(stays)
        self.queue.leave(gone)
        self.queue.leave(gone)
        self.assertEqual((0, True), self.call_forecasts()["stays"])
        self.assertEqual(["stays", None], [self.take(), self.take()])

    def test_calls_that_may_have_run_go_before_new_ones(self) -> None:
        """Guards against answers that break off because new calls got the places."""
        self.offer(waiting("new", 0))
        self.offer(waiting("resumed", 2, must_run=True, resuming=True))
        self.assertEqual("resumed", self.take(load=FULL.slots + BEYOND_RESUMING - 1))
        self.assertEqual("new", self.take())

    def test_a_full_queue_takes_further_calls_that_may_have_run(self) -> None:
        """Guards against answers that break off as a lost group sends back several calls at once.

        An entry with a small share of the places has room for one call only.
        """
        self.facts = replace(FULL, load=96, own=1, sources=23)
        self.run_for(4.0)
        displaced = self.offer(waiting("new"))
        self.assertIsNone(displaced)
        names = [f"r{n}" for n in range(5)]
        for name in names:
            displaced = self.offer(waiting(name, must_run=True)) or displaced
        assert displaced is not None
        self.assertEqual("new", displaced.fingerprint)
        self.assertEqual(names, [self.take() for _ in names])
        refused = self.queue.offer(waiting("late"), self.facts, LONGEST_S, 0.0)
        self.assertFalse(refused.is_err())

    def test_a_call_without_a_place_does_not_hold_up_others(self) -> None:
        """Guards against a queue that waits for a call whose only target is unavailable."""
        self.offer(waiting("tried", tried=frozenset({"t0"})))
        self.offer(waiting("free"))
        pick = lambda call, _: None if call.tried else "place"  # noqa: E731
        taken = self.queue.take(pick, lambda _: FULL, 0.0)
        assert taken is not None
        self.assertEqual("free", taken[0].fingerprint)

    def test_places_beyond_the_slots_are_kept_for_a_more_urgent_class(self) -> None:
        """Guards against less urgent calls that queue at an engine before urgent ones."""
        self.run_for(4.0)
        for n in range(10):
            self.offer(waiting(f"u{n}", 0), 0.1 * n)
            self.take(now_s=0.1 * n)
        self.offer(waiting("least", 2, 1.0), 1.0)
        self.assertIsNone(self.take(FULL.slots, 1.0))
        self.assertEqual("least", self.take(FULL.slots - 1, 1.0))

    def test_unused_places_beyond_the_slots_are_lent(self) -> None:
        """Guards against groups that idle while only less urgent calls come."""
        self.offer(waiting("least", 2))
        self.assertEqual("least", self.take(FULL.slots + BEYOND - 1))

    def test_a_less_urgent_call_gets_no_place_beyond_the_slots_before_one_that_waits(self) -> None:
        self.offer(waiting("urgent", 0, tried=frozenset({"t0"})))
        self.offer(waiting("least", 2))
        beyond = {}

        def pick(call: WaitingCall, allowed: int) -> None:
            beyond[call.fingerprint] = allowed

        self.queue.take(pick, lambda _: FULL, 0.0)
        self.assertEqual({"urgent": BEYOND, "least": 0}, beyond)

    def test_the_turn_of_the_lowest_class_uses_a_place_beyond_the_slots(self) -> None:
        """Guards against starvation where a more urgent class keeps every slot taken."""
        self.offer(waiting("least", 2))
        order = []
        for n in range(8):
            self.offer(waiting(f"u{n}", 0))
            order.append(self.take(FULL.slots))
        self.assertIn("least", order)

    def test_a_hopeless_call_is_told_at_once(self) -> None:
        """Guards against callers who wait for a place that comes too late for them."""
        self.run_for(4.0)
        self.offer(waiting("first"))
        self.assertEqual({"first": (0, False)}, self.call_forecasts())

    def test_a_call_becomes_hopeless_as_its_place_moves_away(self) -> None:
        """Guards against callers who wait until their time is over behind more urgent ones."""
        self.run_for(1.2)
        self.offer(waiting("least", 1))
        self.assertTrue(self.call_forecasts()["least"][1])
        for n in range(2):
            self.offer(waiting(f"u{n}", 0))
        self.assertFalse(self.call_forecasts()["least"][1])

    def test_without_a_group_calls_wait_as_long_as_they_polled(self) -> None:
        """Guards against refusals in the moment before a new group opens."""
        self.facts = PlaceFacts(groups=0, slots=4)
        self.offer(waiting("a"))
        self.assertEqual({"a": (0, True)}, self.call_forecasts(0.03))
        self.assertEqual({"a": (0, False)}, self.call_forecasts(0.05))

    def test_a_call_that_every_group_has_rejected_waits_as_long_as_it_polled(self) -> None:
        """Guards against callers who wait unserved for places that their calls cannot take."""
        leaders = frozenset({InstanceId("t0"), InstanceId("t1")})
        self.facts = replace(FULL, groups=2, leaders=leaders)
        self.offer(waiting("rejected", tried=leaders))
        self.offer(waiting("elsewhere", tried=frozenset({InstanceId("t0")})))
        self.assertEqual({"rejected": (0, True), "elsewhere": (1, True)}, self.call_forecasts(0.03))
        self.assertEqual(
            {"rejected": (0, False), "elsewhere": (0, True)}, self.call_forecasts(0.05)
        )

    def test_a_full_queue_drops_less_urgent_calls_only(self) -> None:
        """Guards against a caller whose place is taken by a less urgent one."""
        self.run_for(4.0)
        self.assertIsNone(self.offer(waiting("middle", 1)))
        refused = self.queue.offer(waiting("least", 2), FULL, LONGEST_S, 0.0)
        self.assertEqual(Reason.QUEUE_FULL, refused.unwrap_err())
        displaced = self.offer(waiting("urgent", 0))
        assert displaced is not None
        self.assertEqual("middle", displaced.fingerprint)
        self.assertEqual(["urgent", None], [self.take(), self.take()])

    def test_a_caller_that_returns_as_told_goes_before_later_calls(self) -> None:
        """Guards against callers who are refused again when they return as told."""
        self.run_for(1.0)
        told = waiting("told")
        forecast = self.queue.last_forecast(told, FULL, 0.0)
        after_s = self.queue.return_after_s(told, forecast, FULL, 1.2, 0.0)
        self.assertLess(after_s, 1.2)
        self.offer(waiting("other", now_s=0.1), 0.1)
        back = waiting("told", now_s=after_s)
        self.offer(back, after_s)
        self.assertTrue(back.returned)
        self.assertEqual(["told", "other"], [self.take(), self.take()])

    def test_a_caller_that_returns_as_told_finds_room_in_a_full_queue(self) -> None:
        """Guards against callers who are told a place and are refused a second time."""
        self.run_for(1.0)
        told = waiting("told")
        forecast = self.queue.last_forecast(told, FULL, 0.0)
        after_s = self.queue.return_after_s(told, forecast, FULL, 1.2, 0.0)
        others = 0
        while self.queue.offer(waiting(f"c{others}"), FULL, LONGEST_S, 0.0).is_ok():
            others += 1
        self.assertGreater(others, 0)
        back = waiting("told", now_s=after_s)
        self.assertIsNone(self.offer(back, after_s))
        self.assertTrue(back.returned)
        refused = self.queue.offer(waiting("late"), FULL, LONGEST_S, after_s)
        self.assertEqual(Reason.QUEUE_FULL, refused.unwrap_err())
        self.assertEqual("told", self.take())

    def test_return_times_stay_within_what_callers_honour(self) -> None:
        """Guards against return times that callers ignore, and places promised twice."""
        self.run_for(1.0)
        times_s = []
        for n in range(20):
            call = waiting(f"c{n}")
            forecast = self.queue.last_forecast(call, FULL, 0.0)
            times_s.append(self.queue.return_after_s(call, forecast, FULL, 1.2, 0.0))
        self.assertLessEqual(max(times_s), 1.2)
        self.assertEqual(len(times_s), len(set(times_s)))

    def test_promised_places_do_not_slow_down_the_check_of_a_long_queue(self) -> None:
        """Guards against an event loop that is held up by each caller times each promise."""
        self.facts = PlaceFacts(groups=400, slots=4, load=1600, own=1600)
        for n in range(QueueTuning().max_length):
            self.offer(waiting(f"c{n}"))
        without = self.check_steps()
        for n in range(QueueTuning().max_length):
            urgency = waiting("").work().urgency
            self.queue.promises.add(Fingerprint(f"p{n}"), Promise(0.001 * n, urgency, 0.4), 0.0)
        self.assertLess(self.check_steps(), 3 * without)

    def check_steps(self) -> int:
        """Return how many lines of code a check runs."""
        lines = 0

        def count(frame: FrameType, event: str, arg: object) -> object:
            nonlocal lines
            lines += event == "line"
            return count

        sys.settrace(count)
        self.call_forecasts()
        sys.settrace(None)
        return lines
