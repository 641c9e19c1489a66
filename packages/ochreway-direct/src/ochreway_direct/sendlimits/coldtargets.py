# SPDX-License-Identifier: Apache-2.0
"""Targets that the platform lists as cold."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_core.ids import InstanceId
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_runtime.logs import EventLog


@dataclass(frozen=True, slots=True)
class _ColdTarget:
    cold_s: float
    cold_until_s: float


class ColdTargets:
    """Report cold targets in the log and in a gauge; no limit depends on them."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._cold_targets: dict[InstanceId, _ColdTarget] = {}

    def record_list(self, targets: Iterable[ListedTarget], now_s: float) -> None:
        """Record the cold targets of a list that was read."""
        current = {}
        for target in targets:
            if target.cold_s <= 0.0:
                continue
            known = self._cold_targets.get(target.instance)
            if known is None or known.cold_s != target.cold_s:
                if not self.is_cold(target.instance, now_s):
                    self._log_cold(target)
                known = _ColdTarget(target.cold_s, now_s + target.cold_s)
            current[target.instance] = known
        self._cold_targets = current

    def _log_cold(self, target: ListedTarget) -> None:
        self._log.event(
            "target_cold", target=target.instance, service=target.service, cold_s=target.cold_s
        )

    def is_cold(self, instance: InstanceId, now_s: float) -> bool:
        """Return whether a target is listed as cold until a later time than now."""
        known = self._cold_targets.get(instance)
        return known is not None and now_s < known.cold_until_s

    def cold_count(self, now_s: float) -> int:
        """Return how many targets are known to be cold."""
        return sum(now_s < cold_target.cold_until_s for cold_target in self._cold_targets.values())


__all__ = ["ColdTargets"]
