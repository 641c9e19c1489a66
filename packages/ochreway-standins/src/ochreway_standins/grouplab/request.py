# SPDX-License-Identifier: Apache-2.0
"""One request of a day."""

from dataclasses import dataclass
from enum import Enum

from ochreway_standins.grouplab.experiment import RequestFigures


class Outcome(Enum):
    """Say what became of a request."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"


@dataclass(slots=True, eq=False)
class Request:
    """Hold what a request still needs; ``interrupted`` tells that its group was lost under it."""

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
        """Tell whether its answer began in time and went on without a break."""
        if self.first_part_s is None or self.interrupted or self.refused:
            return False
        return self.first_part_s - self.arrived_s <= self.figures.objective_ms / 1000


__all__ = ["Outcome", "Request"]
