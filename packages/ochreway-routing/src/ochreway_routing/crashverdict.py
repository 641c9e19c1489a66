# SPDX-License-Identifier: Apache-2.0
"""Whether a request may be sent, by the targets that ended under it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashVerdict:
    """Tell for how long a request must not be sent, 0 when it may be.

    One ``on_trial`` may be sent to one target, to find out whether it still ends it.
    """

    fatal_for_s: float = 0.0
    on_trial: bool = False


NOT_FATAL = CrashVerdict()

__all__ = ["NOT_FATAL", "CrashVerdict"]
