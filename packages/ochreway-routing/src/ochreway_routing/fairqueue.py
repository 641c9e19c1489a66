# SPDX-License-Identifier: Apache-2.0
"""A bounded queue that shares slots between organisations.

Work that must run goes first, then the most urgent class: by effective priority, then by the
route's own. Within a class the organisation with the least weighted service goes first, and
within an organisation the work with the earliest deadline. Every few dispatches the oldest work of
the lowest class goes first, so that nothing starves. When the queue is full, work of an
organisation that is over its share is displaced by work of one that is under its share, so unused
shares are usable by others and reclaimed on demand. Where ``Displacement.BY_CLASS`` is chosen,
shares decide only within a class, and a more urgent class displaces a less urgent one.
"""

from bisect import insort
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from result import Err, Ok, Result

from ochreway_core.reason import Reason
from ochreway_routing.work import Urgency, Work

T = TypeVar("T")

LOWER_CLASS_INTERVAL = 8
"""Every how many dispatches the oldest work of the lowest class goes first."""


class Displacement(Enum):
    """Define which work a full queue drops for new work."""

    BY_SHARE = "by_share"
    BY_CLASS = "by_class"


@dataclass(slots=True)
class _Share(Generic[T]):
    weight: float = 1.0
    guaranteed_share: float = 0.0
    served: float = 0.0
    running: int = 0
    elsewhere: int = 0
    queued: int = 0
    by_class: dict[Urgency, list[Work[T]]] = field(default_factory=dict)

    def waiting(self, urgency: Urgency) -> list[Work[T]]:
        """Return the work of one class, in order."""
        return self.by_class.get(urgency, [])

    def add(self, work: Work[T]) -> None:
        """Add work in order."""
        insort(self.by_class.setdefault(work.urgency, []), work, key=_precedence)
        self.queued += 1

    def remove(self, work: Work[T]) -> None:
        """Remove work; classes without work are dropped."""
        waiting = self.by_class[work.urgency]
        del waiting[next(n for n, each in enumerate(waiting) if each is work)]
        self.queued -= 1
        if not waiting:
            del self.by_class[work.urgency]


class FairQueue(Generic[T]):
    """Queue work until a slot is free."""

    def __init__(
        self, capacity: int, slots: int, displacement: Displacement = Displacement.BY_SHARE
    ) -> None:
        self._displacement = displacement
        self.capacity = capacity
        self.slots = slots
        self._shares: dict[str, _Share[T]] = {}
        self._dispatched = 0
        self._elsewhere: dict[str, int] = {}
        self._virtual_time = 0.0
        self._length = 0
        self.queued_cost = 0.0

    def __len__(self) -> int:
        return self._length

    def set_shares(self, shares: Iterable[tuple[str, int, int]]) -> None:
        """Set each organisation's weight and guaranteed percentage."""
        for name, weight, guaranteed_percent in shares:
            share = self._share(name)
            share.weight = float(weight)
            share.guaranteed_share = guaranteed_percent / 100.0

    def set_running_elsewhere(self, counts: Mapping[str, int]) -> None:
        """Set how many items of each organisation other queues run.

        While there are any, the organisation goes first that runs least everywhere by its weight;
        service decides between equal ones.
        """
        if counts == self._elsewhere:
            return
        self._elsewhere = dict(counts)
        for name, share in self._shares.items():
            share.elsewhere = self._elsewhere.get(name, 0)

    def offer(self, work: Work[T]) -> Result[Work[T] | None, Reason]:
        """Queue the work; return the work that it displaced, or why it is refused."""
        share = self._share(work.organisation)
        displaced = None
        if self._length >= self.capacity:
            by_class = self._displacement is Displacement.BY_CLASS
            find = self._displace_by_class if by_class else self._displace_for
            displaced = find(work, share)
            if displaced is None:
                return Err(self._full_reason(work, share, by_class))
        if not share.queued and not share.running:
            share.served = max(share.served, self._virtual_time)
        share.add(work)
        self._length += 1
        self.queued_cost += work.cost
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
        higher = sorted(each for each in share.by_class if each < work.urgency)
        ahead = [each for urgency in higher for each in share.waiting(urgency)]
        same = share.waiting(work.urgency)
        return ahead + [each for each in same if _precedence(each) <= _precedence(work)]

    def dequeue(self, fits: Callable[[Work[T]], bool] = lambda _: True) -> Work[T] | None:
        """Remove and return the next work that fits, and count it as running.

        Work that does not fit keeps its turn.
        """
        work = next((each for each in self._in_order() if fits(each)), None)
        if work is None:
            return None
        self._dispatched += 1
        share = self._share(work.organisation)
        self._drop(work, share)
        self._virtual_time = max(self._virtual_time, share.served)
        share.served += work.cost / share.weight
        share.running += 1
        return work

    def replace(self, work: Work[T], by: Work[T]) -> None:
        """Replace queued work by the same with another place in the order."""
        self._drop(work, self._share(work.organisation))
        self._share(by.organisation).add(by)
        self._length += 1
        self.queued_cost += by.cost

    def release_slot(self, organisation: str) -> None:
        """Count one running item of the organisation as ended."""
        share = self._share(organisation)
        share.running = max(0, share.running - 1)

    def remove_by_identity(self, identities: "set[int]") -> None:
        """Remove the work whose ``id()`` is among the identities."""
        for share in self._shares.values():
            for waiting in list(share.by_class.values()):
                for work in [each for each in waiting if id(each) in identities]:
                    self._drop(work, share)

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
            for each in share.by_class.values():
                yield from each

    def planned(self) -> list[Work[T]]:
        """Return all work in the order in which it goes if none is added.

        Guaranteed shares are not taken into account. This differs from ``_in_order``, whose order
        holds for one dispatch: here each item counts as served before the next is chosen.
        """
        served = {name: share.served for name, share in self._shares.items()}
        weights = {name: share.weight for name, share in self._shares.items()}
        running = {name: share.running for name, share in self._shares.items()}

        def precedence(each: Work[T]) -> tuple[bool, tuple[float, float]]:
            name = each.organisation
            order = self._precedence_of(self._shares[name], running[name], served[name])
            return not each.returned, order

        waiting: dict[Urgency, dict[str, list[Work[T]]]] = {}
        for name, share in self._shares.items():
            for urgency, each in share.by_class.items():
                waiting.setdefault(urgency, {})[name] = list(each)
        order: list[Work[T]] = []
        while waiting:
            first = min(waiting)
            if _is_turn_of_lowest(self._dispatched + len(order), first):
                urgency = max(waiting)
                work = min(
                    (each for queued in waiting[urgency].values() for each in queued),
                    key=lambda each: each.queued_s,
                )
            else:
                urgency = first
                work = min(
                    (queued[0] for queued in waiting[urgency].values()),
                    key=precedence,
                )
            queued = waiting[urgency][work.organisation]
            del queued[next(n for n, each in enumerate(queued) if each is work)]
            if not queued:
                del waiting[urgency][work.organisation]
            if not waiting[urgency]:
                del waiting[urgency]
            served[work.organisation] += work.cost / weights[work.organisation]
            running[work.organisation] += 1
            order.append(work)
        return order

    def turn(self) -> Work[T] | None:
        """Return the oldest work of the lowest class if it is to go next, else None."""
        first = self.most_urgent()
        if first is None or not _is_turn_of_lowest(self._dispatched, first):
            return None
        return self._oldest_of_lowest_class()

    def most_urgent(self) -> Urgency | None:
        """Return the most urgent class that waits, or None if nothing waits."""
        return min(self.classes(), default=None)

    def classes(self) -> set[Urgency]:
        """Return the classes that wait."""
        return {urgency for share in self._shares.values() for urgency in share.by_class}

    def _share(self, organisation: str) -> _Share[T]:
        share = self._shares.get(organisation)
        if share is None:
            share = self._shares[organisation] = _Share(
                elsewhere=self._elsewhere.get(organisation, 0)
            )
        return share

    def _precedence_of(self, share: _Share[T], running: int, served: float) -> tuple[float, float]:
        """Return the order of organisations, given what runs here and what was served."""
        everywhere = running + share.elsewhere if self._elsewhere else 0
        return everywhere / share.weight, served

    def _drop(self, work: Work[T], share: _Share[T]) -> None:
        share.remove(work)
        self._length -= 1
        self.queued_cost -= work.cost

    def _in_order(self) -> Iterator[Work[T]]:
        """Yield the work in the order in which it is next dequeued; some is yielded twice."""
        if not self._length:
            return
        turn = self.turn()
        if turn is not None:
            yield turn
        shares = self._waiting_shares()
        guaranteed = [each for each in shares if self._under_guarantee(each)]
        for group in (guaranteed, shares):
            for urgency in sorted({each for share in group for each in share.by_class}):
                candidates = [share for share in group if urgency in share.by_class]
                candidates.sort(
                    key=lambda each: self._precedence_of(each, each.running, each.served)
                )
                # Work that returned as told goes before all organisations' other work.
                for returned in (True, False):
                    for share in candidates:
                        yield from (w for w in share.by_class[urgency] if w.returned is returned)

    def _waiting_shares(self) -> list[_Share[T]]:
        return [share for share in self._shares.values() if share.queued]

    def _under_guarantee(self, share: _Share[T]) -> bool:
        return share.running < share.guaranteed_share * self.slots

    def _oldest_of_lowest_class(self) -> Work[T]:
        lowest = max(self.classes())
        return min(
            (work for work in self.iter_queued() if work.urgency == lowest),
            key=lambda work: work.queued_s,
        )

    def _displace_for(self, work: Work[T], share: _Share[T]) -> Work[T] | None:
        largest = max(self._waiting_shares(), key=lambda each: each.queued / each.weight)
        if largest is share:
            return self._displace_lower_class(work, share)
        if (share.queued + 1) / share.weight >= largest.queued / largest.weight:
            return None
        return self._drop_last(largest, max(largest.by_class))

    def _displace_lower_class(self, work: Work[T], share: _Share[T]) -> Work[T] | None:
        lowest = max(share.by_class)
        return self._drop_last(share, lowest) if lowest > work.urgency else None

    def _displace_by_class(self, work: Work[T], share: _Share[T]) -> Work[T] | None:
        lowest = max(self.classes(), default=work.urgency)
        if lowest < work.urgency or not lowest[0]:
            return None
        holders = [each for each in self._waiting_shares() if lowest in each.by_class]
        if not holders:
            return None
        largest = max(holders, key=lambda each: len(each.by_class[lowest]) / each.weight)
        own = (len(share.waiting(lowest)) + 1) / share.weight
        if lowest == work.urgency and own >= len(largest.by_class[lowest]) / largest.weight:
            return None
        return self._drop_last(largest, lowest)

    def _drop_last(self, share: _Share[T], urgency: Urgency) -> Work[T]:
        work = share.by_class[urgency][-1]
        self._drop(work, share)
        return work

    def _full_reason(self, work: Work[T], share: _Share[T], by_class: bool) -> Reason:
        """Return why work is refused: by its class, the queue is full for all organisations."""
        rivals = self._waiting_shares()
        if by_class:
            rivals = [each for each in rivals if work.urgency in each.by_class]
            if share not in rivals:
                return Reason.QUEUE_FULL
        return Reason.QUEUE_FULL if len(rivals) <= 1 else Reason.OVER_SHARE


def _is_turn_of_lowest(dispatched: int, first: Urgency) -> bool:
    """Return whether the lowest class goes next, where ``first`` is the most urgent that waits.

    Work that must run does not give way.
    """
    return (dispatched + 1) % LOWER_CLASS_INTERVAL == 0 and first[0]


def _precedence(work: Work[T]) -> tuple[bool, bool, float]:
    return (not work.returned, work.late, work.deadline_s)


__all__ = ["LOWER_CLASS_INTERVAL", "Displacement", "FairQueue"]
