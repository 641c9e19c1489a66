# SPDX-License-Identifier: Apache-2.0
"""Which targets are known to be cold, by their rows in the platform's list."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochreway_core.ids import InstanceId
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_runtime.logs import EventLog


@dataclass(frozen=True, slots=True)
class _Listed:
    cold_s: float
    until_s: float


class ColdTargets:
    """Tell in the log and in a gauge which targets are cold; no limit depends on it."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._listed: dict[InstanceId, _Listed] = {}

    def listed(self, targets: Iterable[ListedTarget], now_s: float) -> None:
        """Take the list as it was read."""
        found = {}
        for target in targets:
            if target.cold_s <= 0.0:
                continue
            known = self._listed.get(target.instance)
            if known is None or known.cold_s != target.cold_s:
                if not self.is_cold(target.instance, now_s):
                    self._tell(target)
                known = _Listed(target.cold_s, now_s + target.cold_s)
            found[target.instance] = known
        self._listed = found

    def _tell(self, target: ListedTarget) -> None:
        self._log.event(
            "target_cold", target=target.instance, service=target.service, cold_s=target.cold_s
        )

    def is_cold(self, instance: InstanceId, now_s: float) -> bool:
        """Tell whether a target was listed as cold until later than now."""
        known = self._listed.get(instance)
        return known is not None and now_s < known.until_s

    def number(self, now_s: float) -> int:
        """Return how many targets are known to be cold."""
        return sum(now_s < each.until_s for each in self._listed.values())


__all__ = ["ColdTargets"]
