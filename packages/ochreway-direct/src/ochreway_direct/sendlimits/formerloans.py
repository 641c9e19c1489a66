# SPDX-License-Identifier: Apache-2.0
"""Processes that may still hold loans of former holders of the lease."""

from ochreway_direct.ids import ServiceName
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.heldloans import SENT_LAPSE_S
from ochreway_direct.sendlimits.loanbounds import Bounds


class FormerLoans:
    """Track which registered borrowers have answered or ended since the lease was acquired.

    A borrower that has done neither may hold as much as its registered bound.
    """

    def __init__(self) -> None:
        """Start without the register; nothing is known of any borrower."""
        self.register_known = False
        self._bounds: Bounds = {}
        self._unanswered: set[Borrower] = set()
        self._ended_until_s: dict[Borrower, float] = {}

    def on_register_read(self, bounds: Bounds) -> None:
        """Record every process that may hold a loan, and the most that it may hold."""
        self.register_known = True
        self._bounds = bounds
        self._unanswered = set(bounds)
        self._ended_until_s = {}

    def on_answer(self, sender: Borrower, running_s: float, now_s: float) -> bool:
        """Record that a process takes only new loans; return whether its former ones are to count.

        A registered process of the same name with another incarnation ended before this one
        started, as this one knows of a lease that was acquired after the registration. If the
        process itself was recorded as ended, it has not ended.
        """
        for borrower in (*self._unanswered, *self._ended_until_s):
            if borrower.node == sender.node and borrower.incarnation != sender.incarnation:
                self._end(borrower, now_s - running_s)
        if sender not in self._unanswered and sender not in self._ended_until_s:
            return False
        self._unanswered.discard(sender)
        self._ended_until_s.pop(sender, None)
        return True

    def on_ended(self, borrower: Borrower, now_s: float) -> None:
        """Record that a process has ended by now."""
        if borrower in self._unanswered:
            self._end(borrower, now_s)

    def _end(self, borrower: Borrower, ended_s: float) -> None:
        self._unanswered.discard(borrower)
        until_s = ended_s + SENT_LAPSE_S
        self._ended_until_s[borrower] = min(until_s, self._ended_until_s.get(borrower, until_s))

    def unanswered(self) -> frozenset[Borrower]:
        """Return the processes that may hold any loan."""
        return frozenset(self._unanswered)

    def possible(self, now_s: float) -> frozenset[Borrower]:
        """Return the processes whose loans may count, except those that have answered."""
        ended = {each for each, until_s in self._ended_until_s.items() if until_s > now_s}
        return frozenset(self._unanswered | ended)

    def bounds(self, now_s: float) -> Bounds:
        """Return the most that those processes may hold."""
        return {each: self._bounds[each] for each in self.possible(now_s)}

    def unknown_share(self, service: ServiceName, now_s: float) -> int:
        """Return the most that those processes may hold together for a service."""
        return sum(shares.get(service, 0) for shares in self.bounds(now_s).values())


__all__ = ["FormerLoans"]
