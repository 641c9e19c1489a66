# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_direct.platformhealth import MIN_OUTAGE_S, NEVER_S, PlatformHealth


class PlatformHealthTests(testtools.TestCase):
    def test_an_outage_ends_with_the_first_answer_asked_for_after_it_began(self) -> None:
        health = PlatformHealth()
        health.on_failure(10.0)
        health.on_answer(9.0, 10.1)
        self.assertTrue(health.failing)
        health.on_failure(12.0)
        health.on_answer(13.0, 13.1)
        self.assertEqual((False, 13.1), (health.failing, health.regained_s))

    def test_a_single_reset_is_no_outage(self) -> None:
        health = PlatformHealth()
        health.on_failure(10.0)
        health.on_answer(10.1, 10.0 + MIN_OUTAGE_S / 2)
        self.assertEqual((False, NEVER_S), (health.failing, health.regained_s))
