# SPDX-License-Identifier: Apache-2.0
"""An entry's requests in progress: claiming keys, routing, settling, retrying and answering."""

from collections.abc import Callable

from ochreway_core import invariants
from ochreway_core.attemptid import AttemptId
from ochreway_core.cause import causes_of
from ochreway_core.claimround import ClaimState
from ochreway_core.effects import Deliver, Finish
from ochreway_core.fingerprint import fingerprint_of
from ochreway_core.ids import CauseId, Incarnation, InstanceId, NodeId, PartId, RequestId
from ochreway_core.messages import (
    Cancel,
    ClaimReply,
    Credit,
    Frame,
    Refusal,
    Settled,
    Submit,
    Vote,
    Withdraw,
)
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.request import Request
from ochreway_core.timing import Timing
from ochreway_nodes.entry.call import Attempt, Call, CallState
from ochreway_nodes.entry.crashes import Crashes
from ochreway_nodes.entry.keyclaims import KeyClaims, claim_failure_reason
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.viewsync import ViewSync
from ochreway_routing.crashverdict import NOT_FATAL, CrashVerdict
from ochreway_routing.limits import Limits
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView
from ochreway_routing.retry import Action, next_action
from ochreway_routing.router import Router

CREDIT_INTERVAL_BYTES = 16 * 1024
"""Answer bytes received by the caller between two credits to the agent."""
SHORT_RETRY_AFTER_S = 1.0
"""Retry-after time where neither agent nor router gives one."""

_BENIGN_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.BACKOFF,
        Reason.TARGET_LIMIT,
        Reason.OVER_SHARE,
        Reason.DRAINING,
        Reason.LEAVING,
        Reason.STALE_VERSION,
        Reason.STALE_EPOCH,
        Reason.DEADLINE_PASSED,
        Reason.CALLER_GONE,
    }
)
"""Reasons of a failed attempt that are not a fault of the group and do not count against it."""


class Calls:
    """Bring each request to exactly one final outcome."""

    def __init__(
        self,
        me: Peer,
        incarnation: Incarnation,
        timing: Timing,
        view_sync: ViewSync,
        router: Router,
        limits: Limits,
        address_of: Callable[[NodeId], Peer | None],
        crashes: Crashes,
        outbox: Outbox,
    ) -> None:
        self._me = me
        self._incarnation = incarnation
        self._timing = timing
        self._view_sync = view_sync
        self._router = router
        self._limits = limits
        self._keys = KeyClaims(view_sync, timing, address_of, outbox)
        self._crashes = crashes
        self._outbox = outbox
        self._sequence = 0
        self._calls: dict[RequestId, Call] = {}
        self._by_attempt: dict[AttemptId, Call] = {}

    def __len__(self) -> int:
        return len(self._calls)

    # Start

    def start(self, request: Request, now_s: float) -> None:
        """Begin a request; it ends with one ``Finish`` effect."""
        call = Call(request, CallState.CLAIMING, causes=_causes(request))
        verdict = self._check_fatal(call, now_s, is_sent_now=False)
        if verdict.fatal_for_s > 0.0:
            # Checked before any limit, as a request that is never sent must not use up a share.
            self._finish_refused(request, verdict.reason, verdict.fatal_for_s)
            return
        admitted = self._limits.admit(request.organisation, call.tokens, now_s)
        if admitted.is_err():
            refused = admitted.unwrap_err()
            self._finish_refused(request, refused.reason, refused.retry_after_s)
            return
        self._calls[request.request] = call
        if request.key is not None and not request.repeatable:
            self._claim(call, now_s)
        else:
            self._route(call, now_s)

    def _check_fatal(self, call: Call, now_s: float, is_sent_now: bool = True) -> CrashVerdict:
        """Return whether a call may be sent; one on trial may be, once."""
        if call.on_trial and not call.attempts:
            return NOT_FATAL
        verdict = self._crashes.on_request(call.causes, now_s, is_sent_now)
        call.on_trial = verdict.on_trial
        return verdict

    def _finish_refused(self, request: Request, reason: Reason, retry_after_s: float) -> None:
        self._outbox.count(f"refusal.{reason.value}")
        finish = Finish(request.request, Outcome.NOT_RUN, reason, retry_after_s)
        self._outbox.add(finish)

    # Keys

    def _claim(self, call: Call, now_s: float) -> None:
        self._keys.begin(call, now_s)
        self._check_claim(call, now_s)

    def on_claim_reply(self, sender: Peer, reply: ClaimReply, now_s: float) -> None:
        """Record a key home's vote."""
        call = self._calls.get(reply.request)
        if call is None or call.claim is None or call.state is not CallState.CLAIMING:
            return
        if reply.vote is not Vote.STALE:
            call.claim.record_vote(sender.node, reply.vote, reply.outcome)
            self._check_claim(call, now_s)

    def _check_claim(self, call: Call, now_s: float) -> None:
        assert call.claim is not None
        state = call.claim.state()
        if state is ClaimState.WON:
            self._route(call, now_s)
        elif state is not ClaimState.OPEN:
            self._fail_claim(call, claim_failure_reason(call.claim, state))

    def _fail_claim(self, call: Call, reason: Reason) -> None:
        self._keys.end(call, Outcome.NOT_RUN)
        # Another request with the same key may have run, so the outcome is unknown.
        self._finish(call, Outcome.UNKNOWN, reason, SHORT_RETRY_AFTER_S)

    def on_view_changed(self, now_s: float) -> None:
        """Restart pending claims under the new version."""
        for call in [item for item in self._calls.values() if item.state is CallState.CLAIMING]:
            self._claim(call, now_s)

    # Routing

    def _query(self, request: Request) -> RouteQuery:
        return RouteQuery(
            target=request.target,
            caller=request.caller,
            blocks=request.blocks,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            priority=request.priority,
            deadline_s=request.deadline_s,
            adapter=request.adapter,
            share_key=request.key or request.request,
        )

    def _route(self, call: Call, now_s: float) -> None:
        query = self._query(call.request)
        choice = self._router.choose(query, call.tried_groups, now_s)
        # A trial begins only if there is a group to send it to.
        verdict = self._check_fatal(call, now_s, is_sent_now=choice.is_ok())
        if verdict.fatal_for_s > 0.0:
            self._end(call, Outcome.NOT_RUN, verdict.reason, verdict.fatal_for_s)
            return
        if choice.is_err():
            refused = choice.unwrap_err()
            self._end(call, Outcome.NOT_RUN, refused.reason, refused.retry_after_s)
            return
        self._submit(call, choice.unwrap(), query, now_s)

    def _submit(self, call: Call, replica: ReplicaView, query: RouteQuery, now_s: float) -> None:
        self._sequence += 1
        attempt = AttemptId(self._me.node, self._incarnation, self._sequence)
        expected_s = self._router.expected_first_token_s(query, replica, now_s)
        call.state = CallState.RUNNING
        call.attempts += 1
        call.tried_groups |= {replica.group}
        call.attempt = Attempt(
            attempt, replica.group, replica.leader, replica.incarnation, now_s, expected_s
        )
        self._by_attempt[attempt] = call
        self._router.record_sent(replica, str(attempt), self._sequence, query, now_s)
        self._outbox.count("attempt")
        request = call.request
        submit = Submit(
            attempt=attempt,
            request=request.request,
            version=self._view_sync.view.version,
            incarnation=replica.incarnation,
            group=replica.group,
            epoch=replica.epoch,
            organisation=request.organisation,
            target=request.target,
            priority=request.priority,
            expires_in_s=request.deadline_s - now_s,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            blocks=request.blocks,
            method=request.method,
            path=request.path,
            body=request.body,
        )
        self._outbox.send(replica.leader, submit)

    # Answers

    def on_frame(self, sender: Peer, frame: Frame, now_s: float) -> None:
        """Deliver the new part of an answer to the caller."""
        call = self._by_attempt.get(frame.attempt)
        if call is None or call.attempt is None or call.attempt.attempt != frame.attempt:
            self._outbox.count("frame.late")
            return
        attempt = call.attempt
        call.state = CallState.RUNNING
        attempt.last_received_s = now_s
        for new_frame in attempt.answer.add(frame):
            self._deliver(call, attempt, new_frame, now_s)
        if attempt.answer.is_complete:
            self._answered(call, attempt, now_s)

    def _deliver(self, call: Call, attempt: Attempt, frame: Frame, now_s: float) -> None:
        if frame.offset == 0:
            self._record_first_token(attempt, now_s)
        request = call.request.request
        self._outbox.add(
            Deliver(request, frame.payload, frame.tokens, frame.status, frame.content_type)
        )

    def record_passed(self, request: RequestId, passed: int) -> None:
        """Record how much of an answer the caller has received, and credit the agent."""
        call = self._calls.get(request)
        if call is None or call.attempt is None:
            return
        if passed - call.attempt.credited_bytes >= CREDIT_INTERVAL_BYTES:
            call.attempt.credited_bytes = passed
            self._outbox.send(call.attempt.peer, Credit(call.attempt.attempt, passed))

    def _record_first_token(self, attempt: Attempt, now_s: float) -> None:
        replica = self._router.replicas.get(attempt.group)
        if replica is not None:
            self._router.record_first_token(replica, attempt.expected_s, now_s - attempt.sent_s)

    def _answered(self, call: Call, attempt: Attempt, now_s: float) -> None:
        answer = attempt.answer
        assert answer.total is not None
        complete = invariants.answer_is_whole(answer.received, answer.total, str(attempt.attempt))
        self._router.record_answer(attempt.group, str(attempt.attempt))
        self._crashes.on_completion(call.causes, attempt.sent_s, now_s)
        outcome = Outcome.ANSWERED if complete else Outcome.UNKNOWN
        self._end(call, outcome, Reason.NONE if complete else Reason.ANSWER_SHORT, 0.0)

    def on_refusal(self, sender: Peer, refusal: Refusal, now_s: float) -> None:
        """Retry or end a call whose attempt the agent refused or ended."""
        self._attempt_ended(
            refusal.attempt, refusal.outcome, refusal.reason, refusal.retry_after_s, now_s
        )

    def on_settled(self, sender: Peer, settled: Settled, now_s: float) -> None:
        """Retry or end a call by the agent's reply on how its attempt ended."""
        self._attempt_ended(
            settled.attempt, settled.outcome, settled.reason, SHORT_RETRY_AFTER_S, now_s
        )

    def _attempt_ended(
        self,
        attempt: AttemptId,
        outcome: Outcome,
        reason: Reason,
        retry_after_s: float,
        now_s: float,
    ) -> None:
        call = self._by_attempt.get(attempt)
        if call is None or call.attempt is None or call.attempt.attempt != attempt:
            return
        call.may_have_run = call.may_have_run or outcome is Outcome.UNKNOWN
        if reason is Reason.TARGET_ENDED:
            target = InstanceId(call.attempt.peer.node)
            self._crashes.on_crash(call.causes, target, call.on_trial, now_s)
        if reason in (Reason.BACKOFF, Reason.TARGET_LIMIT):
            self._router.back_off(call.attempt.group, now_s + retry_after_s, reason)
        is_failure = reason not in _BENIGN_REASONS
        if self._router.record_failure(call.attempt.group, str(attempt), is_failure, now_s):
            self._outbox.count("ejection")
        if self._may_retry(call, outcome, reason):
            self._retry(call, reason, now_s)
            return
        self._end(call, outcome, reason, retry_after_s)

    def _may_retry(self, call: Call, outcome: Outcome, reason: Reason) -> bool:
        action = next_action(outcome, reason, call.request.repeatable, call.streamed)
        if action is not Action.RETRY:
            return False
        if self._limits.retry_budget(call.request.organisation).spend():
            return True
        self._outbox.count("retry.no_budget")
        return False

    def _retry(self, call: Call, reason: Reason, now_s: float) -> None:
        self._outbox.count(f"retry.{reason.value}")
        assert call.attempt is not None
        del self._by_attempt[call.attempt.attempt]
        call.attempt = None
        self._route(call, now_s)

    # Loss

    def on_link_down(self, node: NodeId, now_s: float) -> None:
        """Settle the attempts that were sent over a lost link."""
        for call in list(self._by_attempt.values()):
            if call.attempt is not None and call.attempt.peer.node == node:
                self._on_attempt_lost(call, call.attempt, now_s)

    def _on_attempt_lost(self, call: Call, attempt: Attempt, now_s: float) -> None:
        if call.request.repeatable and not call.streamed:
            self._outbox.send(attempt.peer, Cancel(attempt.attempt))
            self._attempt_ended(
                attempt.attempt, Outcome.UNKNOWN, Reason.LINK_LOST, SHORT_RETRY_AFTER_S, now_s
            )
            return
        if call.state is CallState.RUNNING:
            call.state = CallState.SETTLING
            attempt.lost_s = now_s
            self._send_withdraw(attempt, now_s)

    def _send_withdraw(self, attempt: Attempt, now_s: float) -> None:
        attempt.withdraw_sent_s = now_s
        message = Withdraw(attempt.attempt, attempt.incarnation, attempt.answer.received)
        self._outbox.send(attempt.peer, message)

    def cancel(self, request: RequestId) -> None:
        """End a request whose caller is gone."""
        call = self._calls.get(request)
        if call is not None:
            self._cancel_attempt(call)
            self._end(call, Outcome.UNKNOWN, Reason.CALLER_GONE, 0.0)

    def _cancel_attempt(self, call: Call) -> None:
        if call.attempt is not None:
            self._outbox.send(call.attempt.peer, Cancel(call.attempt.attempt))

    def tick(self, now_s: float) -> None:
        """End calls past their deadline, and run the periodic work of the others."""
        for call in list(self._calls.values()):
            if now_s >= call.request.deadline_s:
                self._expire(call)
            else:
                _TICK_HANDLERS[call.state](self, call, now_s)

    def _expire(self, call: Call) -> None:
        self._cancel_attempt(call)
        outcome = Outcome.UNKNOWN if call.attempt or call.claim else Outcome.NOT_RUN
        self._end(call, outcome, Reason.DEADLINE_PASSED, SHORT_RETRY_AFTER_S)

    def _tick_claiming(self, call: Call, now_s: float) -> None:
        if call.claim is not None and now_s >= call.claim.give_up_s:
            self._fail_claim(call, claim_failure_reason(call.claim, call.claim.final_state()))

    def _tick_running(self, call: Call, now_s: float) -> None:
        """Treat a leader that has been silent for too long as if its link were lost."""
        attempt = call.attempt
        replica = self._router.replicas.get(attempt.group) if attempt else None
        if attempt is None or replica is None or replica.legacy_percent:
            return
        last_received_s = max(attempt.last_received_s, attempt.sent_s, replica.reported_s)
        if now_s - last_received_s > self._timing.peer_silent_s:
            self._on_attempt_lost(call, attempt, now_s)

    def _tick_settling(self, call: Call, now_s: float) -> None:
        attempt = call.attempt
        assert attempt is not None
        if now_s - attempt.lost_s >= self._timing.settle_give_up_s:
            self._attempt_ended(
                attempt.attempt, Outcome.UNKNOWN, Reason.LINK_LOST, SHORT_RETRY_AFTER_S, now_s
            )
        elif now_s - attempt.withdraw_sent_s >= self._timing.settle_resend_s:
            self._send_withdraw(attempt, now_s)

    # End

    def _end(self, call: Call, outcome: Outcome, reason: Reason, retry_after_s: float) -> None:
        if outcome is Outcome.NOT_RUN and call.may_have_run:
            # The last attempt did not run, but an earlier one may have.
            outcome = Outcome.UNKNOWN
        self._keys.end(call, outcome)
        self._finish(call, outcome, reason, retry_after_s)

    def _finish(self, call: Call, outcome: Outcome, reason: Reason, retry_after_s: float) -> None:
        request = call.request
        if self._calls.pop(request.request, None) is None:
            return
        if call.attempt is not None:
            self._by_attempt.pop(call.attempt.attempt, None)
            replica = self._router.replicas.get(call.attempt.group)
            if replica is not None:
                replica.remove_attempt(str(call.attempt.attempt))
        self._limits.release(request.organisation, call.tokens)
        if outcome is not Outcome.ANSWERED:
            self._outbox.count(f"refusal.{reason.value}")
        self._outbox.count(f"outcome.{outcome.value}")
        self._outbox.add(Finish(request.request, outcome, reason, retry_after_s))


def _causes(request: Request) -> tuple[CauseId, ...]:
    """Return what about a request may crash its target.

    The blocks of its prompt are hashed with its model, so they need not be counted for each model.
    """
    path = f"{request.target}{request.path}"
    fingerprint = fingerprint_of(request.organisation, request.method, path, request.body)
    return causes_of(fingerprint, (PartId(f"{block:x}") for block in request.blocks))


_TICK_HANDLERS: dict[CallState, Callable[[Calls, Call, float], None]] = {
    CallState.CLAIMING: Calls._tick_claiming,
    CallState.RUNNING: Calls._tick_running,
    CallState.SETTLING: Calls._tick_settling,
}

__all__ = ["Calls"]
