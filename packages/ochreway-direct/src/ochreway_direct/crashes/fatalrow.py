# SPDX-License-Identifier: Apache-2.0
"""The row by which a fatal request outlasts every process."""

from dataclasses import dataclass

from ochreway_core.codec import decode, encode
from ochreway_core.crashsighting import CrashSighting, SeenCrash
from ochreway_core.errors import CodecError
from ochreway_core.ids import Fingerprint, InstanceId

KEY_PREFIX = "fatal/"


@dataclass(frozen=True, slots=True)
class FatalRow:
    """Hold the targets that ended under a request, and the time of day at which that was written.

    Only that clock is common to all processes; it is off by seconds at the most, and what goes by
    it lasts minutes.
    """

    fingerprint: Fingerprint
    targets: tuple[InstanceId, ...]
    written_wall_s: float

    def age_s(self, wall_s: float) -> float:
        """Return how long ago the row was written, by the time of day."""
        return max(0.0, wall_s - self.written_wall_s)

    def to_sighting(self, wall_s: float) -> CrashSighting:
        """Return what the row tells, as another entry would."""
        age_s = self.age_s(wall_s)
        crashes = tuple(SeenCrash(target, age_s) for target in self.targets)
        return CrashSighting(self.fingerprint, crashes, age_s)

    def to_bytes(self) -> bytes:
        """Return the row as it is kept."""
        return encode(self)


def row_key(fingerprint: Fingerprint) -> str:
    """Return the key of a request's row."""
    return f"{KEY_PREFIX}{fingerprint}"


def decode_row(content: bytes) -> FatalRow | None:
    """Return a row, or None when nobody can read it."""
    try:
        return decode(FatalRow, content)
    except CodecError:
        return None


__all__ = ["KEY_PREFIX", "FatalRow", "row_key", "decode_row"]
