# SPDX-License-Identifier: Apache-2.0
"""What the account of all connections knows of each."""

from typing import Protocol

from ochreway_runtime.clients.listener import Listener


class Connection(Protocol):
    """One connection of a client; ``held_bytes`` is what is counted for it in the sum."""

    held_bytes: int
    opened_s: float

    @property
    def listener(self) -> Listener:
        """Return the listener that accepted it."""

    @property
    def has_requests(self) -> bool:
        """Return whether it has whole requests that are not answered."""

    def check(self, now_s: float) -> None:
        """Count anew what it holds, in the kernel as well, and end it if nothing is taken."""

    def shed(self) -> bool:
        """Drop all that waits if an answer is under way or not taken; return whether it was."""

    def end(self) -> None:
        """Abort the connection."""


__all__ = ["Connection"]
