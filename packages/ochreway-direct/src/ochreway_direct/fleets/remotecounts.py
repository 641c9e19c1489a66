# SPDX-License-Identifier: Apache-2.0
"""Counts that other entries report for each group or target, and their sums."""

from collections import Counter
from collections.abc import Mapping


class RemoteCounts:
    """Keep the latest counts of each source, and a running sum for each target."""

    def __init__(self) -> None:
        self._reports: dict[str, Mapping[str, int]] = {}
        self._totals: Counter[str] = Counter()

    def set_report(self, source: str, numbers: Mapping[str, int]) -> None:
        """Replace the counts of a source."""
        before = self._reports.get(source, {})
        if numbers == before:
            return
        self._reports[source] = numbers
        self._totals.update(numbers)
        self._subtract(before)

    def drop_report(self, source: str) -> None:
        """Drop the counts of a source."""
        self._subtract(self._reports.pop(source, {}))

    def total(self, target_id: str) -> int:
        """Return the sum for a target over all sources."""
        return self._totals[target_id]

    def totals(self) -> Mapping[str, int]:
        """Return the sums of all keys."""
        return self._totals

    def source_count(self) -> int:
        """Return how many sources report counts."""
        return len(self._reports)

    def _subtract(self, numbers: Mapping[str, int]) -> None:
        for target_id, number in numbers.items():
            self._totals[target_id] -= number
            if not self._totals[target_id]:
                del self._totals[target_id]


__all__ = ["RemoteCounts"]
