# SPDX-License-Identifier: Apache-2.0
"""A bounded queue that shares a replica's slots between organisations.

Within a priority class the organisation with the least weighted service goes first, and
within an organisation the work with the earliest deadline. Every few dispatches the oldest work of
the lowest class goes first, so that nothing starves. When the queue is full, work of an
organisation that is over its share is displaced by work of one that is under its share, so unused
shares are usable by others and reclaimed on demand.
"""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from result import Err, Ok, Result

from ochreway_core.priority import Priority
from ochreway_core.reason import Reason
from ochreway_routing.work import Work

T = TypeVar("T")

LOWER_CLASS_INTERVAL = 8
"""Every how many dispatches the oldest work of the lowest class goes first."""


@dataclass(slots=True)
class _Share(Generic[T]):
    weight: float = 1.0
    guaranteed_share: float = 0.0
    served: float = 0.0
    running: int = 0
    queued: int = 0
    by_priority: dict[Priority, list[Work[T]]] = field(
        default_factory=lambda: {each: [] for each in Priority}
    )


class FairQueue(Generic[T]):
    """Queue work until a slot is free."""

    def __init__(self, capacity: int, slots: int) -> None:
        self.capacity = capacity
        self.slots = slots
        self._shares: dict[str, _Share[T]] = {}
        self._dispatched = 0
        self._virtual_time = 0.0
        self._length = 0
        self.tokens = 0.0

    def __len__(self) -> int:
        return self._length

    def set_shares(self, shares: Iterable[tuple[str, int, int]]) -> None:
        """Set each organisation's weight and guaranteed percentage."""
        for name, weight, guaranteed_percent in shares:
            share = self._share(name)
            share.weight = float(weight)
            share.guaranteed_share = guaranteed_percent / 100.0

    def offer(self, work: Work[T]) -> Result[Work[T] | None, Reason]:
        """Queue the work; return the work that it displaced, or why it is refused."""
        share = self._share(work.organisation)
        displaced = None
        if self._length >= self.capacity:
            displaced = self._displace_for(work, share)
            if displaced is None:
                return Err(Reason.QUEUE_FULL if self._has_one_organisation() else Reason.OVER_SHARE)
        if not share.queued and not share.running:
            share.served = max(share.served, self._virtual_time)
        insort(share.by_priority[work.priority], work, key=_deadline)
        share.queued += 1
        self._length += 1
        self.tokens += work.cost_tokens
        return Ok(displaced)

    def ahead_of(self, work: Work[T]) -> tuple[int, float]:
        """Return about how much work goes before this: how many items, and their prefill tokens.

        Of other organisations only as much counts as their weights let go first.
        """
        own = self._share(work.organisation)
        ahead = self._ahead_in(own, work)
        turns = (len(ahead) + 1) / own.weight
        for name, share in self._shares.items():
            if name != work.organisation and share.queued:
                ahead += self._ahead_in(share, work)[: int(turns * share.weight + 1)]
        return len(ahead), sum(each.prefill_tokens for each in ahead)

    def _ahead_in(self, share: _Share[T], work: Work[T]) -> list[Work[T]]:
        higher = [each for each in Priority if each < work.priority]
        ahead = [each for priority in higher for each in share.by_priority[priority]]
        same = share.by_priority[work.priority]
        return ahead + [each for each in same if each.deadline_s <= work.deadline_s]

    def dequeue(self) -> Work[T] | None:
        """Remove and return the next work, and count it as running for its organisation."""
        if not self._length:
            return None
        self._dispatched += 1
        work = self._choose()
        share = self._share(work.organisation)
        share.by_priority[work.priority].remove(work)
        self._update_totals(work, share)
        self._virtual_time = max(self._virtual_time, share.served)
        share.served += work.cost_tokens / share.weight
        share.running += 1
        return work

    def release_slot(self, organisation: str) -> None:
        """Count one running item of the organisation as ended."""
        share = self._share(organisation)
        share.running = max(0, share.running - 1)

    def remove_by_identity(self, identities: "set[int]") -> None:
        """Remove the work whose ``id()`` is among the identities."""
        for share in self._shares.values():
            for waiting in share.by_priority.values():
                for work in [each for each in waiting if id(each) in identities]:
                    waiting.remove(work)
                    self._update_totals(work, share)

    def remove_all(self) -> list[Work[T]]:
        """Remove and return all work."""
        queued_work = list(self.iter_queued())
        self.remove_by_identity({id(work) for work in queued_work})
        return queued_work

    def remove_infeasible(self, now_s: float, backlog_s: float) -> list[Work[T]]:
        """Remove and return the work that would miss its deadline even if dispatched now."""
        begin_s = now_s + backlog_s
        infeasible = [
            work for work in self.iter_queued() if begin_s + work.expected_run_s > work.deadline_s
        ]
        self.remove_by_identity({id(work) for work in infeasible})
        return infeasible

    def iter_queued(self) -> Iterable[Work[T]]:
        """Yield the queued work."""
        for share in self._shares.values():
            for each in share.by_priority.values():
                yield from each

    def _share(self, organisation: str) -> _Share[T]:
        return self._shares.setdefault(organisation, _Share())

    def _update_totals(self, work: Work[T], share: _Share[T]) -> None:
        share.queued -= 1
        self._length -= 1
        self.tokens -= work.cost_tokens

    def _choose(self) -> Work[T]:
        if self._dispatched % LOWER_CLASS_INTERVAL == 0:
            return self._oldest_of_lowest_class()
        guaranteed = [each for each in self._waiting_shares() if self._under_guarantee(each)]
        return _first_of_least_served(guaranteed or self._waiting_shares())

    def _waiting_shares(self) -> list[_Share[T]]:
        return [share for share in self._shares.values() if share.queued]

    def _under_guarantee(self, share: _Share[T]) -> bool:
        return share.running < share.guaranteed_share * self.slots

    def _oldest_of_lowest_class(self) -> Work[T]:
        lowest = max(work.priority for work in self.iter_queued())
        return min(
            (work for work in self.iter_queued() if work.priority is lowest),
            key=lambda work: work.queued_s,
        )

    def _displace_for(self, work: Work[T], share: _Share[T]) -> Work[T] | None:
        largest = max(self._waiting_shares(), key=lambda each: each.queued / each.weight)
        if largest is share:
            return self._displace_lower_class(work, share)
        if (share.queued + 1) / share.weight >= largest.queued / largest.weight:
            return None
        return self._drop_last(largest)

    def _displace_lower_class(self, work: Work[T], share: _Share[T]) -> Work[T] | None:
        lowest = max(each for each in Priority if share.by_priority[each])
        return self._drop_last(share) if lowest > work.priority else None

    def _drop_last(self, share: _Share[T]) -> Work[T]:
        lowest = max(each for each in Priority if share.by_priority[each])
        work = share.by_priority[lowest].pop()
        self._update_totals(work, share)
        return work

    def _has_one_organisation(self) -> bool:
        return len(self._waiting_shares()) <= 1


def _deadline(work: Work[T]) -> float:
    return work.deadline_s


def _first_of_least_served(shares: list[_Share[T]]) -> Work[T]:
    highest = min(each for share in shares for each in Priority if share.by_priority[each])
    candidates = [share for share in shares if share.by_priority[highest]]
    return min(candidates, key=lambda share: share.served).by_priority[highest][0]


__all__ = ["FairQueue", "LOWER_CLASS_INTERVAL"]
