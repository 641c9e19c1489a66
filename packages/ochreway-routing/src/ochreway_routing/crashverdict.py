# SPDX-License-Identifier: Apache-2.0
"""Whether a request may be sent, given the targets that crashed under it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashVerdict:
    """State for how long a request must not be sent; 0 if it may be.

    A request ``on_trial`` may be sent to one target, to find out whether it still crashes it.
    """

    fatal_for_s: float = 0.0
    on_trial: bool = False


NOT_FATAL = CrashVerdict()

__all__ = ["NOT_FATAL", "CrashVerdict"]
