# SPDX-License-Identifier: Apache-2.0
"""Messages on requests under which targets end.

They stand apart from the native messages, as direct entries send them too: importing those takes
an entry 7 MB and time at each start, most for the library of signatures.
"""

from dataclasses import dataclass

from ochreway_core.crashsighting import CrashSighting
from ochreway_core.message import message


@message(80)
@dataclass(frozen=True, slots=True)
class CrashNews:
    """Tell other entries under which requests targets have ended.

    ``asks`` has the receiver tell all that counts in return, as its sender has just begun.
    """

    sightings: tuple[CrashSighting, ...]
    asks: bool = False


__all__ = ["CrashNews"]
