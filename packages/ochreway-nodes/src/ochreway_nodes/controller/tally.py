# SPDX-License-Identifier: Apache-2.0
"""Running totals of group downtime and stranded instances."""

from dataclasses import dataclass, field

from ochreway_core.ids import GroupId
from ochreway_nodes.controller.situation import Situation


@dataclass(slots=True)
class Tally:
    """Totals of group downtime and stranded instance-seconds while the lease is held.

    An instance is stranded while it is usable but not a member of a serving group.
    """

    serving: dict[GroupId, bool] = field(default_factory=dict)
    down_s: dict[GroupId, float] = field(default_factory=dict)
    stranded: int = 0
    stranded_instance_s: float = 0.0
    _last_counted_s: float | None = None

    def accumulate(self, situation: Situation) -> None:
        """Add the time since the previous call, by the state of the groups now."""
        now_s = situation.now_s
        elapsed_s = now_s - self._last_counted_s if self._last_counted_s is not None else 0.0
        self._last_counted_s = now_s
        rows = situation.rows.groups
        self.serving = {
            group: group in rows and situation.is_serving(rows[group])
            for group in situation.specs()
        }
        for group, serves in self.serving.items():
            self.down_s[group] = self.down_s.get(group, 0.0) + (0.0 if serves else elapsed_s)
        self.stranded = self._stranded(situation)
        self.stranded_instance_s += self.stranded * elapsed_s

    def _stranded(self, situation: Situation) -> int:
        working = {
            peer.node
            for group, row in situation.rows.groups.items()
            if self.serving.get(group)
            for peer in row.members
        }
        section_nodes = {name for spec in situation.specs().values() for name in spec.instances}
        return sum(situation.is_usable(name) for name in section_nodes - working)


__all__ = ["Tally"]
