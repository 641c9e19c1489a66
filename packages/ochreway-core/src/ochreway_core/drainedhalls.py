# SPDX-License-Identifier: Apache-2.0
"""The data halls that are being drained."""

from dataclasses import dataclass

from ochreway_core.ids import HallId


@dataclass(frozen=True, slots=True)
class DrainedHalls:
    """Name the halls that receive no new work, as of one read of the platform's store.

    ``version`` is that of the read, not of a row: a hall that was restored leaves no row, so only
    the newest complete read says which halls are drained. 0 means that nothing was read yet.
    """

    version: int = 0
    halls: tuple[HallId, ...] = ()

    def newer_than(self, other: "DrainedHalls") -> bool:
        """Return whether this was read from a newer state of the store."""
        return self.version > other.version


UNREAD_HALLS = DrainedHalls()

__all__ = ["UNREAD_HALLS", "DrainedHalls"]
