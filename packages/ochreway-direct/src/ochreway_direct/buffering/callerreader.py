# SPDX-License-Identifier: Apache-2.0
"""A caller's connection as the reader of what is written to it."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import aiohttp

from ochreway_direct.buffering.unread import Unread


@dataclass(slots=True, eq=False)
class CallerReader:
    """Hold a caller's transport, whose buffer keeps what was read ahead, and what is unread.

    Answers on one connection follow each other in one buffer, so the reader is the connection.
    While the buffer is full, ``_source`` is the target's answer of which nothing is taken. The
    connection is watched until ``keep_until_s`` even if nothing is unread, as a whole answer is
    written a little later than it is handed over.
    """

    transport: asyncio.Transport
    unread: Unread
    keep_until_s: float = 0.0
    _source: aiohttp.StreamReader | None = None
    _taken_bytes: int = 0

    def pending_bytes(self) -> int:
        """Return the number of bytes that are held for the caller now."""
        pending_bytes = self.transport.get_write_buffer_size()
        if self._source is not None:
            pending_bytes += self._source.total_bytes - self._taken_bytes
        return pending_bytes

    @contextmanager
    def blocking(self, source: aiohttp.StreamReader) -> Iterator[None]:
        """Count what arrives from a source, all of which was taken so far, within the context."""
        self._source, self._taken_bytes = source, source.total_bytes
        try:
            yield
        finally:
            self._source = None


__all__ = ["CallerReader"]
