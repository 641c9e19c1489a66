# SPDX-License-Identifier: Apache-2.0
"""The part of the sum that one body takes."""

from collections.abc import Callable
from types import TracebackType

from ochreway_direct.buffering.heldbytes import HeldBytes
from ochreway_direct.buffering.memoryfull import MemoryFull


class Holding:
    """Count one body in the sum from when it is received until it is released."""

    def __init__(self, held: HeldBytes, make_room: Callable[[int], bool]) -> None:
        """Create an empty holding; ``make_room`` returns whether more bytes fit."""
        self._held = held
        self._make_room = make_room
        self.size_bytes = 0

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
