# SPDX-License-Identifier: Apache-2.0
"""Result of one attempt."""

from dataclasses import dataclass

from aiohttp import web

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class Ending:
    """Hold an attempt's outcome, its reason, and the response if it was answered.

    Attributes:
        failed: whether the attempt counts against the health of its target.
        lost_contact: whether the target could not be reached, fell silent or closed the
            connection, which the loss of any member of its group would explain.
        disconnected: whether the connection ended before the answer was complete.
    """

    outcome: Outcome
    reason: Reason
    response: web.StreamResponse | None = None
    failed: bool = True
    lost_contact: bool = False
    disconnected: bool = False

    @classmethod
    def answered(cls, response: web.StreamResponse, failed: bool = False) -> "Ending":
        """Return the result of an attempt that was answered."""
        return cls(Outcome.ANSWERED, Reason.NONE, response, failed=failed)


__all__ = ["Ending"]
