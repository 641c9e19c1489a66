# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import InstanceId
from ochreway_direct.lists.listing import LAPSE_RETURN_S, Listing
from ochreway_direct.platformhealth import NEVER_S

A, B = InstanceId("a"), InstanceId("b")


class ListingTests(testtools.TestCase):
    def test_an_entry_that_goes_has_left_even_from_a_list_read_for_the_first_time(self) -> None:
        listing = Listing()
        listing.read([A, B], 0.0, NEVER_S)
        self.assertEqual({B}, listing.read([A], 0.5, NEVER_S))

    def test_an_entry_that_lapsed_in_an_outage_is_waited_for(self) -> None:
        listing = Listing()
        listing.read([A, B], 0.0, NEVER_S)
        self.assertEqual(set(), listing.read([A], 20.0, 20.0))
        self.assertEqual(set(), listing.read([A, B], 21.0, 20.0))
        self.assertEqual({B}, listing.read([A], 23.0, 20.0))

    def test_one_that_does_not_come_back_has_left(self) -> None:
        listing = Listing()
        listing.read([A, B], 0.0, NEVER_S)
        listing.read([A], 20.0, 20.0)
        self.assertEqual({B}, listing.read([A], 20.1 + LAPSE_RETURN_S, 20.0))

    def test_it_stays_gone_until_it_is_listed_again(self) -> None:
        listing = Listing()
        listing.read([A, B], 0.0, NEVER_S)
        for now_s in (1.0, 2.0, 3.0):
            self.assertEqual({B}, listing.read([A], now_s, NEVER_S))
        self.assertEqual(set(), listing.read([A, B], 4.0, NEVER_S))
