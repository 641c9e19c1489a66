# SPDX-License-Identifier: Apache-2.0
"""Description of an entry that is passed on to others."""

from dataclasses import dataclass

from ochreway_core.ids import HallId
from ochreway_core.peer import Peer


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """Hold an entry's address, hall and capacity, and how long no entry has received from it.

    ``strength`` is its processor capacity, in cores of usual speed.
    """

    peer: Peer
    hall: HallId
    strength: float
    silent_s: float = 0.0


__all__ = ["KnownEntry"]
