# SPDX-License-Identifier: Apache-2.0
"""An agent's handling of attempts: queue, hand-over, answers, withdrawal."""

from collections.abc import Callable

from ochreway_core import invariants
from ochreway_core.attemptid import AttemptId
from ochreway_core.attemptledger import AttemptLedger, AttemptRecord, AttemptState
from ochreway_core.chunk import Chunk
from ochreway_core.effects import CancelWork, HandOver
from ochreway_core.ids import NodeId
from ochreway_core.messages import Cancel, Credit, Frame, Refusal, Settled, Submit, Withdraw
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_nodes.agent.membership import Membership
from ochreway_nodes.outbox import Outbox
from ochreway_routing.estimate import rounded_retry_after_s
from ochreway_routing.fairqueue import FairQueue
from ochreway_routing.servicemeter import ServiceMeter
from ochreway_routing.work import Work

FORGET_AFTER_S = 60.0
OVERTIME_S = 1.0
QUEUE_PER_SLOT = 2
CLOSED_RETRY_S = 2.0
WINDOW_BYTES = 64 * 1024
PREFILL_AHEAD_S = 0.25
"""How much prefill is handed over ahead; the rest waits where it can be put in order."""
ANSWER_TURN_S = 2.0

Check = tuple[Outcome, Reason]


class Serving:
    """Run each attempt at most once and say truthfully what became of it."""

    def __init__(self, membership: Membership, version: Callable[[], int], outbox: Outbox) -> None:
        self.ledger = AttemptLedger()
        self.queue: FairQueue[AttemptRecord] = FairQueue(capacity=QUEUE_PER_SLOT, slots=1)
        self._handed: dict[AttemptId, AttemptRecord] = {}
        self._received: dict[NodeId, int] = {}
        self.meter: ServiceMeter[AttemptId] = ServiceMeter()
        self._membership = membership
        self._version = version
        self._outbox = outbox

    @property
    def running(self) -> int:
        """Return how many attempts the target has."""
        return len(self._handed)

    # Arrival

    def on_submit(self, sender: Peer, submit: Submit, now_s: float) -> None:
        """Queue an attempt, or refuse it."""
        received = self._received.get(sender.node, 0)
        self._received[sender.node] = max(received, submit.attempt.sequence)
        known = self.ledger.get(submit.attempt)
        if known is not None:
            self._answer_again(sender, submit.attempt, known)
            return
        deadline_s = now_s + submit.expires_in_s
        forget_s = deadline_s + FORGET_AFTER_S
        record = AttemptRecord(AttemptState.QUEUED, forget_s, submit, sender, deadline_s)
        self.ledger.add(submit.attempt, record)
        fault = self._unfit(submit, now_s)
        if fault is not None:
            self._end(record, *fault, self._closed_s(fault[1], now_s))
            return
        self._queue(record, now_s)
        self.dispatch(now_s)

    def _answer_again(self, sender: Peer, attempt: AttemptId, record: AttemptRecord) -> None:
        record.entry = sender
        if record.state is AttemptState.DONE and record.outcome is not Outcome.ANSWERED:
            self._outbox.send(sender, Settled(attempt, record.outcome, record.reason))

    def _unfit(self, submit: Submit, now_s: float) -> Check | None:
        membership = self._membership
        if submit.incarnation != membership.incarnation:
            # An earlier delivery may have run before this process started.
            return Outcome.UNKNOWN, Reason.AGENT_RESTARTED
        if submit.version < self._version():
            return Outcome.NOT_RUN, Reason.STALE_VERSION
        row = membership.row
        if row is None or (row.group, row.epoch) != (submit.group, submit.epoch):
            return Outcome.NOT_RUN, Reason.STALE_EPOCH
        closed = membership.turns_away(now_s)
        if closed is not Reason.NONE:
            return Outcome.NOT_RUN, closed
        return None

    def _queue(self, record: AttemptRecord, now_s: float) -> None:
        submit = record.submit
        assert submit is not None
        row = self._membership.row
        assert row is not None
        self.queue.slots = row.slots
        self.queue.capacity = row.slots * QUEUE_PER_SLOT
        prefill_tokens = self.meter.prefill_tokens(submit.blocks, submit.prompt_tokens, now_s)
        work = Work(
            item=record,
            organisation=submit.organisation,
            priority=submit.priority,
            cost_tokens=float(submit.prompt_tokens + submit.max_tokens),
            prefill_tokens=prefill_tokens,
            deadline_s=now_s + submit.expires_in_s,
            expected_run_s=self.meter.expected_run_s(prefill_tokens, submit.max_tokens),
            queued_s=now_s,
        )
        late_s = self._late_s(work, now_s)
        if late_s > 0:
            retry_after_s = rounded_retry_after_s(late_s)
            self._end(record, Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT, retry_after_s)
            return
        offered = self.queue.offer(work)
        if offered.is_err():
            self._end(record, Outcome.NOT_RUN, offered.unwrap_err(), self.retry_after_s())
            return
        displaced = offered.unwrap()
        if displaced is not None:
            self._end(displaced.item, Outcome.NOT_RUN, Reason.OVER_SHARE, self.retry_after_s())

    def _closed_s(self, reason: Reason, now_s: float) -> float:
        """Return when to come back to a group that is closed, exactly where it is known."""
        asked = reason in (Reason.BACKOFF, Reason.TARGET_LIMIT)
        return self._membership.reopens_in_s(now_s) if asked else CLOSED_RETRY_S

    def _late_s(self, work: Work[AttemptRecord], now_s: float) -> float:
        """Return by how much the work is expected to miss its deadline."""
        wait_s = self.meter.wait_s(*self.queue.ahead_of(work), self.queue.slots)
        return now_s + wait_s + work.expected_run_s - work.deadline_s

    @property
    def next_s(self) -> float:
        """Return when the queue's first is expected to begin its prefill."""
        return self.meter.next_s(self.queue.slots)

    @property
    def backlog_s(self) -> float:
        """Return how long the prefill ahead is expected to take, handed over or queued."""
        queued = sum(work.prefill_tokens for work in self.queue.iter_queued())
        return self.meter.backlog_s + queued * self.meter.prefill_s_per_token

    def last_received(self, entry: NodeId) -> int:
        """Return the sequence number of the entry's last attempt."""
        return self._received.get(entry, 0)

    def retry_after_s(self) -> float:
        """Return when the queue is expected to have room."""
        turns = (len(self.queue) + 1) / max(self.queue.slots, 1)
        return rounded_retry_after_s(turns * ANSWER_TURN_S)

    # Hand-over

    def dispatch(self, now_s: float) -> None:
        """Hand queued work to the target while slots are free and the gate is open."""
        if not len(self.queue):
            return
        closed = self._membership.turns_away(now_s)
        if closed is not Reason.NONE:
            for work in self.queue.remove_all():
                self._end(work.item, Outcome.NOT_RUN, closed, self._closed_s(closed, now_s))
            return
        for work in self.queue.remove_infeasible(now_s, self.meter.backlog_s):
            retry_after_s = self.retry_after_s()
            self._end(work.item, Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT, retry_after_s)
        while self._may_hand_more(now_s):
            following = self.queue.dequeue()
            if following is None:
                return
            self._hand_over(following, now_s)

    def _may_hand_more(self, now_s: float) -> bool:
        """Tell whether the target has a free slot and may be handed one more request."""
        free = self.running < self.queue.slots and self.meter.backlog_s < PREFILL_AHEAD_S
        return free and not self._membership.limit.wait_s(now_s)

    def _hand_over(self, work: Work[AttemptRecord], now_s: float) -> None:
        record = work.item
        gate = self._membership.gate
        assert gate is not None
        assert record.submit is not None
        # In doubt it counts as handed over, so this goes before the effect.
        record.state = AttemptState.HANDED_OVER
        submit = record.submit
        self._handed[submit.attempt] = record
        self.meter.record_start(submit.attempt, submit.blocks, work.prefill_tokens, now_s)
        self._membership.limit.handed(now_s)
        valid_until_s = min(gate.valid_until_s(), work.deadline_s)
        self._outbox.add(HandOver(submit, valid_until_s))

    def may_hand_over(self, order: HandOver, now_s: float) -> bool:
        """Tell, at the moment of the hand-over, whether it may still happen."""
        record = self.ledger.get(order.submit.attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return False
        row = self._membership.row
        same = row is not None and row.epoch == order.submit.epoch
        open_now = self._membership.closed_because(now_s) is Reason.NONE
        return same and open_now and now_s < order.valid_until_s

    def on_hand_over_missed(self, attempt: AttemptId, now_s: float) -> None:
        """End an attempt whose hand-over did not happen."""
        record = self.ledger.get(attempt)
        if record is not None and record.state is AttemptState.HANDED_OVER:
            self._slot_free(record, now_s)
            self._end(record, Outcome.NOT_RUN, Reason.HAND_OVER_LATE, CLOSED_RETRY_S)

    # Answers

    def on_chunk(self, attempt: AttemptId, chunk: Chunk, now_s: float) -> None:
        """Pass on a piece of the target's answer."""
        record = self.ledger.get(attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return
        answer = record.answer
        offset = answer.length
        self.meter.record_first_token(attempt, now_s)
        answer.add(chunk.payload)
        answer.tokens += chunk.tokens
        answer.status = chunk.status
        answer.content_type = chunk.content_type
        if chunk.last:
            answer.total = answer.length
        if record.entry is not None:
            frame = Frame(
                attempt,
                offset,
                chunk.payload,
                chunk.tokens,
                chunk.status,
                chunk.content_type,
                answer.total,
            )
            self._outbox.send(record.entry, frame)
        if chunk.last:
            self._slot_free(record, now_s)
            record.state = AttemptState.DONE
            record.outcome = Outcome.ANSWERED
            self.ledger.retain_answer(record, now_s)
        if chunk.last or not offset:
            self.dispatch(now_s)

    def on_turned_away(self, attempt: AttemptId, now_s: float) -> None:
        """End an attempt that the target says it did not begin."""
        record = self.ledger.get(attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return
        self._slot_free(record, now_s)
        backoff_s = self._membership.backoff_s(now_s)
        reason = Reason.BACKOFF if backoff_s else Reason.QUEUE_FULL
        self._end(record, Outcome.NOT_RUN, reason, backoff_s or self.retry_after_s())
        self.dispatch(now_s)

    def on_target_failed(
        self, attempt: AttemptId, started: bool, now_s: float, ended: bool = False
    ) -> None:
        """End an attempt that the target gave up.

        Args:
            attempt: which one.
            started: False only when the target cannot have begun it.
            now_s: the time.
            ended: True when the target's process ended while it ran it.
        """
        record = self.ledger.get(attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return
        self._slot_free(record, now_s)
        outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
        self._end(record, outcome, Reason.TARGET_ENDED if ended else Reason.TARGET_FAILED, 1.0)
        self.dispatch(now_s)

    def on_credit(self, sender: Peer, credit: Credit, now_s: float) -> None:
        """Note how much of an answer has been passed on."""
        record = self.ledger.get(credit.attempt)
        if record is not None:
            record.answer.passed = max(record.answer.passed, credit.passed)

    def may_read(self, attempt: AttemptId) -> bool:
        """Tell whether the attempt's answer has room in its window."""
        record = self.ledger.get(attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return True
        return record.answer.length - record.answer.passed < WINDOW_BYTES

    # Withdrawal

    def on_withdraw(self, sender: Peer, message: Withdraw, now_s: float) -> None:
        """Forbid an attempt, resume its answer, or say how it ended."""
        record = self.ledger.get(message.attempt)
        if record is None:
            self._forbid(sender, message, now_s)
            return
        record.entry = sender
        _WITHDRAWALS[record.state](self, sender, message, record)

    def _forbid(self, sender: Peer, message: Withdraw, now_s: float) -> None:
        record = AttemptRecord(AttemptState.DONE, now_s + FORGET_AFTER_S, entry=sender)
        mine = message.incarnation == self._membership.incarnation
        record.outcome = Outcome.NOT_RUN if mine else Outcome.UNKNOWN
        record.reason = Reason.WITHDRAWN if mine else Reason.AGENT_RESTARTED
        self.ledger.add(message.attempt, record)
        self._outbox.send(sender, Settled(message.attempt, record.outcome, record.reason))

    def _withdraw_queued(self, sender: Peer, message: Withdraw, record: AttemptRecord) -> None:
        chosen = {id(work) for work in self.queue.iter_queued() if work.item is record}
        self.queue.remove_by_identity(chosen)
        record.state = AttemptState.DONE
        record.reason = Reason.WITHDRAWN
        self._outbox.send(sender, Settled(message.attempt, Outcome.NOT_RUN, Reason.WITHDRAWN))

    def _resume(self, sender: Peer, message: Withdraw, record: AttemptRecord) -> None:
        answer = record.answer
        rest = answer.since(message.received)
        if rest is None:
            settled = Settled(message.attempt, Outcome.UNKNOWN, Reason.ANSWER_SHORT)
            self._outbox.send(sender, settled)
            return
        answer.passed = max(answer.passed, message.received)
        frame = Frame(
            message.attempt,
            message.received,
            rest,
            0,
            answer.status,
            answer.content_type,
            answer.total,
        )
        self._outbox.send(sender, frame)

    def _withdraw_done(self, sender: Peer, message: Withdraw, record: AttemptRecord) -> None:
        if record.outcome is Outcome.ANSWERED:
            self._resume(sender, message, record)
            return
        self._outbox.send(sender, Settled(message.attempt, record.outcome, record.reason))

    def on_cancel(self, sender: Peer, message: Cancel, now_s: float) -> None:
        """Stop an attempt that nobody waits for."""
        record = self.ledger.get(message.attempt)
        if record is None:
            self._forbid(sender, Withdraw(message.attempt, self._membership.incarnation, 0), now_s)
        elif record.state is AttemptState.QUEUED:
            self._withdraw_queued(
                sender, Withdraw(message.attempt, self._membership.incarnation, 0), record
            )
        elif record.state is AttemptState.HANDED_OVER:
            self._cut(message.attempt, record, Reason.CALLER_GONE, now_s)
        self.dispatch(now_s)

    # Group changes

    def on_epoch_changed(self, now_s: float) -> None:
        """End what belongs to the group that this agent has left."""
        for work in self.queue.remove_all():
            self._end(work.item, Outcome.NOT_RUN, Reason.STALE_EPOCH, CLOSED_RETRY_S)
        for attempt, record in list(self._handed.items()):
            self._cut(attempt, record, Reason.GROUP_INCOMPLETE, now_s)

    def _cut(self, attempt: AttemptId, record: AttemptRecord, reason: Reason, now_s: float) -> None:
        self._outbox.add(CancelWork(attempt))
        self._slot_free(record, now_s)
        self._end(record, Outcome.UNKNOWN, reason, CLOSED_RETRY_S)

    @property
    def drained(self) -> bool:
        """Tell whether no attempt is queued or running."""
        return not self.running and not len(self.queue)

    def tick(self, now_s: float) -> None:
        """Dispatch what can go, end what has run out of time, forget what is old."""
        late_s = now_s - OVERTIME_S
        for attempt, record in list(self._handed.items()):
            if record.deadline_s < late_s:
                # Its entry would have cancelled it; it is gone.
                self._cut(attempt, record, Reason.DEADLINE_PASSED, now_s)
        self.dispatch(now_s)
        self.ledger.expire(now_s)

    def _slot_free(self, record: AttemptRecord, now_s: float) -> None:
        submit = record.submit
        assert submit is not None
        self.meter.record_end(submit.attempt, record.answer.tokens, submit.max_tokens, now_s)
        self._handed.pop(submit.attempt, None)
        self.queue.release_slot(submit.organisation)

    def _end(
        self, record: AttemptRecord, outcome: Outcome, reason: Reason, retry_after_s: float
    ) -> None:
        handed = record.state is AttemptState.HANDED_OVER
        honest = outcome is not Outcome.NOT_RUN or not handed or reason in _NOT_STARTED
        if not invariants.never_handed_over(not honest, f"reason={reason.value}"):
            outcome = Outcome.UNKNOWN
        record.state = AttemptState.DONE
        record.outcome = outcome
        record.reason = reason
        self._outbox.count(f"refusal.{reason.value}")
        if record.entry is not None and record.submit is not None:
            refusal = Refusal(record.submit.attempt, outcome, reason, retry_after_s)
            self._outbox.send(record.entry, refusal)


_NOT_STARTED = frozenset(
    {Reason.HAND_OVER_LATE, Reason.TARGET_FAILED, Reason.BACKOFF, Reason.QUEUE_FULL}
)

_WITHDRAWALS: dict[AttemptState, Callable[[Serving, Peer, Withdraw, AttemptRecord], None]] = {
    AttemptState.QUEUED: Serving._withdraw_queued,
    AttemptState.HANDED_OVER: Serving._resume,
    AttemptState.DONE: Serving._withdraw_done,
}

__all__ = ["Serving", "WINDOW_BYTES"]
