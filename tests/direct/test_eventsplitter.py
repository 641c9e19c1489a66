# SPDX-License-Identifier: Apache-2.0
import re
from collections.abc import Iterator
from unittest.mock import patch

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ochreway_direct.relay import eventsplitter
from ochreway_direct.relay.eventsplitter import EventSplitter

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 9))


class SearchedBytes:
    """Count the bytes that are searched for the end of an event."""

    def __init__(self) -> None:
        self.number = 0
        self._pattern = eventsplitter._EVENT_END

    def finditer(self, content: bytes, since: int = 0) -> Iterator[re.Match[bytes]]:
        self.number += len(content) - since
        return self._pattern.finditer(content, since)


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

    def test_the_cost_of_a_large_event_does_not_grow_with_the_number_of_pieces(self) -> None:
        """Guards against an event loop that is held up by one large event read in small pieces."""
        event = b"id: 1\ndata: " + b"x" * 1_000_000 + b"\n\n"
        pieces = [event[begin : begin + 16_384] for begin in range(0, len(event), 16_384)]
        splitter = EventSplitter()
        with patch.object(eventsplitter, "_EVENT_END", SearchedBytes()) as searched:
            events = b"".join(splitter.feed(piece) for piece in pieces)
        self.assertEqual(event, events)
        self.assertLess(searched.number, len(event) + 4 * len(pieces))

    def test_an_end_is_found_wherever_pieces_are_cut(self) -> None:
        """Guards against events that are passed late as their end came in two pieces."""
        stream = b"data: a\n\ndata: b\r\n\r\ndata: c\n\r\ndata: d\r\n\n"
        for first in range(len(stream)):
            for second in range(first, len(stream)):
                splitter = EventSplitter()
                pieces = (stream[:first], stream[first:second], stream[second:])
                self.assertEqual(stream, b"".join(splitter.feed(piece) for piece in pieces))
