# SPDX-License-Identifier: Apache-2.0
"""An entry as others are told of it."""

from dataclasses import dataclass

from ochreway_core.ids import HallId
from ochreway_core.peer import Peer


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """Hold where an entry is, how much it can do, and how long ago anybody heard it.

    ``strength`` is its processor, in cores of usual speed.
    """

    peer: Peer
    hall: HallId
    strength: float
    silent_s: float = 0.0


__all__ = ["KnownEntry"]
