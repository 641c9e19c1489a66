# SPDX-License-Identifier: Apache-2.0
"""Failover of calls from a target that is silent or lost to another one."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ochreway_core.ids import GroupId
from ochreway_core.outcome import Outcome
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.queueing.callqueues import CallQueues
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.calllog import CallLog
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.errors import AnswerBroken, Refused
from ochreway_direct.relay.takeover import Takeover
from ochreway_platform.targetcheck import is_refused
from ochreway_routing.retrybudget import RetryBudget

TARGET_CHECK_INTERVAL_S = 0.5
ASK_AGAIN_S = 0.5
"""How soon a target that turned a takeover away is asked again."""
HELD_BACK_S = 1.0
"""How long the answer of a lost target is held back for a takeover; its caller waits meanwhile."""

Send = Callable[[Call, Attempt], Awaitable[Ending]]
RecordFailure = Callable[[Call, Attempt, Ending, float], Awaitable[None]]


class Failovers:
    """Have other targets take calls over while the attempt at the silent or lost one goes on.

    A place is only this entry's own count: the target, which others use as well, may turn the call
    away. The attempt therefore ends only once the next target answers. Where calls are queued, a
    call waits in its queue for the place, beside its attempt. The retry is paid for with the place.
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
        send: Send,
        record_failure: RecordFailure,
    ) -> None:
        """Create failovers; ``send`` makes an attempt, and one that fails is recorded."""
        self._fleet = fleet
        self._queues = queues
        self._budget = budget
        self._pick = pick
        self._may_repeat = may_repeat
        self._suspect = suspect
        self._log = log
        self._send = send
        self._record_failure = record_failure

    def take_over(self, call: Call, attempt: Attempt) -> bool:
        """Return whether another target has begun to answer a call; ask one if there is none."""
        if call.takeover is not None:
            return call.takeover.attempt is not attempt and call.takeover.turn.accepted
        if attempt.group is not None:
            self._suspect(attempt.group)
        if not call.route.repeatable or not self._may_repeat(call) or not self._budget.can_spend():
            return False
        call.tried.add(attempt.instance)
        self._admit_turned_away(call, asyncio.get_running_loop().time())
        if self._queues.applies_to(call):
            if call.next_place is None:
                call.next_place = asyncio.create_task(self._wait_for_place(call))
            return False
        chosen = self._pick(call)
        if chosen is None or chosen.instance == attempt.instance:
            return False
        self._fleet.begin(chosen)
        self._take(call, chosen)
        return False

    async def on_answer_part(self, call: Call, attempt: Attempt) -> None:
        """Handle a part of the answer of an attempt that another one may take over.

        The takeover continues after the last part that it knows of. A target that goes on keeps its
        call. One that is lost will end, so its answer is held back for a while, or until the
        takeover has failed; if it succeeds, the attempt is ended here.
        """
        takeover = call.takeover
        if takeover is None or takeover.attempt is attempt:
            return
        if attempt.lost:
            await takeover.turn.wait_until_given_up(HELD_BACK_S)
        if call.takeover is takeover:
            self.cancel(call)

    async def proceed(self, call: Call, takeover: Takeover) -> Ending:
        """Let a takeover answer the call, as the attempt before has ended; return its ending."""
        call.takeover = None
        takeover.turn.come()
        assert takeover.task is not None
        ending = await takeover.task
        assert ending is not None
        return ending

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
        """Give up the place that a call waits for or has, as it is not taken over."""
        if call.next_place is not None:
            call.next_place.cancel()
            call.next_place = None
        takeover, call.takeover = call.takeover, None
        if takeover is None:
            return
        assert takeover.task is not None
        takeover.task.cancel()
        takeover.turn.give_up()
        call.target = takeover.former_target
        if not takeover.is_sending:
            self.give_back(takeover.attempt)
        elif takeover.attempt.written_s is not None:
            call.runs += 1

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

    def _admit_turned_away(self, call: Call, now_s: float) -> None:
        """Let a call be sent again to targets that turned it away some time ago."""
        for instance, until_s in list(call.turned_away.items()):
            if now_s >= until_s:
                del call.turned_away[instance]
                call.tried.discard(instance)

    def _take(self, call: Call, chosen: Attempt) -> None:
        """Attempt a takeover at a place if a retry is left, else give the place back."""
        if not self._budget.spend():
            self.give_back(chosen)
            return
        # The attempt that it replaces counts as a run only once it has ended.
        chosen.is_last = call.runs + 2 >= call.route.attempts_at_most
        takeover = call.takeover = Takeover(chosen, call.target)
        chosen.turn = takeover.turn
        takeover.task = asyncio.create_task(self._try(call, takeover))

    async def _try(self, call: Call, takeover: Takeover) -> Ending | None:
        """Attempt a takeover; return how it ended, or None if the call was not taken over."""
        takeover.is_sending = True
        attempt, loop = takeover.attempt, asyncio.get_running_loop()
        begun_s = loop.time()
        try:
            ending = await self._send(call, attempt)
        except Exception as error:
            if takeover.turn.has_come:
                raise
            self._give_up(call, takeover)
            if isinstance(error, Refused | AnswerBroken):
                self._log.failover_refused(call.terms.request, error.reason)
            else:
                self._log.failed(call.terms.request, error)
                call.runs += 1
            return None
        if takeover.turn.has_come:
            return ending
        self._give_up(call, takeover)
        if ending.outcome is Outcome.NOT_RUN:
            call.turned_away[attempt.instance] = loop.time() + ASK_AGAIN_S
        await self._record_failure(call, attempt, ending, begun_s)
        return None

    def _give_up(self, call: Call, takeover: Takeover) -> None:
        """Let the attempt under way go on alone."""
        if call.takeover is takeover:
            call.takeover = None
            call.target = takeover.former_target
        takeover.turn.give_up()


@dataclass(frozen=True, slots=True)
class AttemptFailover:
    """Have another target take over the call of one attempt."""

    failovers: Failovers
    call: Call
    attempt: Attempt

    def take_over(self) -> bool:
        """Return whether another target has begun to answer the call; ask one if there is none."""
        return self.failovers.take_over(self.call, self.attempt)

    def is_target_gone(self) -> bool:
        """Return whether nothing listens any more at the target's address."""
        return self.failovers.is_target_gone(self.attempt)

    def cancel(self) -> None:
        """Have no other target take the call over, as this one goes on."""
        self.failovers.cancel(self.call)


__all__ = ["AttemptFailover", "Failovers"]
