# SPDX-License-Identifier: Apache-2.0
"""A simulated request and its outcome."""

from dataclasses import dataclass
from enum import Enum

from ochreway_standins.grouplab.experiment import RequestFigures


class Outcome(Enum):
    """Outcome of a request."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"


@dataclass(slots=True, eq=False)
class Request:
    """Remaining work of a request; ``interrupted``: its group was lost during the answer."""

    figures: RequestFigures
    arrived_s: float
    prompt_tokens_left: float
    answer_tokens_left: float
    first_part_tokens_left: float
    due_s: float
    first_part_s: float | None = None
    interrupted: bool = False
    refused: bool = False

    @property
    def in_time(self) -> bool:
        """Return whether the answer began within the objective, without refusal or interruption."""
        if self.first_part_s is None or self.interrupted or self.refused:
            return False
        return self.first_part_s - self.arrived_s <= self.figures.objective_ms / 1000


__all__ = ["Outcome", "Request"]
