# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_direct.coordinator.capacity import Capacity
from ochreway_standins.engineworld import LARGE, SMALL

BOTH = frozenset({LARGE.name, SMALL.name})
ONLY_LARGE = frozenset({LARGE.name})
NEITHER: frozenset[str] = frozenset()


class CapacityTests(testtools.TestCase):
    def test_an_engine_counts_once(self) -> None:
        capacity = Capacity({BOTH: 4})
        self.assertTrue(capacity.fits({LARGE.name: 4}))
        self.assertTrue(capacity.fits({LARGE.name: 2, SMALL.name: 2}))
        self.assertFalse(capacity.fits({LARGE.name: 4, SMALL.name: 1}))

    def test_engines_without_the_weights_do_not_count(self) -> None:
        capacity = Capacity({ONLY_LARGE: 3, NEITHER: 5})  # type: ignore[dict-item]
        self.assertEqual(8, capacity.total)
        self.assertTrue(capacity.fits({LARGE.name: 3}))
        self.assertFalse(capacity.fits({LARGE.name: 4}))
        self.assertFalse(capacity.fits({SMALL.name: 1}))

    def test_an_empty_capacity_fits_no_members(self) -> None:
        self.assertTrue(Capacity({}).fits({LARGE.name: 0}))
