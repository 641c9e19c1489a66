# SPDX-License-Identifier: Apache-2.0
"""Demand that a lease holder plans from soon after it has started."""

import heapq
import random

import testtools

from ochreway_direct.coordinator.demand import Demand
from ochreway_direct.demand.decayingsum import DECAY_S
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.demand.offeredwork import OfferedWork
from ochreway_standins.engineworld import SPEC
from ochreway_standins.spreadworld import SpreadWorld, virtually
from tests.direct.test_firsttries import DEADLINE_S, MODEL, RATE_PER_S, WORK_S, fingerprint

SMALL = SPEC.models[1].name
SHARES = Demand().by_model(SPEC, 81)
OUTAGE_S = 1.5
UNDER_WAY_S = 1.0
REFUSING_S = 2.0
REFUSED_SHARE = 0.7
MAX_RETURNS = 4


class ReturnOfAll:
    """All entries come back at once, with callers of the time before, and refuse for a while."""

    def __init__(self, world: SpreadWorld, seed: int) -> None:
        self.world = world
        self.begun_s = world.now_s
        self.truth, self.every_try = DemandMeter(), DemandMeter()
        self.demand, self.demand_of_every_try = Demand(), Demand()
        self.holder = next(iter(world.entries.values()))
        self._random = random.Random(seed)
        before = int(RATE_PER_S * (OUTAGE_S + UNDER_WAY_S))
        self._tries = [
            (self.begun_s + self._random.uniform(0.0, 0.3), caller, 0) for caller in range(before)
        ]
        arrives_s = self.begun_s
        for caller in range(before, before + int(20 * RATE_PER_S)):
            arrives_s += self._random.expovariate(RATE_PER_S)
            self._tries.append((arrives_s, caller, 0))
        heapq.heapify(self._tries)
        self._first_new = before

    def run_until(self, age_s: float) -> None:
        while self.world.now_s < self.begun_s + age_s - 1e-6:
            while self._tries[0][0] <= self.world.now_s:
                _, caller, returns = heapq.heappop(self._tries)
                self._try(caller, returns)
            self.world.run(self.world.step_s)
            now_s = self.world.now_s
            others = self.holder.heartbeats.remote_work.offered_work()
            self.demand.follow(self.holder.first_tries.offered(now_s), others, now_s)
            self.demand_of_every_try.update(self.every_try.offered(now_s), now_s)

    def _try(self, caller: int, returns: int) -> None:
        entry, now_s = self._random.choice(list(self.world.entries.values())), self.world.now_s
        entry.first_tries.record_arrival(fingerprint(caller), MODEL, WORK_S, now_s)
        self.every_try.record_work(MODEL, WORK_S, now_s)
        if caller >= self._first_new and not returns:
            self.truth.record_work(MODEL, WORK_S, now_s)
        refused = self._random.random() < REFUSED_SHARE
        if now_s < self.begun_s + REFUSING_S and refused and returns < MAX_RETURNS:
            entry.first_tries.record_refusal(fingerprint(caller), DEADLINE_S, now_s)
            again_s = now_s + self._random.uniform(0.05, 0.7)
            heapq.heappush(self._tries, (again_s, caller, returns + 1))


class DemandAfterStartTests(testtools.TestCase):
    def test_all_entries_lost_and_back_plan_by_shares_and_then_by_the_true_rate(self) -> None:
        """Guards against plans from the rate at which callers return after a loss."""

        def run(loop: object) -> None:
            for seed in range(3):
                world = SpreadWorld(loop, 5, 3)  # type: ignore[arg-type]
                back = ReturnOfAll(world, seed)
                back.run_until(DECAY_S - 0.1)
                self.assertFalse(back.demand.measured)
                self.assertIsNotNone(back.demand.measured_since_s)
                for age_s in (DECAY_S + 0.1, 6.0, 8.0, 11.0):
                    back.run_until(age_s)
                    truth = back.truth.offered(world.now_s)[MODEL]
                    self.assertLess(abs(back.demand.offered[MODEL] / truth - 1.0), 0.1)
                    if age_s < 6.0:
                        every_try = back.demand_of_every_try.offered[MODEL]
                        self.assertGreater(every_try, 2.0 * truth)

        virtually(run)

    def test_a_new_holder_plans_by_what_entries_report_that_run_for_long(self) -> None:
        """Guards against plans from the first half second of an entry that has just started."""
        others = OfferedWork({SMALL: 6.0}, measured_s=60.0)
        for own_s, planned in ((0.5, 6.0), (DECAY_S - 0.1, 6.0), (DECAY_S, 46.0)):
            demand = Demand(measured_since_s=0.0)
            demand.follow(OfferedWork({SMALL: 40.0}, own_s), others, 100.0)
            self.assertEqual(planned, demand.by_model(SPEC, 81)[SMALL])

    def test_a_new_holder_among_new_entries_plans_by_the_configured_shares(self) -> None:
        demand = Demand(measured_since_s=0.0)
        own, others = OfferedWork({SMALL: 40.0}, 1.0), OfferedWork({SMALL: 90.0}, 1.2)
        demand.follow(own, others, 100.0)
        self.assertEqual(SHARES, demand.by_model(SPEC, 81))

    def test_entries_of_the_previous_build_are_taken_as_running_for_long(self) -> None:
        """Guards against plans by shares at each change of holder in a rolling upgrade."""
        demand = Demand(measured_since_s=0.0)
        demand.follow(OfferedWork({SMALL: 40.0}, 1.0), OfferedWork({SMALL: 6.0}), 100.0)
        self.assertEqual(6.0, demand.by_model(SPEC, 81)[SMALL])

    def test_the_first_requests_are_known_before_their_rate_is(self) -> None:
        """Guards against loads that stay unbounded, as before the first request."""
        demand = Demand()
        demand.follow(OfferedWork({}, 0.1), OfferedWork({}, 0.0), 1.0)
        self.assertIsNone(demand.measured_since_s)
        demand.follow(OfferedWork({SMALL: 1.0}, 0.2), OfferedWork({}, 0.0), 1.1)
        self.assertEqual(1.1, demand.measured_since_s)
        self.assertFalse(demand.measured)
