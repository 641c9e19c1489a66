# SPDX-License-Identifier: Apache-2.0
"""The work of other entries, aggregated from reports of single entries, cells and heads."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from ochreway_core.ids import NodeId
from ochreway_direct.demand.offeredwork import OfferedWork
from ochreway_direct.entries.coverage import Coverage
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.ids import CellId, ModelName
from ochreway_direct.work import NO_WORK, Work, longest, sum_work

SOURCE_TIMEOUT_S = 0.75
"""Silence after which the report of a cell's other head is accepted: two heartbeats and delay."""
COUNTS_MAX_AGE_S = 2.0
"""Age at which counts that are not renewed are dropped; most of that work has ended by then."""


REST_KEY = "rest"


@dataclass(slots=True)
class _Report:
    source: NodeId
    coverage: Coverage
    received_s: float
    work: Work


class RemoteWork:
    """Hold the reports of other entries so that no work is counted twice.

    A head adds up its members and the other cells; other entries use one head's sum of all the
    rest. Of the two heads of a cell, the one received first is used until it falls silent.
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
        """Add the work that a heartbeat reports, and drop reports that it replaces.

        Args:
            sender: the reporting entry.
            coverage: whose work is reported.
            cell: the sender's cell.
            covered: the entries of the cell, if the work of a cell is reported. Reports that they
                sent for themselves before they joined it are dropped.
            work: the reported work.
            now_s: the current time.
        """
        key = _key(sender, coverage, cell)
        known = self._reports.get(key)
        if known and known.source != sender and now_s - known.received_s < SOURCE_TIMEOUT_S:
            return
        self._reports[key] = _Report(sender, coverage, now_s, work)
        self._fleet.set_remote_queues(key, work.waiting, work.served_by)
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
        """Drop reports that were not renewed within ``COUNTS_MAX_AGE_S``."""
        expired = {k for k, r in self._reports.items() if now_s - r.received_s > COUNTS_MAX_AGE_S}
        self._drop_all(expired)

    def _drop_all(self, keys: set[str]) -> None:
        for key in keys & self._reports.keys():
            del self._reports[key]
            self._fleet.drop_remote_work(key)

    @property
    def has_cell_reports(self) -> bool:
        """Return whether reports of cells are added up, not one sum of all the rest."""
        return any(r.coverage is Coverage.CELL for r in self._reports.values())

    def member_work(self) -> list[Work]:
        """Return the work that each member of the own cell reported for itself."""
        return [r.work for r in self._reports.values() if r.coverage is Coverage.OWN]

    def work_of(self, node: NodeId) -> Work:
        """Return the work that an entry reported for itself."""
        report = self._reports.get(_key(node, Coverage.OWN, CellId("")))
        return report.work if report is not None else NO_WORK

    def offered_by_source(self) -> Counter[NodeId]:
        """Return the offered work by reporting entry, in units of fully busy groups.

        A head's number includes the entries that it represents.
        """
        rates: Counter[NodeId] = Counter()
        for report in self._reports.values():
            if report.coverage is not Coverage.REST:
                rates[report.source] += sum(report.work.offered.values())  # type: ignore[assignment]
        return rates

    def total_work(self) -> Work:
        """Return the total work of all other entries."""
        return sum_work(report.work for report in self._reports.values())

    def offered(self) -> Counter[ModelName]:
        """Return the work offered to other entries, for each model."""
        rates: Counter[ModelName] = Counter()
        for report in self._reports.values():
            rates.update(report.work.offered)
        return rates

    def offered_work(self) -> OfferedWork:
        """Return the work offered to other entries, and the longest time of its measurement.

        The time is unknown if it is in any report that tells of work.
        """
        measured_s: float | None = 0.0
        for report in self._reports.values():
            if report.work.measured_s is None and report.work.offered:
                return OfferedWork(self.offered(), None)
            measured_s = longest(measured_s, report.work.measured_s)
        return OfferedWork(self.offered(), measured_s)


def _key(sender: NodeId, coverage: Coverage, cell: CellId) -> str:
    keys = {
        Coverage.OWN: f"entry/{sender}",
        Coverage.CELL: f"cell/{cell}",
        Coverage.REST: REST_KEY,
    }
    return keys[coverage]


__all__ = ["COUNTS_MAX_AGE_S", "SOURCE_TIMEOUT_S", "RemoteWork"]
