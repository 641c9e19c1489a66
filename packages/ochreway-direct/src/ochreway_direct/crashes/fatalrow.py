# SPDX-License-Identifier: Apache-2.0
"""Row that stores a fatal cause beyond the life of all processes."""

from dataclasses import dataclass

from ochreway_core.codec import decode, encode
from ochreway_core.crashsighting import CrashSighting, SeenCrash
from ochreway_core.errors import CodecError
from ochreway_core.ids import CauseId, InstanceId

KEY_PREFIX = "fatal/"
CRASH_SPACING_S = 1.0
"""Time assumed between the crashes of a row, which does not tell when they were."""


@dataclass(frozen=True, slots=True)
class FatalRow:
    """Hold the targets that ended under a cause, and the wall-clock time of the write.

    ``fingerprint`` is the cause; the field keeps its name for rows of earlier builds.

    Only the wall clock is common to all processes. It is off by seconds at most, while the ages
    computed from it matter in minutes.
    """

    fingerprint: CauseId
    targets: tuple[InstanceId, ...]
    written_wall_s: float

    def age_s(self, wall_s: float) -> float:
        """Return how long ago the row was written, by the wall clock."""
        return max(0.0, wall_s - self.written_wall_s)

    def to_sighting(self, wall_s: float) -> CrashSighting:
        """Return the row as a sighting, as another entry would announce it."""
        age_s = self.age_s(wall_s)
        newest_first = enumerate(reversed(self.targets))
        crashes = tuple(
            SeenCrash(target, age_s + number * CRASH_SPACING_S, approximate=True)
            for number, target in newest_first
        )
        return CrashSighting(self.fingerprint, crashes, age_s)

    def to_bytes(self) -> bytes:
        """Return the encoded row."""
        return encode(self)


def row_key(cause: CauseId) -> str:
    """Return the key of a cause's row."""
    return f"{KEY_PREFIX}{cause}"


def decode_row(content: bytes) -> FatalRow | None:
    """Decode a row; return None if it is unreadable."""
    try:
        return decode(FatalRow, content)
    except CodecError:
        return None


__all__ = ["KEY_PREFIX", "FatalRow", "row_key", "decode_row"]
