# SPDX-License-Identifier: Apache-2.0
"""What others have under way, put together from what they say for themselves and for others."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.ids import CellId, ModelName
from ochreway_direct.work import NO_WORK, Work, total

SOURCE_TIMEOUT_S = 0.75
"""How long one head's word goes before the other's: two heartbeats and some delay."""
COUNTS_MAX_AGE_S = 2.0
"""After how long counts that nobody renews are dropped; most of what they counted has ended."""


REST_KEY = "rest"


@dataclass(slots=True)
class _Report:
    source: NodeId
    coverage: Coverage
    received_s: float
    work: Work


class RemoteWork:
    """Hold one report for each source of counts, none of which is counted twice.

    A head counts its members and the other cells; everybody else goes by what one head says of
    all the rest. Two heads speak for each cell, of which the one heard first is gone by until it
    falls silent.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._reports: dict[str, _Report] = {}

    def add_report(
        self,
        sender: NodeId,
        coverage: Coverage,
        cell: CellId,
        covered: Collection[NodeId],
        work: Work,
        now_s: float,
    ) -> None:
        """Take what a heartbeat counts.

        Args:
            sender: who sent it.
            coverage: whose work it counts.
            cell: the sender's cell.
            covered: the entries whose work it counts, if it counts a cell's. What they said for
                themselves before they stood in it is not counted any more.
            work: the numbers.
            now_s: the time.
        """
        key = _key(sender, coverage, cell)
        known = self._reports.get(key)
        if known and known.source != sender and now_s - known.received_s < SOURCE_TIMEOUT_S:
            return
        self._reports[key] = _Report(sender, coverage, now_s, work)
        self._fleet.set_remote_work(key, work.under_way, work.unread)
        others = self._reports.keys() - {key}
        self._drop_all(others if coverage is Coverage.REST else {REST_KEY})
        if coverage is not Coverage.REST:
            counted = {sender, *covered}
            self._drop_all(
                {k for k in others & self._reports.keys() if self._source_of(k) in counted}
            )

    def _source_of(self, key: str) -> NodeId:
        return self._reports[key].source

    def expire(self, now_s: float) -> None:
        """Drop what has not been renewed for a while."""
        expired = {k for k, r in self._reports.items() if now_s - r.received_s > COUNTS_MAX_AGE_S}
        self._drop_all(expired)

    def _drop_all(self, keys: set[str]) -> None:
        for key in keys & self._reports.keys():
            del self._reports[key]
            self._fleet.drop_remote_work(key)

    @property
    def has_cell_reports(self) -> bool:
        """Tell whether single cells or entries are counted, not one sum of all the rest."""
        return any(r.coverage is Coverage.CELL for r in self._reports.values())

    def member_work(self) -> list[Work]:
        """Return what each member of the own cell said of itself."""
        return [r.work for r in self._reports.values() if r.coverage is Coverage.OWN]

    def work_of(self, node: NodeId) -> Work:
        """Return what an entry said of itself."""
        report = self._reports.get(_key(node, Coverage.OWN, CellId("")))
        return report.work if report is not None else NO_WORK

    def offered_by_source(self) -> Counter[NodeId]:
        """Return the work that arrives at each entry that reports, and where it speaks for others.

        It is in groups kept busy.
        """
        rates: Counter[NodeId] = Counter()
        for report in self._reports.values():
            if report.coverage is not Coverage.REST:
                rates[report.source] += sum(report.work.offered.values())  # type: ignore[assignment]
        return rates

    def total_work(self) -> Work:
        """Return all work but the own."""
        return total(report.work for report in self._reports.values())

    def offered(self) -> Counter[ModelName]:
        """Return the work that arrives elsewhere, for each model."""
        rates: Counter[ModelName] = Counter()
        for report in self._reports.values():
            rates.update(report.work.offered)
        return rates


def _key(sender: NodeId, coverage: Coverage, cell: CellId) -> str:
    keys = {
        Coverage.OWN: f"entry/{sender}",
        Coverage.CELL: f"cell/{cell}",
        Coverage.REST: REST_KEY,
    }
    return keys[coverage]


__all__ = ["COUNTS_MAX_AGE_S", "SOURCE_TIMEOUT_S", "RemoteWork"]
