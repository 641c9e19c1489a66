# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import InstanceId
from ochreway_direct.coordinator.listing import Listing
from ochreway_direct.coordinator.tuning import CoordinatorTuning

A, B = InstanceId("a"), InstanceId("b")


class ListingTests(testtools.TestCase):
    def read_steadily(self, listing: Listing, until_s: float) -> None:
        for step in range(int(until_s)):
            listing.read([A, B], float(step))

    def test_an_entry_that_goes_from_a_steady_list_has_left(self) -> None:
        listing = Listing(CoordinatorTuning())
        self.read_steadily(listing, 6)
        self.assertEqual({B}, listing.read([A], 6.0))

    def test_an_entry_that_lapsed_in_an_outage_is_waited_for(self) -> None:
        listing = Listing(CoordinatorTuning())
        self.read_steadily(listing, 6)
        self.assertEqual(set(), listing.read([A], 20.0))
        self.assertEqual(set(), listing.read([A, B], 21.0))

    def test_one_that_does_not_come_back_has_left(self) -> None:
        listing = Listing(CoordinatorTuning())
        self.read_steadily(listing, 6)
        listing.read([A], 20.0)
        self.assertEqual({B}, listing.read([A], 22.6))
