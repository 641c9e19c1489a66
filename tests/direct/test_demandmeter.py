# SPDX-License-Identifier: Apache-2.0
"""Load that starts at once, most of it for one of two models.

Of 91 streams a second, 79 are for a small model and 12 for a large one, while the configuration
still gives both models the same share. These are the numbers of a user's site after its work
shifted.
"""

import random

import testtools

from ochreway_direct.coordinator.demand import MIN_MEASUREMENT_S, Demand
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.ids import ModelName
from ochreway_standins.engineworld import SPEC

LARGE, SMALL = SPEC.models[0].name, SPEC.models[1].name
PER_S = {SMALL: 79.0, LARGE: 12.0}
WORK_S = {SMALL: 0.09, LARGE: 0.13}


def simulate_arrivals(meter: DemandMeter, seed: int, duration_s: float) -> None:
    """Record random arrivals of requests from time 0 on."""
    rng = random.Random(seed)
    for model, rate in PER_S.items():
        at_s = rng.expovariate(rate)
        while at_s < duration_s:
            meter.record_work(model, WORK_S[model] * rng.uniform(0.3, 1.7), at_s)
            at_s += rng.expovariate(rate)


class DemandMeterTests(testtools.TestCase):
    def test_nothing_is_offered_before_a_request(self) -> None:
        self.assertEqual({}, DemandMeter().offered(5.0))

    def test_the_first_second_shows_the_offered_work(self) -> None:
        for seed in range(20):
            meter = DemandMeter()
            simulate_arrivals(meter, seed, 1.0)
            offered = meter.offered(1.0)
            self.assertLess(abs(offered[SMALL] / (PER_S[SMALL] * WORK_S[SMALL]) - 1.0), 0.4)
            self.assertGreater(offered[SMALL], 2.0 * offered[LARGE])

    def test_a_single_request_yields_a_low_rate(self) -> None:
        meter = DemandMeter()
        meter.record_work(ModelName("m"), 0.1, 3.0)
        self.assertLess(meter.offered(3.0)[ModelName("m")], 0.25)

    def test_old_requests_decay(self) -> None:
        meter = DemandMeter()
        meter.record_work(ModelName("m"), 1.0, 0.0)
        self.assertLess(meter.offered(30.0)[ModelName("m")], 0.01)

    def test_a_plan_follows_the_first_second_and_not_the_configured_shares(self) -> None:
        meter, demand = DemandMeter(), Demand()
        for step in range(40):
            if step == 0:
                simulate_arrivals(meter, 1, MIN_MEASUREMENT_S + 0.2)
            demand.update(meter.offered(step * 0.05), step * 0.05)
        needs = demand.by_model(SPEC, 81)
        self.assertGreater(needs[SMALL], 3.0 * needs[LARGE])
