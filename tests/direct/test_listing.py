# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import InstanceId
from ochreway_direct.lists.listing import LAPSE_RETURN_S, DepartureTracker
from ochreway_direct.platformhealth import NEVER_S

A, B = InstanceId("a"), InstanceId("b")


class DepartureTrackerTests(testtools.TestCase):
    def test_a_target_that_goes_has_left_even_from_a_list_read_for_the_first_time(self) -> None:
        listing = DepartureTracker()
        listing.record_reading([A, B], 0.0, NEVER_S)
        self.assertEqual({B}, listing.record_reading([A], 0.5, NEVER_S))

    def test_a_target_that_lapsed_in_an_outage_is_kept_for_a_while(self) -> None:
        listing = DepartureTracker()
        listing.record_reading([A, B], 0.0, NEVER_S)
        self.assertEqual(set(), listing.record_reading([A], 20.0, 20.0))
        self.assertEqual(set(), listing.record_reading([A, B], 21.0, 20.0))
        self.assertEqual({B}, listing.record_reading([A], 23.0, 20.0))

    def test_a_lapsed_target_that_does_not_return_has_left(self) -> None:
        listing = DepartureTracker()
        listing.record_reading([A, B], 0.0, NEVER_S)
        listing.record_reading([A], 20.0, 20.0)
        self.assertEqual({B}, listing.record_reading([A], 20.1 + LAPSE_RETURN_S, 20.0))

    def test_a_target_stays_departed_until_it_is_listed_again(self) -> None:
        listing = DepartureTracker()
        listing.record_reading([A, B], 0.0, NEVER_S)
        for now_s in (1.0, 2.0, 3.0):
            self.assertEqual({B}, listing.record_reading([A], now_s, NEVER_S))
        self.assertEqual(set(), listing.record_reading([A, B], 4.0, NEVER_S))
