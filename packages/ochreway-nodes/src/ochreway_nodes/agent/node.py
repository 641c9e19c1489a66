# SPDX-License-Identifier: Apache-2.0
"""The agent as a state machine: messages, ticks and target events in, effects out."""

from collections.abc import Callable
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from ochreway_core.attemptid import AttemptId
from ochreway_core.chunk import Chunk
from ochreway_core.effects import Effect, HandOver, OrderTarget
from ochreway_core.ids import Incarnation, Version
from ochreway_core.keyhome import CLOCK_SKEW_S, KeyHome
from ochreway_core.messages import (
    Cancel,
    Claim,
    ClaimEnd,
    ClaimReply,
    Credit,
    Dismiss,
    Follow,
    Grant,
    GrantRefusal,
    Heartbeat,
    LeaveNotice,
    Order,
    Probe,
    Release,
    Submit,
    ViewDelta,
    ViewRequest,
    ViewUpdate,
    Vote,
    Warm,
    Withdraw,
)
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.targetnotice import TargetNotice
from ochreway_core.timing import Timing
from ochreway_core.view import Snapshot, View
from ochreway_nodes.agent.loadreports import LoadReports
from ochreway_nodes.agent.membership import Membership
from ochreway_nodes.agent.serving import Serving
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.targetstate import TargetState
from ochreway_nodes.viewsync import ViewSync

STOP_LINGER_S = 1.0
"""How long a stopping agent keeps refusing requests sent before entries learned of the stop."""

Handler = Callable[[Peer, Any, float], None]


class AgentNode:
    """Combine group membership, serving and the record of idempotency keys."""

    def __init__(
        self,
        me: Peer,
        incarnation: Incarnation,
        timing: Timing,
        operator_keys: dict[str, Ed25519PublicKey],
        now_s: float,
        wall_s: float,
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self._started_wall_s = wall_s
        self._leaving_changed_s = now_s
        self._stopping = False
        self._leave_notice_until_s = now_s
        self._target_leaving = False
        self._target_notice_s = now_s
        self._timing = timing
        self._outbox = Outbox()
        self.view_sync = ViewSync(View(operator_keys, timing.key_memory_s), self._outbox)
        self.membership = Membership(
            me,
            incarnation,
            timing,
            self._outbox,
            self._on_epoch_changed,
            lambda: self.serving.drained,
            now_s,
        )
        self.serving = Serving(self.membership, lambda: self.version, self._outbox)
        self.loads = LoadReports(self.membership, self.serving, self._outbox)
        self.keys = KeyHome(timing.key_memory_s, now_s, wall_s)
        self._handlers: dict[type, Handler] = {
            Order: self.membership.on_order,
            Dismiss: self.membership.on_dismiss,
            Heartbeat: self.membership.on_heartbeat,
            Grant: self.membership.on_grant,
            GrantRefusal: self.membership.on_grant_refusal,
            Release: self.membership.on_release,
            Warm: self.membership.on_warm,
            Probe: self._on_probe,
            Follow: self.loads.on_follow,
            Submit: self.serving.on_submit,
            Withdraw: self.serving.on_withdraw,
            Cancel: self.serving.on_cancel,
            Credit: self.serving.on_credit,
            Claim: self._on_claim,
            ClaimEnd: self._on_claim_end,
            ViewRequest: self.view_sync.on_request,
            ViewUpdate: self._on_view_update,
            ViewDelta: self._on_view_delta,
            LeaveNotice: self._on_leave_notice,
        }

    @property
    def version(self) -> Version:
        """The configuration version in force here."""
        return self.view_sync.view.version

    def take(self) -> list[Effect]:
        """Return and clear the effects requested since the last call."""
        return self._outbox.take()

    def on_message(self, sender: Peer, version: Version, message: object, now_s: float) -> None:
        """Handle a message; ``version`` is the sender's configuration version."""
        self.view_sync.on_peer_version(sender, version, now_s)
        handler = self._handlers.get(type(message))
        if handler is None:
            self._outbox.count("message.unexpected")
            return
        handler(sender, message, now_s)

    def on_tick(self, now_s: float) -> None:
        """Run the periodic work of all parts."""
        # The platform's list lags, so a leave notice may be meant for an earlier process of this
        # instance. It therefore expires unless it is repeated.
        if not self._stopping and not self._target_leaving and now_s > self._leave_notice_until_s:
            self._set_leaving(False, now_s)
        self.membership.tick(now_s)
        self.serving.tick(now_s)
        self.loads.tick(now_s)
        self.keys.expire(now_s)

    def on_target_state(self, state: TargetState) -> None:
        """Set the state that the target reported."""
        self.membership.set_target_state(state)
        if self._target_leaving and not state.leaving and state.seen_s > self._target_notice_s:
            # A leaving target says so in every answer, so another process answered this one.
            self._target_leaving = False

    def on_target_notice(
        self, notice: TargetNotice, now_s: float, to_request: bool = False
    ) -> None:
        """Handle a notice in an answer's headers: a rate limit, a backoff or a leaving target.

        An answer to a request without a limit means that the target has none.
        """
        if to_request or notice.limit_per_s is not None:
            self.membership.set_target_limit(notice.limit_per_s)
        if notice.limit_per_s is not None:
            self._outbox.count("notice.limit")
        if notice.backoff_s:
            self.membership.back_off(notice.backoff_s, now_s)
            self.serving.tick(now_s)
            self.loads.tick(now_s)
        if notice.leaving:
            self._outbox.count("notice.leaving")
            self._target_leaving = True
            self._target_notice_s = now_s
            self._set_leaving(True, now_s)

    def may_poll(self, now_s: float) -> bool:
        """Return whether the target may be polled for its state now, and record the poll if so."""
        return not self.membership.backoff_s(now_s) and self.membership.limit.may_poll(now_s)

    @property
    def has_limit(self) -> bool:
        """Whether the target has a rate limit."""
        return self.membership.limit.limit_per_s is not None

    def on_target_process_state(self, ended: bool, now_s: float) -> None:
        """Handle a check whether the process of a target that must not be polled has ended."""
        self.membership.set_target_process_state(ended, now_s)

    def on_turned_away(self, attempt: AttemptId, now_s: float) -> None:
        """End an attempt that the target refused without beginning it."""
        self.serving.on_turned_away(attempt, now_s)

    def on_chunk(self, attempt: AttemptId, chunk: Chunk, now_s: float) -> None:
        """Handle a chunk of an answer."""
        self.serving.on_chunk(attempt, chunk, now_s)

    def on_hand_over_missed(self, attempt: AttemptId, now_s: float) -> None:
        """End an attempt that was not handed to the target in time."""
        self.serving.on_hand_over_missed(attempt, now_s)

    def on_target_failed(
        self, attempt: AttemptId, started: bool, now_s: float, ended: bool = False
    ) -> None:
        """End an attempt that the target failed.

        ``started`` means that the target may have begun the attempt, ``ended`` that its process
        ended while running it. If the target was unreachable or its process ended, the gate closes
        until the target answers again, so that no further requests are lost on it.
        """
        if ended or not started:
            self.membership.reset_target()
        self.serving.on_target_failed(attempt, started, now_s, ended)

    def may_hand_over(self, order: HandOver, now_s: float) -> bool:
        """Return whether a hand-over may still happen; checked right before it."""
        return self.serving.may_hand_over(order, now_s)

    def may_order(self, order: OrderTarget, now_s: float) -> bool:
        """Return whether an order may still be sent to the target; checked right before sending."""
        return now_s < order.valid_until_s and self.membership.is_order_valid(order.order, now_s)

    def leave(self, now_s: float) -> None:
        """Begin a planned stop: admit no new requests and finish the running ones."""
        self._stopping = True
        self._set_leaving(True, now_s)

    def _set_leaving(self, leaving: bool, now_s: float) -> None:
        if self.membership.leaving is leaving:
            return
        self.membership.leaving = leaving
        self._leaving_changed_s = now_s
        self.membership.send_heartbeat_soon()
        self._outbox.log("leaving" if leaving else "staying", node=self.me.node)
        self.serving.tick(now_s)
        self.loads.tick(now_s)

    def may_stop(self, now_s: float) -> bool:
        """Return whether stopping now would interrupt no request."""
        if now_s - self._leaving_changed_s < STOP_LINGER_S:
            return False
        if self.membership.leads:
            return self.serving.drained and self.membership.leader_may_stop(now_s)
        return self.membership.member_may_stop(now_s)

    def _on_epoch_changed(self, now_s: float) -> None:
        self.serving.on_epoch_changed(now_s)

    def _on_probe(self, sender: Peer, probe: Probe, now_s: float) -> None:
        self._outbox.send(sender, self.membership.report(now_s, self.serving.drained))

    def _on_leave_notice(self, sender: Peer, notice: LeaveNotice, now_s: float) -> None:
        if notice.node == self.me.node:
            self._leave_notice_until_s = now_s + self._timing.leave_notice_s
            self._set_leaving(True, now_s)

    def _on_view_update(self, sender: Peer, update: ViewUpdate, now_s: float) -> None:
        self._apply(update.snapshot, now_s)

    def _on_view_delta(self, sender: Peer, message: ViewDelta, now_s: float) -> None:
        snapshot = self.view_sync.snapshot_from(message)
        if snapshot is not None:
            self._apply(snapshot, now_s)

    def _apply(self, snapshot: Snapshot, now_s: float) -> None:
        if not self.view_sync.apply(snapshot, now_s):
            return
        first_wall_s = snapshot.roll.first_accepted_wall_s
        if first_wall_s > self._started_wall_s + CLOCK_SKEW_S:
            self.keys.end_forgetful_period()
        self.membership.send_heartbeat_soon()
        bundle = self.view_sync.view.bundle
        if bundle is not None:
            self.serving.queue.set_shares(
                (item.name, item.weight, item.guaranteed_percent) for item in bundle.organisation
            )

    def _on_claim(self, sender: Peer, claim: Claim, now_s: float) -> None:
        vote, outcome = Vote.STALE, Outcome.UNKNOWN
        if claim.version >= self.version:
            vote, outcome = self.keys.claim(
                claim.key, claim.request, claim.expires_in_s, claim.issued_wall_s, now_s
            )
        self._outbox.count(f"claim.{vote.value}")
        self._outbox.send(sender, ClaimReply(claim.key, claim.request, vote, outcome))

    def _on_claim_end(self, sender: Peer, message: ClaimEnd, now_s: float) -> None:
        self.keys.record_outcome(message.key, message.request, message.outcome)


__all__ = ["AgentNode"]
