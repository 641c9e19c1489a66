# SPDX-License-Identifier: Apache-2.0
"""Messages about requests that crash targets.

They are separate from the native messages because direct entries send them too: importing the
native messages costs an entry 7 MB and start time, mostly for the signature library.
"""

from dataclasses import dataclass

from ochreway_core.crashsighting import CrashSighting
from ochreway_core.message import message


@message(80)
@dataclass(frozen=True, slots=True)
class CrashNews:
    """Tell other entries which requests, or parts of prompts, crashed targets.

    ``asks`` requests all current sightings in return, as the sender has just started.
    """

    sightings: tuple[CrashSighting, ...]
    asks: bool = False


__all__ = ["CrashNews"]
