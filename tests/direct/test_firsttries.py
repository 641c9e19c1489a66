# SPDX-License-Identifier: Apache-2.0
"""Refused callers who return: their work is counted once.

Each test has the meter that counts every try as its baseline.
"""

import random
import tracemalloc
from dataclasses import dataclass, field

import testtools

from ochreway_core.fingerprint import fingerprint_of
from ochreway_core.ids import Fingerprint
from ochreway_direct.configuration import RouteKind
from ochreway_direct.demand.decayingsum import DECAY_S
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.demand.firsttries import FirstTries
from ochreway_direct.demand.recentrequests import MAX_REQUESTS
from ochreway_direct.ids import ModelName
from ochreway_runtime.metrics import Metrics
from tests.direct.relaycase import RelayCase, RunningRelay

MODEL = ModelName("m")
WORK_S = 0.1
DEADLINE_S = 4.0
RATE_PER_S = 40.0
MAX_MEMORY_BYTES = 500_000


def fingerprint(number: int) -> Fingerprint:
    return fingerprint_of("a", "POST", "/", str(number).encode())


@dataclass
class MeteredEntry:
    """An entry's count of first tries, beside a meter that counts every try."""

    meter: DemandMeter = field(default_factory=DemandMeter)
    every_try: DemandMeter = field(default_factory=DemandMeter)
    metrics: Metrics = field(default_factory=lambda: Metrics(None, "entry"))

    def __post_init__(self) -> None:
        self.first_tries = FirstTries(self.meter, self.metrics, 0.0)

    def arrive(self, number: int, at_s: float) -> None:
        self.first_tries.record_arrival(fingerprint(number), MODEL, WORK_S, at_s)
        self.every_try.record_work(MODEL, WORK_S, at_s)

    def refuse(self, number: int, at_s: float, left_s: float = DEADLINE_S) -> None:
        self.first_tries.record_refusal(fingerprint(number), left_s, at_s)

    def offered(self, at_s: float) -> float:
        return self.meter.offered(at_s).get(MODEL, 0.0)

    def returned(self) -> int:
        return self.metrics.counters.get("demand.returned", 0)


def refuse_all(entry: MeteredEntry, refusals: int, duration_s: float, seed: int) -> None:
    """Have new callers arrive at random, each refused some times and returning after 0.3 s."""
    rng = random.Random(seed)
    events: list[tuple[float, int, int]] = []
    at_s, number = rng.expovariate(RATE_PER_S), 0
    while at_s < duration_s:
        events.extend((at_s + 0.35 * again, number, again) for again in range(refusals + 1))
        at_s, number = at_s + rng.expovariate(RATE_PER_S), number + 1
    for arrives_s, caller, again in sorted(events):
        entry.arrive(caller, arrives_s)
        if again < refusals:
            entry.refuse(caller, arrives_s + 0.05, DEADLINE_S - 0.35 * again - 0.05)


class ReturnsHereTests(testtools.TestCase):
    def test_callers_refused_once_or_twice_are_counted_once(self) -> None:
        """Guards against demand that grows with refusals while callers stay the same."""
        for refusals in (1, 2):
            entry, unrefused = MeteredEntry(), MeteredEntry()
            refuse_all(entry, refusals, 15.0, seed=3)
            refuse_all(unrefused, 0, 15.0, seed=3)
            truth = unrefused.offered(15.0)
            baseline = entry.every_try.offered(15.0)[MODEL]
            self.assertLess(abs(entry.offered(15.0) / truth - 1.0), 0.1)
            self.assertGreater(baseline / truth, 1.0 + 0.8 * refusals)
            share = entry.first_tries.gauges(15.0)["demand_returned_share"]
            self.assertLess(abs(share - refusals / (refusals + 1)), 0.05)

    def test_equal_requests_that_were_served_are_counted_each_time(self) -> None:
        """Guards against equal prompts of different callers that are taken for returns."""
        entry = MeteredEntry()
        for number in range(10):
            entry.arrive(1, 0.1 * number)
        self.assertEqual(10, entry.metrics.counters["demand.first"])
        self.assertEqual(0, entry.returned())

    def test_a_refusal_excuses_one_of_several_callers_with_equal_requests(self) -> None:
        entry = MeteredEntry()
        entry.arrive(1, 0.0)
        entry.arrive(1, 0.1)
        entry.refuse(1, 0.2)
        for number in range(3):
            entry.arrive(1, 0.3 + 0.1 * number)
        self.assertEqual((4, 1), (entry.metrics.counters["demand.first"], entry.returned()))

    def test_a_caller_that_comes_after_its_deadline_is_new(self) -> None:
        for left_s, at_s, returned in ((0.5, 0.6, 0), (0.5, 0.4, 1), (60.0, DECAY_S + 0.1, 0)):
            entry = MeteredEntry()
            entry.arrive(1, 0.0)
            entry.refuse(1, 0.0, left_s)
            entry.arrive(1, at_s)
            self.assertEqual(returned, entry.returned())

    def test_memory_is_bounded_under_a_flood_of_different_requests(self) -> None:
        """Guards against memory that grows with the rate of requests."""
        entry = MeteredEntry()
        prints = [fingerprint(number) for number in range(3 * MAX_REQUESTS)]
        tracemalloc.start()
        for number, each in enumerate(prints):
            at_s = 0.0001 * number
            entry.first_tries.record_arrival(each, MODEL, WORK_S, at_s)
            entry.first_tries.record_refusal(each, DEADLINE_S, at_s)
        entry.first_tries.take_refusals(2.0, contacts=0)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual(MAX_REQUESTS, len(entry.first_tries._recent))
        self.assertLess(used_bytes, MAX_MEMORY_BYTES)


class RefusedByRelayTests(RelayCase):
    kind = RouteKind.STREAM

    def test_a_caller_refused_by_a_full_entry_is_counted_once(self) -> None:
        """Guards against a refusal that the relay does not report to the meter."""

        async def work(running: RunningRelay) -> None:
            for _ in range(3):
                self.assertEqual(503, (await running.send_request()).status)
            running.body = b"another"
            self.assertEqual(503, (await running.send_request()).status)
            counters = running.metrics.counters
            self.assertEqual((2, 2), (counters["demand.first"], counters["demand.returned"]))

        self.run_with_relay(work)
