# SPDX-License-Identifier: Apache-2.0
"""Failover of calls from a target that is silent or lost to another one."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ochreway_core.ids import GroupId
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.queueing.callqueues import CallQueues
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.calllog import CallLog
from ochreway_direct.relay.errors import AnswerBroken, Refused
from ochreway_platform.targetcheck import is_refused
from ochreway_routing.retrybudget import RetryBudget

TARGET_CHECK_INTERVAL_S = 0.5


class Failovers:
    """Find and reserve the next place of calls while their attempt goes on.

    Where calls are queued, a call waits in its queue for the place, beside its attempt. The retry
    is paid for with the place.
    """

    def __init__(
        self,
        fleet: Fleet,
        queues: CallQueues,
        budget: RetryBudget,
        pick: Callable[[Call], Attempt | None],
        may_repeat: Callable[[Call], bool],
        suspect: Callable[[GroupId], None],
        log: CallLog,
    ) -> None:
        self._fleet = fleet
        self._queues = queues
        self._budget = budget
        self._pick = pick
        self._may_repeat = may_repeat
        self._suspect = suspect
        self._log = log

    def reserve(self, call: Call, attempt: Attempt) -> bool:
        """Return whether another target takes a call over; its place and the retry are reserved."""
        if call.reserved is not None:
            return True
        if attempt.group is not None:
            self._suspect(attempt.group)
        if not call.route.repeatable or not self._may_repeat(call) or not self._budget.can_spend():
            return False
        call.tried.add(attempt.instance)
        if self._queues.applies_to(call):
            if call.next_place is None:
                call.next_place = asyncio.create_task(self._wait_for_place(call))
            return False
        chosen = self._pick(call)
        if chosen is None or chosen.instance == attempt.instance:
            return False
        self._fleet.begin(chosen)
        return self._take(call, chosen)

    def is_target_gone(self, attempt: Attempt) -> bool:
        """Return whether nothing listens any more at an attempt's target; checked at intervals."""
        if attempt.target_check is None:
            attempt.target_check = asyncio.create_task(self._check_target(attempt))
        return attempt.is_target_gone

    async def _check_target(self, attempt: Attempt) -> None:
        attempt.is_target_gone = await is_refused(attempt.address)
        await asyncio.sleep(TARGET_CHECK_INTERVAL_S)
        attempt.target_check = None

    def of(self, call: Call, attempt: Attempt) -> "AttemptFailover":
        """Return the failover of one attempt."""
        return AttemptFailover(self, call, attempt)

    def cancel(self, call: Call) -> None:
        """Give up the place that a call waits for or has, as it does not move."""
        if call.next_place is not None:
            call.next_place.cancel()
            call.next_place = None
        if call.reserved is not None:
            self.give_back(call.reserved)
            call.reserved = None

    def give_back(self, attempt: Attempt) -> None:
        """Give back the place of an attempt that is not sent."""
        self._queues.give_back(attempt)
        if self._fleet.is_under_way(attempt):
            self._fleet.end(attempt, False, asyncio.get_running_loop().time())

    async def _wait_for_place(self, call: Call) -> None:
        try:
            self._take(call, await self._queues.place(call))
        except (Refused, AnswerBroken) as refused:
            # Its attempt goes on; the queue is asked again while the target is silent.
            self._log.failover_refused(call.terms.request, refused.reason)
        except Exception as error:
            self._log.failed(call.terms.request, error)
        finally:
            call.next_place = None

    def _take(self, call: Call, chosen: Attempt) -> bool:
        """Reserve a place if a retry is left, else give it back; return whether it is reserved."""
        if not self._budget.spend():
            self.give_back(chosen)
            return False
        # The attempt that it replaces counts as a run only once it has ended.
        chosen.is_last = call.runs + 2 >= call.route.attempts_at_most
        call.reserved = chosen
        return True


@dataclass(frozen=True, slots=True)
class AttemptFailover:
    """Find where the call of one attempt may go on."""

    failovers: Failovers
    call: Call
    attempt: Attempt

    def reserve(self) -> bool:
        """Return whether another target takes the call over; its place and retry are reserved."""
        return self.failovers.reserve(self.call, self.attempt)

    def is_target_gone(self) -> bool:
        """Return whether nothing listens any more at the target's address."""
        return self.failovers.is_target_gone(self.attempt)

    def cancel(self) -> None:
        """Give up what is reserved, as the target goes on."""
        self.failovers.cancel(self.call)


__all__ = ["AttemptFailover", "Failovers"]
