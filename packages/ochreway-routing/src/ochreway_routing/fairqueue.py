# SPDX-License-Identifier: Apache-2.0
"""A bounded queue that shares a replica's slots between organisations.

Within a priority class the organisation with the least weighted service goes first, and
within an organisation the earliest deadline. Every
few dispatches the oldest work of a lower class goes first, so that nothing starves. When
the queue is full, work of an organisation that is over its share makes room for work of one
that is under; an unused share is thereby lent and taken back.
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

LOWER_CLASS_EVERY = 8


@dataclass(slots=True)
class _Share(Generic[T]):
    weight: float = 1.0
    guaranteed: float = 0.0
    served: float = 0.0
    running: int = 0
    queued: int = 0
    classes: dict[Priority, list[Work[T]]] = field(
        default_factory=lambda: {each: [] for each in Priority}
    )


class FairQueue(Generic[T]):
    """Hold work until a slot is free."""

    def __init__(self, at_most: int, slots: int) -> None:
        self.at_most = at_most
        self.slots = slots
        self._shares: dict[str, _Share[T]] = {}
        self._dispatched = 0
        self._virtual = 0.0
        self._length = 0
        self.tokens = 0.0

    def __len__(self) -> int:
        return self._length

    def set_shares(self, shares: Iterable[tuple[str, int, int]]) -> None:
        """Take each organisation's weight and guaranteed percentage."""
        for name, weight, guaranteed_percent in shares:
            share = self._share(name)
            share.weight = float(weight)
            share.guaranteed = guaranteed_percent / 100.0

    def offer(self, work: Work[T]) -> Result[Work[T] | None, Reason]:
        """Queue the work; return what was displaced for it, or why it is refused."""
        share = self._share(work.organisation)
        displaced = None
        if self._length >= self.at_most:
            displaced = self._displace_for(work, share)
            if displaced is None:
                return Err(Reason.QUEUE_FULL if self._one_organisation() else Reason.OVER_SHARE)
        if not share.queued and not share.running:
            share.served = max(share.served, self._virtual)
        insort(share.classes[work.priority], work, key=_deadline)
        share.queued += 1
        self._length += 1
        self.tokens += work.cost_tokens
        return Ok(displaced)

    def ahead_of(self, work: Work[T]) -> tuple[int, float]:
        """Return about how much would go before the work: how many, and their prefill tokens.

        Of other organisations only as much counts as their weights let go first.
        """
        own = self._share(work.organisation)
        before = self._before(own, work)
        turns = (len(before) + 1) / own.weight
        for name, share in self._shares.items():
            if name != work.organisation and share.queued:
                before += self._before(share, work)[: int(turns * share.weight + 1)]
        return len(before), sum(each.prefill_tokens for each in before)

    def _before(self, share: _Share[T], work: Work[T]) -> list[Work[T]]:
        higher = [each for each in Priority if each < work.priority]
        before = [each for priority in higher for each in share.classes[priority]]
        same = share.classes[work.priority]
        return before + [each for each in same if each.deadline_s <= work.deadline_s]

    def next(self) -> Work[T] | None:
        """Take out the work that goes next; its organisation has one more running."""
        if not self._length:
            return None
        self._dispatched += 1
        work = self._choose()
        share = self._share(work.organisation)
        share.classes[work.priority].remove(work)
        self._taken_out(work, share)
        self._virtual = max(self._virtual, share.served)
        share.served += work.cost_tokens / share.weight
        share.running += 1
        return work

    def ended(self, organisation: str) -> None:
        """Note that one running piece of the organisation's work ended."""
        share = self._share(organisation)
        share.running = max(0, share.running - 1)

    def remove_if(self, chosen: "set[int]") -> None:
        """Drop the work whose identity is among the chosen."""
        for share in self._shares.values():
            for waiting in share.classes.values():
                for work in [each for each in waiting if id(each) in chosen]:
                    waiting.remove(work)
                    self._taken_out(work, share)

    def take_all(self) -> list[Work[T]]:
        """Empty the queue."""
        everything = list(self.waiting())
        self.remove_if({id(work) for work in everything})
        return everything

    def take_hopeless(self, now_s: float, backlog_s: float) -> list[Work[T]]:
        """Take out what could not be answered in time even if it were dispatched now."""
        begin_s = now_s + backlog_s
        hopeless = [work for work in self.waiting() if begin_s + work.needed_s > work.deadline_s]
        self.remove_if({id(work) for work in hopeless})
        return hopeless

    def waiting(self) -> Iterable[Work[T]]:
        """Yield what is queued."""
        for share in self._shares.values():
            for each in share.classes.values():
                yield from each

    def _share(self, organisation: str) -> _Share[T]:
        return self._shares.setdefault(organisation, _Share())

    def _taken_out(self, work: Work[T], share: _Share[T]) -> None:
        share.queued -= 1
        self._length -= 1
        self.tokens -= work.cost_tokens

    def _choose(self) -> Work[T]:
        if self._dispatched % LOWER_CLASS_EVERY == 0:
            return self._oldest_of_lowest_class()
        guaranteed = [each for each in self._waiting_shares() if self._under_guarantee(each)]
        return _first(guaranteed or self._waiting_shares())

    def _waiting_shares(self) -> list[_Share[T]]:
        return [share for share in self._shares.values() if share.queued]

    def _under_guarantee(self, share: _Share[T]) -> bool:
        return share.running < share.guaranteed * self.slots

    def _oldest_of_lowest_class(self) -> Work[T]:
        lowest = max(work.priority for work in self.waiting())
        return min(
            (work for work in self.waiting() if work.priority is lowest),
            key=lambda work: work.queued_s,
        )

    def _displace_for(self, work: Work[T], share: _Share[T]) -> Work[T] | None:
        over = max(self._waiting_shares(), key=lambda each: each.queued / each.weight)
        if over is share:
            return self._displace_lower_class(work, share)
        if (share.queued + 1) / share.weight >= over.queued / over.weight:
            return None
        return self._drop_last(over)

    def _displace_lower_class(self, work: Work[T], share: _Share[T]) -> Work[T] | None:
        lowest = max(each for each in Priority if share.classes[each])
        return self._drop_last(share) if lowest > work.priority else None

    def _drop_last(self, share: _Share[T]) -> Work[T]:
        lowest = max(each for each in Priority if share.classes[each])
        work = share.classes[lowest].pop()
        self._taken_out(work, share)
        return work

    def _one_organisation(self) -> bool:
        return len(self._waiting_shares()) <= 1


def _deadline(work: Work[T]) -> float:
    return work.deadline_s


def _first(shares: list[_Share[T]]) -> Work[T]:
    highest = min(each for share in shares for each in Priority if share.classes[each])
    holding = [share for share in shares if share.classes[highest]]
    return min(holding, key=lambda share: share.served).classes[highest][0]


__all__ = ["FairQueue", "LOWER_CLASS_EVERY"]
