# SPDX-License-Identifier: Apache-2.0
"""Processes that may still hold loans of former holders of the lease."""

from collections.abc import Iterable

from ochreway_direct.sendlimits.heldloans import SENT_LAPSE_S
from ochreway_direct.sendlimits.loansrow import Borrower


class FormerLoans:
    """Track which registered borrowers have answered or ended since the lease was acquired.

    A borrower that has done neither may hold everything that can be lent.
    """

    def __init__(self) -> None:
        """Start without the register; nothing is known of any borrower."""
        self.known = False
        self._unanswered: set[Borrower] = set()
        self._ended_until_s: dict[Borrower, float] = {}

    def on_register_read(self, borrowers: Iterable[Borrower]) -> None:
        """Record every process that may hold a loan."""
        self.known = True
        self._unanswered = set(borrowers)

    def on_answer(self, sender: Borrower, running_s: float, now_s: float) -> bool:
        """Record that a process takes only new loans; return whether its former ones are to count.

        Any other process of its name has ended before it started: it has heard of a lease that was
        acquired after the other one was registered.
        """
        answered = False
        for borrower in [each for each in self._unanswered if each.node == sender.node]:
            if borrower.incarnation != sender.incarnation:
                self._end(borrower, now_s - running_s)
            else:
                self._unanswered.discard(borrower)
                answered = True
        return answered

    def on_ended(self, borrower: Borrower, now_s: float) -> None:
        """Record that a process has ended by now."""
        if borrower in self._unanswered:
            self._end(borrower, now_s)

    def _end(self, borrower: Borrower, ended_s: float) -> None:
        self._unanswered.discard(borrower)
        self._ended_until_s[borrower] = ended_s + SENT_LAPSE_S

    def unanswered(self) -> frozenset[Borrower]:
        """Return the processes that may hold any loan."""
        return frozenset(self._unanswered)

    def possible(self, now_s: float) -> frozenset[Borrower]:
        """Return the processes whose loans may count, except those that have answered."""
        ended = {each for each, until_s in self._ended_until_s.items() if until_s > now_s}
        return frozenset(self._unanswered | ended)

    def resolved(self, now_s: float) -> bool:
        """Return whether the register is known and no process may hold an unknown loan."""
        return self.known and not self.possible(now_s)


__all__ = ["FormerLoans"]
