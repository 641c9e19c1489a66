# SPDX-License-Identifier: Apache-2.0
"""Summary of the engines of a domain, for the log."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ochreway_core.ids import DomainId, InstanceId
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.ids import ModelName


@dataclass(slots=True)
class DomainSummary:
    """Number of a domain's engines by state and by the models that free ones can join."""

    domain: DomainId
    members: int = 0
    free: int = 0
    silent: int = 0
    leaving: int = 0
    loading: int = 0
    joinable: Counter[ModelName] = field(default_factory=Counter)

    def add(self, record: EngineRecord, member: bool) -> None:
        """Add one engine."""
        self.members += member
        self.silent += record.dead
        self.leaving += record.leaving
        self.loading += record.loading
        if member or not record.usable:
            return
        self.free += 1
        for model in {record.last_model, *record.state.staged}:
            if model is not None and record.can_join(model):
                self.joinable[model] += 1


def summarize_domains(
    engines: Iterable[EngineRecord], members: frozenset[InstanceId]
) -> tuple[DomainSummary, ...]:
    """Return a summary of each domain."""
    by_domain: dict[DomainId, DomainSummary] = defaultdict(lambda: DomainSummary(DomainId("")))
    for record in engines:
        summary = by_domain[record.domain]
        summary.domain = record.domain
        summary.add(record, record.instance in members)
    return tuple(by_domain[domain] for domain in sorted(by_domain))


__all__ = ["DomainSummary", "summarize_domains"]
