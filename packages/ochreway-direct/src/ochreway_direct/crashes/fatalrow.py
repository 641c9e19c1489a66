# SPDX-License-Identifier: Apache-2.0
"""Row that stores a fatal request beyond the life of all processes."""

from dataclasses import dataclass

from ochreway_core.codec import decode, encode
from ochreway_core.crashsighting import CrashSighting, SeenCrash
from ochreway_core.errors import CodecError
from ochreway_core.ids import Fingerprint, InstanceId

KEY_PREFIX = "fatal/"


@dataclass(frozen=True, slots=True)
class FatalRow:
    """Hold the targets that a request ended, and the wall-clock time of the write.

    Only the wall clock is common to all processes. It is off by seconds at most, while the ages
    computed from it matter in minutes.
    """

    fingerprint: Fingerprint
    targets: tuple[InstanceId, ...]
    written_wall_s: float

    def age_s(self, wall_s: float) -> float:
        """Return how long ago the row was written, by the wall clock."""
        return max(0.0, wall_s - self.written_wall_s)

    def to_sighting(self, wall_s: float) -> CrashSighting:
        """Return the row as a sighting, as another entry would announce it."""
        age_s = self.age_s(wall_s)
        crashes = tuple(SeenCrash(target, age_s) for target in self.targets)
        return CrashSighting(self.fingerprint, crashes, age_s)

    def to_bytes(self) -> bytes:
        """Return the encoded row."""
        return encode(self)


def row_key(fingerprint: Fingerprint) -> str:
    """Return the key of a request's row."""
    return f"{KEY_PREFIX}{fingerprint}"


def decode_row(content: bytes) -> FatalRow | None:
    """Decode a row; return None if it is unreadable."""
    try:
        return decode(FatalRow, content)
    except CodecError:
        return None


__all__ = ["KEY_PREFIX", "FatalRow", "row_key", "decode_row"]
