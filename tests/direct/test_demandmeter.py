# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_direct.demandmeter import DemandMeter
from ochreway_standins.engineworld import LARGE, SMALL

PER_S = 20


class DemandMeterTests(testtools.TestCase):
    def offered(self, seconds: float) -> float:
        meter = DemandMeter()
        for number in range(int(seconds * PER_S) + 1):
            meter.note(LARGE.name, 0.1, number / PER_S)
        return meter.offered(seconds)[LARGE.name]

    def test_the_rate_is_right_soon_after_the_first_request(self) -> None:
        for seconds in (2.0, 4.0, 30.0):
            self.assertAlmostEqual(0.1 * PER_S, self.offered(seconds), delta=0.2)

    def test_what_does_not_come_any_more_fades(self) -> None:
        meter = DemandMeter()
        meter.note(SMALL.name, 1.0, 0.0)
        self.assertLess(meter.offered(20.0)[SMALL.name], 0.01)

    def test_nothing_is_offered_before_the_first_request(self) -> None:
        self.assertEqual({}, DemandMeter().offered(5.0))
