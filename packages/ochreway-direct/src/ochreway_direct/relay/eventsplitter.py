# SPDX-License-Identifier: Apache-2.0
"""Cutting a stream of bytes into whole server-sent events."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Hold back an event that is not whole, and remember the last whole one's id."""

    def __init__(self) -> None:
        self._held = b""
        self.last_id: str | None = None

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that a piece completes."""
        content = self._held + piece if self._held else piece
        end = 0
        for match in _END.finditer(content):
            end = match.end()
        whole, self._held = content[:end], content[end:]
        if whole:
            self._note_id(whole)
        return whole

    def _note_id(self, whole: bytes) -> None:
        found = _ID.findall(whole)
        if found:
            self.last_id = found[-1].decode("latin-1")

    def rest(self) -> bytes:
        """Return what is held back."""
        return self._held


__all__ = ["EventSplitter"]
