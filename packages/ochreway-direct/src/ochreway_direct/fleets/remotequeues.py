# SPDX-License-Identifier: Apache-2.0
"""What other entries report of their queues, and the sums of it."""

from collections import Counter, defaultdict
from collections.abc import Mapping

from ochreway_direct.fleets.remotecounts import RemoteCounts
from ochreway_direct.ids import ModelName
from ochreway_direct.queueing.waitingcalls import WaitingCalls, parse_waiting_key
from ochreway_routing.work import Urgency


class RemoteQueues:
    """Keep the latest report of each source, and sums by class and by organisation."""

    def __init__(self) -> None:
        self._calls = RemoteCounts()
        self._entries = RemoteCounts()
        self._served = RemoteCounts()
        self._by_model: dict[ModelName, Counter[Urgency]] | None = None

    def set_report(self, source: str, waiting: WaitingCalls, served_by: Mapping[str, int]) -> None:
        """Replace the report of a source."""
        self._calls.set_report(source, waiting.calls)
        self._entries.set_report(source, {str(m): n for m, n in waiting.entries.items()})
        self._served.set_report(source, served_by)
        self._by_model = None

    def drop_report(self, source: str) -> None:
        """Drop the report of a source."""
        for counts in (self._calls, self._entries, self._served):
            counts.drop_report(source)
        self._by_model = None

    def waiting(self, model: ModelName) -> Counter[Urgency]:
        """Return how many calls of each class wait for a model elsewhere."""
        if self._by_model is None:
            by_model: defaultdict[ModelName, Counter[Urgency]] = defaultdict(Counter)
            for key, number in self._calls.totals().items():
                parsed = parse_waiting_key(key)
                if parsed is not None and number > 0:
                    by_model[parsed[1]][parsed[0]] += number
            self._by_model = dict(by_model)
        return self._by_model.get(model, Counter())

    def waiting_entries(self, model: ModelName) -> int:
        """Return at how many other entries calls wait for a model."""
        return max(0, self._entries.total(model))

    def served_by(self) -> Mapping[str, int]:
        """Return the requests under way elsewhere by organisation."""
        return self._served.totals()


__all__ = ["RemoteQueues"]
