# SPDX-License-Identifier: Apache-2.0
import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_direct.relay.eventsplitter import EventSplitter

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 9))


class EventSplitterTests(testtools.TestCase):
    def test_an_incomplete_event_is_held_back(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(b"id: 1\ndata: a\n\n", splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda"))
        self.assertEqual("1", splitter.last_id)
        self.assertEqual(b"id: 2\nda", splitter.incomplete())

    @given(st.lists(st.integers(1, len(EVENTS)), max_size=12))
    def test_pieces_of_any_size_give_the_same_events(self, cuts: list[int]) -> None:
        splitter = EventSplitter()
        passed = b""
        begin = 0
        for end in [*sorted(cuts), len(EVENTS)]:
            events = splitter.feed(EVENTS[begin:end])
            self.assertTrue(events == b"" or events.endswith(b"\n\n"))
            passed += events
            begin = max(begin, end)
        self.assertEqual(EVENTS, passed)
        self.assertEqual("8", splitter.last_id)
