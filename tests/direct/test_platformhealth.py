# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_direct.platformhealth import NEVER_S, OUTAGE_LEAST_S, PlatformHealth


class PlatformHealthTests(testtools.TestCase):
    def test_an_outage_ends_with_the_first_answer_asked_for_after_it_began(self) -> None:
        health = PlatformHealth()
        health.failed(10.0)
        health.answered(9.0, 10.1)
        self.assertTrue(health.failing)
        health.failed(12.0)
        health.answered(13.0, 13.1)
        self.assertEqual((False, 13.1), (health.failing, health.regained_s))

    def test_a_single_reset_is_none(self) -> None:
        health = PlatformHealth()
        health.failed(10.0)
        health.answered(10.1, 10.0 + OUTAGE_LEAST_S / 2)
        self.assertEqual((False, NEVER_S), (health.failing, health.regained_s))
