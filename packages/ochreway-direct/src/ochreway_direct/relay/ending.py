# SPDX-License-Identifier: Apache-2.0
"""How one attempt ended."""

from dataclasses import dataclass

from aiohttp import web

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason


@dataclass(frozen=True, slots=True)
class Ending:
    """Hold an attempt's outcome, its reason, and the response when it was answered.

    ``broke`` tells that the target could not be reached, fell silent or broke off, which the loss
    of any member of its group would explain; ``cut`` that its connection ended under the answer.
    """

    outcome: Outcome
    reason: Reason
    response: web.StreamResponse | None = None
    failed: bool = True
    lost_contact: bool = False
    disconnected: bool = False

    @classmethod
    def answered(cls, response: web.StreamResponse, failed: bool = False) -> "Ending":
        """Return the ending of an attempt that was answered."""
        return cls(Outcome.ANSWERED, Reason.NONE, response, failed=failed)


__all__ = ["Ending"]
