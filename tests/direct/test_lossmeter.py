# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_direct.coordinator.lossmeter import (
    RATE_STEP_FACTOR,
    TYPICAL_LOSSES_PER_ENGINE_S,
    LossMeter,
)


def meter_after(engines: int, loss_interval_s: float, duration_s: float) -> LossMeter:
    """Return a meter that recorded losses at equal intervals."""
    meter = LossMeter()
    due_s = loss_interval_s
    for step in range(int(duration_s * 20)):
        now_s = step * 0.05
        meter.advance(engines, now_s)
        if now_s >= due_s:
            meter.record_loss(now_s)
            due_s += loss_interval_s
    return meter


class LossMeterTests(testtools.TestCase):
    def test_the_typical_rate_is_assumed_before_any_loss(self) -> None:
        self.assertAlmostEqual(TYPICAL_LOSSES_PER_ENGINE_S, LossMeter().losses_per_engine_s)

    def test_a_small_site_with_as_many_losses_has_a_higher_rate(self) -> None:
        small, large = meter_after(24, 3.0, 30.0), meter_after(81, 3.0, 30.0)
        self.assertAlmostEqual(TYPICAL_LOSSES_PER_ENGINE_S, large.losses_per_engine_s, delta=0.001)
        self.assertGreater(small.losses_per_engine_s, 1.9 * TYPICAL_LOSSES_PER_ENGINE_S)

    def test_a_site_without_losses_has_a_lower_rate(self) -> None:
        calm = meter_after(81, 1.0e9, 60.0)
        self.assertLess(calm.losses_per_engine_s, TYPICAL_LOSSES_PER_ENGINE_S / 2)

    def test_losses_of_a_whole_domain_count_as_one_cause(self) -> None:
        meter = meter_after(81, 1.0e9, 10.0)
        before = meter.losses_per_engine_s
        for _ in range(27):
            meter.record_loss(10.0)
        self.assertLess(meter.losses_per_engine_s, 2 * before * RATE_STEP_FACTOR)

    def test_losses_before_the_first_request_do_not_count(self) -> None:
        meter = LossMeter()
        meter.record_loss(1.0)
        self.assertAlmostEqual(TYPICAL_LOSSES_PER_ENGINE_S, meter.losses_per_engine_s)
