# SPDX-License-Identifier: Apache-2.0
"""Splitting a byte stream into complete server-sent events."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_EVENT_ID = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Hold back an incomplete event, and remember the id of the last complete one."""

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_id: str | None = None

    def feed(self, piece: bytes) -> bytes:
        """Return the events that are complete after another piece of the stream."""
        content = self._incomplete + piece if self._incomplete else piece
        end = 0
        # The incomplete part has no end, but an end may begin with its last bytes.
        search_from = max(0, len(self._incomplete) - (_MAX_END_BYTES - 1))
        for match in _EVENT_END.finditer(content, search_from):
            end = match.end()
        events, self._incomplete = content[:end], content[end:]
        if events:
            self._record_last_id(events)
        return events

    def _record_last_id(self, events: bytes) -> None:
        ids = _EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")

    def incomplete(self) -> bytes:
        """Return the incomplete event that is held back."""
        return self._incomplete


__all__ = ["EventSplitter"]
