# SPDX-License-Identifier: Apache-2.0
"""What a controller knows of an instance beside the table's rows."""

from dataclasses import dataclass

from ochreway_core.ids import HallId
from ochreway_core.messages import Report
from ochreway_core.peer import Peer


@dataclass(slots=True)
class Health:
    """Hold an instance's last report and what the platform's list says of it."""

    peer: Peer | None = None
    listed: bool = False
    leaving: bool = False
    hall: HallId = HallId("")
    last_seen_s: float = -1.0e9
    report: Report | None = None

    def silent_for_s(self, now_s: float) -> float:
        """Return for how long nothing was heard."""
        return now_s - self.last_seen_s


__all__ = ["Health"]
