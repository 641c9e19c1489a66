# SPDX-License-Identifier: Apache-2.0
"""What differs between two bodies: everything but their common beginning and end.

A change of configuration mostly touches one place of a long bundle.
"""

import os.path
import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BodyDelta:
    """Hold how much of the base's beginning and end stays, and what stands between."""

    beginning: int
    end: int
    packed: bytes


def delta_between(base: bytes, body: bytes) -> BodyDelta:
    """Return what turns the base into the body."""
    beginning = len(os.path.commonprefix([base, body]))
    max_end = min(len(base), len(body)) - beginning
    end = min(max_end, len(os.path.commonprefix([base[::-1], body[::-1]])))
    return BodyDelta(beginning, end, zlib.compress(body[beginning : len(body) - end], 9))


def apply_delta(base: bytes, delta: BodyDelta, max_bytes: int) -> bytes:
    """Return the body that a delta makes of the base.

    Raises:
        zlib.error: when the delta does not unpack.
    """
    middle = zlib.decompressobj().decompress(delta.packed, max_bytes)
    return base[: delta.beginning] + middle + base[len(base) - delta.end :]


__all__ = ["BodyDelta", "apply_delta", "delta_between"]
