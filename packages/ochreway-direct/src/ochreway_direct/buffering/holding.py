# SPDX-License-Identifier: Apache-2.0
"""The part of the sum that one body takes."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import TracebackType

from aiohttp import StreamReader

from ochreway_direct.buffering.heldbytes import HeldBytes
from ochreway_direct.buffering.memoryfull import MemoryFull


class Holding:
    """Count one body in the sum from when it is received until it is released."""

    def __init__(self, held: HeldBytes, make_room: Callable[[int], bool]) -> None:
        """Create an empty holding; ``make_room`` returns whether more bytes fit."""
        self._held = held
        self._make_room = make_room
        self._content: StreamReader | None = None
        self.size_bytes = 0

    @property
    def is_incomplete(self) -> bool:
        """Return whether the rest of the body is still awaited."""
        return self._content is not None and not self._content.is_eof()

    @contextmanager
    def reading(self, content: StreamReader) -> Iterator[None]:
        """Read the body from a stream, which may be given up for bodies that hold less."""
        self._content = content
        try:
            yield
        finally:
            self._content = None

    def give_up(self) -> None:
        """Stop counting an incomplete body; its reader gets ``MemoryFull``."""
        assert self._content is not None
        self.release()
        self._content.set_exception(MemoryFull())

    def require(self, size_bytes: int) -> None:
        """Check that the body would fit with a size, without counting it yet.

        Raises:
            MemoryFull: if it would not fit.
        """
        if not self._make_room(size_bytes - self.size_bytes):
            raise MemoryFull

    def resize(self, size_bytes: int) -> None:
        """Count the body with a new size.

        Raises:
            MemoryFull: if it does not fit; its size then stays as it was.
        """
        more_bytes = size_bytes - self.size_bytes
        if more_bytes > 0 and not self._make_room(more_bytes):
            raise MemoryFull
        self._held.body_bytes += more_bytes
        self.size_bytes = size_bytes

    def release(self) -> None:
        """Stop counting the body."""
        self.resize(0)

    def __enter__(self) -> "Holding":
        """Return the holding, which is released at the end of the context."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the holding."""
        self.release()


__all__ = ["Holding"]
