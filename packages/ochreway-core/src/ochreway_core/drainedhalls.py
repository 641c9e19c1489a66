# SPDX-License-Identifier: Apache-2.0
"""The data halls that are being drained."""

from dataclasses import dataclass

from ochreway_core.ids import HallId


@dataclass(frozen=True, slots=True)
class DrainedHalls:
    """Name the halls that get nothing new, as of one reading of the platform's store.

    ``version`` is that of the reading, not of a row: a hall that was taken back leaves no row, so
    only the newest reading as a whole tells which halls are drained. 0 is before any reading.
    """

    version: int = 0
    halls: tuple[HallId, ...] = ()

    def newer_than(self, other: "DrainedHalls") -> bool:
        """Tell whether this was read from a newer state of the store."""
        return self.version > other.version


UNREAD_HALLS = DrainedHalls()

__all__ = ["UNREAD_HALLS", "DrainedHalls"]
