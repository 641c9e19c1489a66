# SPDX-License-Identifier: Apache-2.0
"""An agent's handling of attempts: queueing, hand-over, answers and withdrawal."""

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

LEDGER_RETENTION_S = 60.0
"""How long an attempt stays in the ledger after its deadline."""
DEADLINE_GRACE_S = 1.0
"""Time after its deadline at which a running attempt is aborted."""
MAX_QUEUED_PER_SLOT = 2
CLOSED_RETRY_AFTER_S = 2.0
"""Retry-after time of refusals while the gate is closed for an unknown time."""
ANSWER_WINDOW_BYTES = 64 * 1024
"""Bound on answer bytes sent to an entry that its caller has not received yet."""
MAX_PREFILL_AHEAD_S = 0.25
"""Bound on prefill handed to the target ahead; the rest waits in the queue, in its order."""
EXPECTED_ANSWER_S = 2.0
"""Time per answer that retry-after estimates assume."""

Rejection = tuple[Outcome, Reason]


class Serving:
    """Run each attempt at most once, and never report one as not run that may have run."""

    def __init__(self, membership: Membership, version: Callable[[], int], outbox: Outbox) -> None:
        self.ledger = AttemptLedger()
        self.queue: FairQueue[AttemptRecord] = FairQueue(capacity=MAX_QUEUED_PER_SLOT, slots=1)
        self._handed_over: dict[AttemptId, AttemptRecord] = {}
        self._last_sequences: dict[NodeId, int] = {}
        self.meter: ServiceMeter[AttemptId] = ServiceMeter()
        self._membership = membership
        self._version = version
        self._outbox = outbox

    @property
    def running(self) -> int:
        """The number of attempts that the target is running."""
        return len(self._handed_over)

    # Arrival

    def on_submit(self, sender: Peer, submit: Submit, now_s: float) -> None:
        """Queue an attempt or refuse it; a duplicate gets its earlier outcome again."""
        received = self._last_sequences.get(sender.node, 0)
        self._last_sequences[sender.node] = max(received, submit.attempt.sequence)
        known = self.ledger.get(submit.attempt)
        if known is not None:
            self._resend_outcome(sender, submit.attempt, known)
            return
        deadline_s = now_s + submit.expires_in_s
        forget_s = deadline_s + LEDGER_RETENTION_S
        record = AttemptRecord(AttemptState.QUEUED, forget_s, submit, sender, deadline_s)
        self.ledger.add(submit.attempt, record)
        rejection = self._check_submit(submit, now_s)
        if rejection is not None:
            self._end_attempt(record, *rejection, self._closed_retry_after_s(rejection[1], now_s))
            return
        self._queue(record, now_s)
        self.dispatch(now_s)

    def _resend_outcome(self, sender: Peer, attempt: AttemptId, record: AttemptRecord) -> None:
        record.entry = sender
        if record.state is AttemptState.DONE and record.outcome is not Outcome.ANSWERED:
            self._outbox.send(sender, Settled(attempt, record.outcome, record.reason))

    def _check_submit(self, submit: Submit, now_s: float) -> Rejection | None:
        membership = self._membership
        if submit.incarnation != membership.incarnation:
            # An earlier delivery may have run before this process started.
            return Outcome.UNKNOWN, Reason.AGENT_RESTARTED
        if submit.version < self._version():
            return Outcome.NOT_RUN, Reason.STALE_VERSION
        row = membership.row
        if row is None or (row.group, row.epoch) != (submit.group, submit.epoch):
            return Outcome.NOT_RUN, Reason.STALE_EPOCH
        closed = membership.refusal_reason(now_s)
        if closed is not Reason.NONE:
            return Outcome.NOT_RUN, closed
        return None

    def _queue(self, record: AttemptRecord, now_s: float) -> None:
        submit = record.submit
        assert submit is not None
        row = self._membership.row
        assert row is not None
        self.queue.slots = row.slots
        self.queue.capacity = row.slots * MAX_QUEUED_PER_SLOT
        prefill_tokens = self.meter.prefill_tokens(submit.blocks, submit.prompt_tokens, now_s)
        work = Work(
            item=record,
            organisation=submit.organisation,
            priority=submit.priority,
            cost=float(submit.prompt_tokens + submit.max_tokens),
            prefill_tokens=prefill_tokens,
            deadline_s=now_s + submit.expires_in_s,
            expected_run_s=self.meter.expected_run_s(prefill_tokens, submit.max_tokens),
            queued_s=now_s,
        )
        lateness_s = self._lateness_s(work, now_s)
        if lateness_s > 0:
            retry_after_s = rounded_retry_after_s(lateness_s)
            self._end_attempt(record, Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT, retry_after_s)
            return
        offered = self.queue.offer(work)
        if offered.is_err():
            self._end_attempt(record, Outcome.NOT_RUN, offered.unwrap_err(), self.retry_after_s())
            return
        displaced = offered.unwrap()
        if displaced is not None:
            self._end_attempt(
                displaced.item, Outcome.NOT_RUN, Reason.OVER_SHARE, self.retry_after_s()
            )

    def _closed_retry_after_s(self, reason: Reason, now_s: float) -> float:
        """Return the retry-after time of a closed group, exact if the target announced it."""
        reopening_known = reason in (Reason.BACKOFF, Reason.TARGET_LIMIT)
        return self._membership.reopens_in_s(now_s) if reopening_known else CLOSED_RETRY_AFTER_S

    def _lateness_s(self, work: Work[AttemptRecord], now_s: float) -> float:
        """Return by how much the work is expected to miss its deadline; negative if it meets it."""
        wait_s = self.meter.wait_s(*self.queue.ahead_of(work), self.queue.slots)
        return now_s + wait_s + work.expected_run_s - work.deadline_s

    @property
    def next_s(self) -> float:
        """The expected time until the first queued attempt begins its prefill."""
        return self.meter.next_s(self.queue.slots)

    @property
    def backlog_s(self) -> float:
        """The expected duration of all outstanding prefill, handed over or queued."""
        queued = sum(work.prefill_tokens for work in self.queue.iter_queued())
        return self.meter.backlog_s + queued * self.meter.prefill_s_per_token

    def last_received(self, entry: NodeId) -> int:
        """Return the sequence number of the entry's last attempt."""
        return self._last_sequences.get(entry, 0)

    def retry_after_s(self) -> float:
        """Return the expected time until the queue has room."""
        answers_ahead = (len(self.queue) + 1) / max(self.queue.slots, 1)
        return rounded_retry_after_s(answers_ahead * EXPECTED_ANSWER_S)

    # Hand-over

    def dispatch(self, now_s: float) -> None:
        """Hand queued attempts to the target while slots are free and the gate is open."""
        if not len(self.queue):
            return
        closed = self._membership.refusal_reason(now_s)
        if closed is not Reason.NONE:
            for work in self.queue.remove_all():
                self._end_attempt(
                    work.item, Outcome.NOT_RUN, closed, self._closed_retry_after_s(closed, now_s)
                )
            return
        for work in self.queue.remove_infeasible(now_s, self.meter.backlog_s):
            retry_after_s = self.retry_after_s()
            self._end_attempt(work.item, Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT, retry_after_s)
        while self._may_hand_over_more(now_s):
            next_work = self.queue.dequeue()
            if next_work is None:
                return
            self._hand_over(next_work, now_s)

    def _may_hand_over_more(self, now_s: float) -> bool:
        """Return whether the target has a free slot and its limits allow another request."""
        has_room = self.running < self.queue.slots and self.meter.backlog_s < MAX_PREFILL_AHEAD_S
        return has_room and not self._membership.limit.wait_s(now_s)

    def _hand_over(self, work: Work[AttemptRecord], now_s: float) -> None:
        record = work.item
        gate = self._membership.gate
        assert gate is not None
        assert record.submit is not None
        # An attempt counts as handed over if in doubt, so the state changes before the effect.
        record.state = AttemptState.HANDED_OVER
        submit = record.submit
        self._handed_over[submit.attempt] = record
        self.meter.record_start(submit.attempt, submit.blocks, work.prefill_tokens, now_s)
        self._membership.limit.record_request(now_s)
        valid_until_s = min(gate.valid_until_s(), work.deadline_s)
        self._outbox.add(HandOver(submit, valid_until_s))

    def may_hand_over(self, order: HandOver, now_s: float) -> bool:
        """Return whether a hand-over may still happen; checked right before it."""
        record = self.ledger.get(order.submit.attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return False
        row = self._membership.row
        same_epoch = row is not None and row.epoch == order.submit.epoch
        is_open = self._membership.closed_because(now_s) is Reason.NONE
        return same_epoch and is_open and now_s < order.valid_until_s

    def on_hand_over_missed(self, attempt: AttemptId, now_s: float) -> None:
        """End an attempt that was not handed to the target in time."""
        record = self.ledger.get(attempt)
        if record is not None and record.state is AttemptState.HANDED_OVER:
            self._free_slot(record, now_s)
            self._end_attempt(record, Outcome.NOT_RUN, Reason.HAND_OVER_LATE, CLOSED_RETRY_AFTER_S)

    # Answers

    def on_chunk(self, attempt: AttemptId, chunk: Chunk, now_s: float) -> None:
        """Forward a chunk of the target's answer to the entry."""
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
            self._free_slot(record, now_s)
            record.state = AttemptState.DONE
            record.outcome = Outcome.ANSWERED
            self.ledger.retain_answer(record, now_s)
        if chunk.last or not offset:
            self.dispatch(now_s)

    def on_turned_away(self, attempt: AttemptId, now_s: float) -> None:
        """End an attempt that the target refused without beginning it."""
        record = self.ledger.get(attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return
        self._free_slot(record, now_s)
        backoff_s = self._membership.backoff_s(now_s)
        reason = Reason.BACKOFF if backoff_s else Reason.QUEUE_FULL
        self._end_attempt(record, Outcome.NOT_RUN, reason, backoff_s or self.retry_after_s())
        self.dispatch(now_s)

    def on_target_failed(
        self, attempt: AttemptId, started: bool, now_s: float, ended: bool = False
    ) -> None:
        """End an attempt that the target failed.

        Args:
            attempt: the attempt.
            started: False only if the target cannot have begun the attempt.
            now_s: the current time.
            ended: True if the target's process ended while running the attempt.
        """
        record = self.ledger.get(attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return
        self._free_slot(record, now_s)
        outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
        self._end_attempt(
            record, outcome, Reason.TARGET_ENDED if ended else Reason.TARGET_FAILED, 1.0
        )
        self.dispatch(now_s)

    def on_credit(self, sender: Peer, credit: Credit, now_s: float) -> None:
        """Record how much of an answer the caller has received."""
        record = self.ledger.get(credit.attempt)
        if record is not None:
            record.answer.passed = max(record.answer.passed, credit.passed)

    def may_read(self, attempt: AttemptId) -> bool:
        """Return whether more of the attempt's answer may be read from the target."""
        record = self.ledger.get(attempt)
        if record is None or record.state is not AttemptState.HANDED_OVER:
            return True
        return record.answer.length - record.answer.passed < ANSWER_WINDOW_BYTES

    # Withdrawal

    def on_withdraw(self, sender: Peer, message: Withdraw, now_s: float) -> None:
        """Forbid an attempt, resume its answer or report its outcome."""
        record = self.ledger.get(message.attempt)
        if record is None:
            self._forbid(sender, message, now_s)
            return
        record.entry = sender
        _WITHDRAW_HANDLERS[record.state](self, sender, message, record)

    def _forbid(self, sender: Peer, message: Withdraw, now_s: float) -> None:
        record = AttemptRecord(AttemptState.DONE, now_s + LEDGER_RETENTION_S, entry=sender)
        same_incarnation = message.incarnation == self._membership.incarnation
        record.outcome = Outcome.NOT_RUN if same_incarnation else Outcome.UNKNOWN
        record.reason = Reason.WITHDRAWN if same_incarnation else Reason.AGENT_RESTARTED
        self.ledger.add(message.attempt, record)
        self._outbox.send(sender, Settled(message.attempt, record.outcome, record.reason))

    def _withdraw_queued(self, sender: Peer, message: Withdraw, record: AttemptRecord) -> None:
        queued_ids = {id(work) for work in self.queue.iter_queued() if work.item is record}
        self.queue.remove_by_identity(queued_ids)
        record.state = AttemptState.DONE
        record.reason = Reason.WITHDRAWN
        self._outbox.send(sender, Settled(message.attempt, Outcome.NOT_RUN, Reason.WITHDRAWN))

    def _resume(self, sender: Peer, message: Withdraw, record: AttemptRecord) -> None:
        answer = record.answer
        remaining = answer.since(message.received)
        if remaining is None:
            settled = Settled(message.attempt, Outcome.UNKNOWN, Reason.ANSWER_SHORT)
            self._outbox.send(sender, settled)
            return
        answer.passed = max(answer.passed, message.received)
        frame = Frame(
            message.attempt,
            message.received,
            remaining,
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
        """Stop an attempt whose caller is gone."""
        record = self.ledger.get(message.attempt)
        if record is None:
            self._forbid(sender, Withdraw(message.attempt, self._membership.incarnation, 0), now_s)
        elif record.state is AttemptState.QUEUED:
            self._withdraw_queued(
                sender, Withdraw(message.attempt, self._membership.incarnation, 0), record
            )
        elif record.state is AttemptState.HANDED_OVER:
            self._abort(message.attempt, record, Reason.CALLER_GONE, now_s)
        self.dispatch(now_s)

    # Group changes

    def on_epoch_changed(self, now_s: float) -> None:
        """End all attempts of the group that this agent has left."""
        for work in self.queue.remove_all():
            self._end_attempt(work.item, Outcome.NOT_RUN, Reason.STALE_EPOCH, CLOSED_RETRY_AFTER_S)
        for attempt, record in list(self._handed_over.items()):
            self._abort(attempt, record, Reason.GROUP_INCOMPLETE, now_s)

    def _abort(
        self, attempt: AttemptId, record: AttemptRecord, reason: Reason, now_s: float
    ) -> None:
        self._outbox.add(CancelWork(attempt))
        self._free_slot(record, now_s)
        self._end_attempt(record, Outcome.UNKNOWN, reason, CLOSED_RETRY_AFTER_S)

    @property
    def drained(self) -> bool:
        """Whether no attempt is queued or running."""
        return not self.running and not len(self.queue)

    def tick(self, now_s: float) -> None:
        """Abort overdue attempts, dispatch queued ones and purge old ledger records."""
        cutoff_s = now_s - DEADLINE_GRACE_S
        for attempt, record in list(self._handed_over.items()):
            if record.deadline_s < cutoff_s:
                # Its entry would have cancelled the attempt by now, so the entry is lost.
                self._abort(attempt, record, Reason.DEADLINE_PASSED, now_s)
        self.dispatch(now_s)
        self.ledger.expire(now_s)

    def _free_slot(self, record: AttemptRecord, now_s: float) -> None:
        submit = record.submit
        assert submit is not None
        self.meter.record_end(submit.attempt, record.answer.tokens, submit.max_tokens, now_s)
        self._handed_over.pop(submit.attempt, None)
        self.queue.release_slot(submit.organisation)

    def _end_attempt(
        self, record: AttemptRecord, outcome: Outcome, reason: Reason, retry_after_s: float
    ) -> None:
        was_handed_over = record.state is AttemptState.HANDED_OVER
        truthful = (
            outcome is not Outcome.NOT_RUN
            or not was_handed_over
            or reason in _NEVER_STARTED_REASONS
        )
        if not invariants.never_handed_over(not truthful, f"reason={reason.value}"):
            outcome = Outcome.UNKNOWN
        record.state = AttemptState.DONE
        record.outcome = outcome
        record.reason = reason
        self._outbox.count(f"refusal.{reason.value}")
        if record.entry is not None and record.submit is not None:
            refusal = Refusal(record.submit.attempt, outcome, reason, retry_after_s)
            self._outbox.send(record.entry, refusal)


_NEVER_STARTED_REASONS = frozenset(
    {Reason.HAND_OVER_LATE, Reason.TARGET_FAILED, Reason.BACKOFF, Reason.QUEUE_FULL}
)

_WITHDRAW_HANDLERS: dict[AttemptState, Callable[[Serving, Peer, Withdraw, AttemptRecord], None]] = {
    AttemptState.QUEUED: Serving._withdraw_queued,
    AttemptState.HANDED_OVER: Serving._resume,
    AttemptState.DONE: Serving._withdraw_done,
}

__all__ = ["Serving", "ANSWER_WINDOW_BYTES"]
