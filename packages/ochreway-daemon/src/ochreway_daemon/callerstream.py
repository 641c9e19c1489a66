# SPDX-License-Identifier: Apache-2.0
"""Queue from the task that runs the node to the handler of one caller's request."""

import asyncio

from ochreway_core.effects import Deliver, Finish
from ochreway_core.ids import RequestId


class CallerStream:
    """Pass the pieces of an answer and its end from one task to another."""

    def __init__(self, request: RequestId, began_s: float) -> None:
        self.request = request
        self.began_s = began_s
        self.first_s: float | None = None
        self._pieces: asyncio.Queue[Deliver | Finish] = asyncio.Queue()

    def put(self, piece: Deliver | Finish) -> None:
        """Add a piece."""
        self._pieces.put_nowait(piece)

    async def get(self) -> Deliver | Finish:
        """Wait for the next piece and return it."""
        return await self._pieces.get()

    def get_available(self) -> list[Deliver | Finish]:
        """Return the pieces that are available without waiting."""
        pieces = []
        while not self._pieces.empty():
            pieces.append(self._pieces.get_nowait())
        return pieces


__all__ = ["CallerStream"]
