# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_direct.coordinator.room import Room
from ochreway_standins.engineworld import LARGE, SMALL

BOTH = frozenset({LARGE.name, SMALL.name})
ONLY_LARGE = frozenset({LARGE.name})
NEITHER: frozenset[str] = frozenset()


class RoomTests(testtools.TestCase):
    def test_an_engine_counts_once(self) -> None:
        room = Room({BOTH: 4})
        self.assertTrue(room.holds({LARGE.name: 4}))
        self.assertTrue(room.holds({LARGE.name: 2, SMALL.name: 2}))
        self.assertFalse(room.holds({LARGE.name: 4, SMALL.name: 1}))

    def test_engines_without_the_weights_do_not_count(self) -> None:
        room = Room({ONLY_LARGE: 3, NEITHER: 5})  # type: ignore[dict-item]
        self.assertEqual(8, room.total)
        self.assertTrue(room.holds({LARGE.name: 3}))
        self.assertFalse(room.holds({LARGE.name: 4}))
        self.assertFalse(room.holds({SMALL.name: 1}))

    def test_nothing_always_finds_room(self) -> None:
        self.assertTrue(Room({}).holds({LARGE.name: 0}))
