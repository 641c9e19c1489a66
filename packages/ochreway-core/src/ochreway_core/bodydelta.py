# SPDX-License-Identifier: Apache-2.0
"""Delta between two bodies: everything except their common beginning and end.

A configuration change mostly touches one place of a long bundle.
"""

import os.path
import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BodyDelta:
    """Hold how many bytes of the base's beginning and end stay, and the compressed middle."""

    beginning: int
    end: int
    packed: bytes


def delta_between(base: bytes, body: bytes) -> BodyDelta:
    """Return the delta that turns the base into the body."""
    beginning = len(os.path.commonprefix([base, body]))
    max_end = min(len(base), len(body)) - beginning
    end = min(max_end, len(os.path.commonprefix([base[::-1], body[::-1]])))
    return BodyDelta(beginning, end, zlib.compress(body[beginning : len(body) - end], 9))


def apply_delta(base: bytes, delta: BodyDelta, max_bytes: int) -> bytes:
    """Return the body that a delta makes of the base.

    Args:
        base: the body that the delta starts from.
        delta: the changes.
        max_bytes: the bound on the decompressed middle.

    Raises:
        zlib.error: if the delta cannot be decompressed.
    """
    middle = zlib.decompressobj().decompress(delta.packed, max_bytes)
    return base[: delta.beginning] + middle + base[len(base) - delta.end :]


__all__ = ["BodyDelta", "apply_delta", "delta_between"]
