# SPDX-License-Identifier: Apache-2.0
"""What a controller knows of an instance besides the table's rows."""

from dataclasses import dataclass

from ochreway_core.ids import HallId
from ochreway_core.messages import Report
from ochreway_core.peer import Peer


@dataclass(slots=True)
class Health:
    """An instance's last report and its entry in the platform's list.

    ``last_seen_s`` is when the instance last reported, or its leader last reported its grant.
    """

    peer: Peer | None = None
    listed: bool = False
    leaving: bool = False
    hall: HallId = HallId("")
    last_seen_s: float = -1.0e9
    report: Report | None = None

    def silent_for_s(self, now_s: float) -> float:
        """Return how long ago the instance was last seen."""
        return now_s - self.last_seen_s


__all__ = ["Health"]
