# SPDX-License-Identifier: Apache-2.0
import math
from dataclasses import replace

import testtools

from ochreway_direct.queueing.forecast import Forecast
from ochreway_direct.queueing.placefacts import PlaceFacts
from ochreway_standins.engineworld import SPEC

RUN_S = 1.2
FULL = PlaceFacts(groups=1, slots=24, load=24, own=24)
URGENT, LEAST = (True, 0, 0), (True, 2, 2)
PLACES_PER_S = 20.0


class ForecastTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.forecast = Forecast(SPEC)
        for _ in range(200):
            self.forecast.record_run(RUN_S)

    def measure(self, per_s: float, for_s: float = 10.0) -> None:
        """Let calls wait for a time in which places come at a rate."""
        for step in range(int(for_s * 100)):
            self.forecast.advance(FULL, True, 0.01 * step)
            if step and int(0.01 * step * per_s) > int(0.01 * (step - 1) * per_s):
                self.forecast.record_place(0.1, 0.1)

    def test_the_wait_follows_from_rank_and_rate(self) -> None:
        self.assertAlmostEqual(0.05, self.forecast.wait_s(0, URGENT, FULL, 0.0), 3)
        self.assertAlmostEqual(0.5, self.forecast.wait_s(9, URGENT, FULL, 0.0), 2)

    def test_the_rate_follows_lost_groups_at_once(self) -> None:
        """Guards against calls that wait for places of groups that are lost."""
        two = replace(FULL, groups=2, load=48, own=48)
        rate_per_s = self.forecast.places_per_s(two)
        self.assertAlmostEqual(rate_per_s / 2.0, self.forecast.places_per_s(FULL))
        self.assertEqual(math.inf, self.forecast.wait_s(0, URGENT, PlaceFacts(0, 24), 0.0))

    def test_the_rate_is_that_of_this_entry(self) -> None:
        """Guards against entries that each count on all places."""
        part = replace(FULL, own=6, sources=3)
        self.assertAlmostEqual(PLACES_PER_S / 4.0, self.forecast.places_per_s(part), 3)

    def test_the_rate_is_corrected_by_measured_places(self) -> None:
        """Guards against forecasts that stay wrong while places come faster or slower."""
        self.measure(12.0)
        self.assertAlmostEqual(12.0, self.forecast.places_per_s(FULL), delta=1.5)

    def test_a_rate_that_was_measured_too_low_does_not_stop_all_calls(self) -> None:
        """Guards against a queue that refuses everyone and therefore measures no places."""
        self.measure(0.0)
        self.assertGreaterEqual(self.forecast.places_per_s(FULL), 0.5 * PLACES_PER_S - 0.01)

    def test_more_urgent_arrivals_delay_a_call(self) -> None:
        before_s = self.forecast.wait_s(0, LEAST, FULL, 5.0)
        for n in range(50):
            self.forecast.record_arrival(URGENT, 0.1 * n)
        self.assertGreater(self.forecast.wait_s(0, LEAST, FULL, 5.0), 1.5 * before_s)
        self.assertAlmostEqual(before_s, self.forecast.wait_s(0, URGENT, FULL, 5.0))

    def test_the_lowest_class_counts_on_its_turns(self) -> None:
        """Guards against refusals of calls that are served in turn beside any urgent load."""
        for n in range(500):
            self.forecast.record_arrival(URGENT, 0.01 * n)
        wait_s = self.forecast.wait_s(40, LEAST, FULL, 5.0, older=0)
        self.assertAlmostEqual(8.0 / PLACES_PER_S, wait_s, 2)

    def test_a_more_urgent_call_is_expected_by_measured_arrivals(self) -> None:
        self.assertFalse(self.forecast.more_urgent_expected(LEAST, 1, FULL, 5.0))
        for n in range(50):
            self.forecast.record_arrival(URGENT, 0.1 * n)
        self.assertFalse(self.forecast.more_urgent_expected(LEAST, 1, FULL, 5.0))
        self.assertTrue(self.forecast.more_urgent_expected(LEAST, 2, FULL, 5.0))
        self.assertFalse(self.forecast.more_urgent_expected(URGENT, 3, FULL, 5.0))

    def test_the_error_is_that_of_finite_forecasts(self) -> None:
        self.forecast.record_place(math.inf, 1.0)
        self.assertEqual(0.0, self.forecast.error_s)
        self.forecast.record_place(0.5, 1.0)
        self.assertGreater(self.forecast.error_s, 0.0)
