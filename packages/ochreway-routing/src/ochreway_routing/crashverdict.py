# SPDX-License-Identifier: Apache-2.0
"""Whether a request may be sent, given the targets that crashed under its causes."""

from dataclasses import dataclass

from ochreway_core.cause import is_part
from ochreway_core.ids import CauseId
from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class CrashVerdict:
    """State for how long a request must not be sent; 0 if it may be.

    A request ``on_trial`` may be sent to one target, to find out whether it still crashes it. One
    that is ``suspected`` is refused only until the outcome of another's trial is known.
    """

    fatal_for_s: float = 0.0
    on_trial: bool = False
    suspected: bool = False
    cause: CauseId | None = None

    @property
    def reason(self) -> Reason:
        """Return why the request is refused, if it is."""
        if self.fatal_for_s <= 0.0 or self.cause is None:
            return Reason.NONE
        if self.suspected:
            return Reason.MAY_END_TARGETS
        return Reason.PROMPT_PART_ENDS_TARGETS if is_part(self.cause) else Reason.ENDS_TARGETS


NOT_FATAL = CrashVerdict()

__all__ = ["NOT_FATAL", "CrashVerdict"]
