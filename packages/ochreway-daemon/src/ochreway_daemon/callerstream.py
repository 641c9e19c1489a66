# SPDX-License-Identifier: Apache-2.0
"""What becomes of one request, from the node's owner to the caller's handler."""

import asyncio

from ochreway_core.effects import Deliver, Finish
from ochreway_core.ids import RequestId


class CallerStream:
    """Pass pieces of an answer and its end from one task to another."""

    def __init__(self, request: RequestId, began_s: float) -> None:
        self.request = request
        self.began_s = began_s
        self.first_s: float | None = None
        self._pieces: asyncio.Queue[Deliver | Finish] = asyncio.Queue()

    def put(self, piece: Deliver | Finish) -> None:
        """Add a piece."""
        self._pieces.put_nowait(piece)

    async def get(self) -> Deliver | Finish:
        """Return the next piece."""
        return await self._pieces.get()

    def get_available(self) -> list[Deliver | Finish]:
        """Return the pieces that are there already."""
        pieces = []
        while not self._pieces.empty():
            pieces.append(self._pieces.get_nowait())
        return pieces


__all__ = ["CallerStream"]
