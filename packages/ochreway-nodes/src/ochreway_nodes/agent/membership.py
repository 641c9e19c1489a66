# SPDX-License-Identifier: Apache-2.0
"""An agent's membership of a group: its grant, and the admission gate if it leads."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ochreway_core.effects import OrderTarget
from ochreway_core.gate import LeaderGate
from ochreway_core.grant import MemberGrant
from ochreway_core.ids import NO_EPOCH, Epoch, GroupId, Incarnation
from ochreway_core.messages import (
    Dismiss,
    Grant,
    GrantRefusal,
    Heartbeat,
    Order,
    Release,
    Report,
    Warm,
)
from ochreway_core.peer import Peer
from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow, fence_of
from ochreway_core.targetkind import TargetKind
from ochreway_core.targetorder import TargetOrder, order_for
from ochreway_core.timing import Timing
from ochreway_nodes.agent.limitgate import LimitGate
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.targetstate import TargetState

NO_GROUP_ID = GroupId("")
ORDER_RETRY_DELAY_S = 1.0
"""Minimum interval between orders to the target."""
ORDER_TIMEOUT_S = 0.5
"""How long an order may be delivered after it was issued."""
TARGET_STATE_MAX_AGE_S = 2.0
"""Age up to which the target's last state counts as current."""
NEVER_S = -1.0e9
SHUTDOWN_NOTICE_INTERVAL_S = 0.1
"""Heartbeat interval of a leader that announces its shutdown to its members."""
SHUTDOWN_NOTICE_TIMEOUT_S = 3.0
"""Bound on how long a leader that shuts down waits for its members to acknowledge it."""


@dataclass(slots=True)
class _SentGrant:
    """The last grant sent, and the leader that it was sent to."""

    leader: Peer
    grant: Grant


class Membership:
    """Follow the orders of the domain's controller; rows older than the current one are ignored."""

    def __init__(
        self,
        me: Peer,
        incarnation: Incarnation,
        timing: Timing,
        outbox: Outbox,
        epoch_changed: Callable[[float], None],
        drained: Callable[[], bool],
        now_s: float,
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.timing = timing
        self.row: GroupRow | None = None
        self.gate: LeaderGate | None = None
        self.grant = MemberGrant(timing.grant_ttl_s, now_s)
        self.target = TargetState()
        self._backoff_until_s = now_s
        self.limit = LimitGate()
        self._warm_order: TargetOrder | None = None
        self._warm_epoch = NO_EPOCH
        self.leaving = False
        self.released = False
        self._shutdown_sequence: int | None = None
        self._shutdown_announced_s = now_s
        self._last_leader_heartbeat_s = now_s
        self._outbox = outbox
        self._epoch_changed = epoch_changed
        self._drained = drained
        self._last_heartbeat_s = -1.0e9
        self._last_order_s = -1.0e9
        self._last_grant: _SentGrant | None = None

    def on_order(self, sender: Peer, order: Order, now_s: float) -> None:
        """Adopt the row in a controller's order."""
        self.adopt(order.row, now_s)

    def on_dismiss(self, sender: Peer, message: Dismiss, now_s: float) -> None:
        """Leave the group, as the table does not list this instance in any group."""
        self.grant.observe_epoch(message.counter)
        if self.row is not None and self.row.epoch <= message.counter:
            self._leave_group(now_s, Epoch(message.counter + 1))

    def adopt(self, row: GroupRow, now_s: float) -> None:
        """Adopt a newer row of this instance's group or of the group it joins."""
        if row.epoch < self.grant.highest_epoch or not self._is_newer(row):
            return
        if not row.includes(self.me.node):
            return
        same_formation = self.row is not None and self.row.fence == row.fence
        if same_formation and self.gate is not None:
            self.gate.update_row(row)
        if not same_formation:
            # Heartbeat numbers continue, so that a late grant cannot match a newer heartbeat.
            sequence = self.gate.sequence if self.gate is not None else 0
            self._leave_group(now_s, row.epoch)
            if row.leader.node == self.me.node:
                ttl_s = self.timing.leader_grant_ttl_s
                self.gate = LeaderGate(row, ttl_s, now_s, sequence)
            self.released = False
        self.row = row
        self._warm_order = None
        self._last_leader_heartbeat_s = now_s
        self.grant.observe_epoch(row.epoch)
        self._last_heartbeat_s = -1.0e9
        self._outbox.log(
            "group_row_adopted", group=row.group, epoch=row.epoch, step=row.step, leads=self.leads
        )

    def _is_newer(self, row: GroupRow) -> bool:
        if self.row is None:
            return True
        return row.order_key > self.row.order_key

    def _leave_group(self, now_s: float, next_epoch: Epoch) -> None:
        former, self.row, gate, self.gate = self.row, None, self.gate, None
        self._last_grant = None
        if former is None:
            return
        if gate is not None and former.epoch != next_epoch:
            for peer in self._other_peers(former):
                self._outbox.send(peer, Release(former.group, former.epoch))
            self.grant.end_grant(former.epoch)
        self._epoch_changed(now_s)

    @property
    def leads(self) -> bool:
        """Whether this agent leads its group."""
        return self.gate is not None

    def on_heartbeat(self, sender: Peer, beat: Heartbeat, now_s: float) -> None:
        """Answer a leader's heartbeat with a grant or a refusal."""
        if beat.row is not None:
            self.adopt(beat.row, now_s)
        if not self._matches_row(beat):
            stale = beat.epoch < self.grant.highest_epoch
            reason = Reason.STALE_EPOCH if stale else Reason.NO_GROUP
            self._refuse(sender, beat, reason, 0.0)
            return
        self._last_leader_heartbeat_s = now_s
        # Recorded by a staying member too: it may be asked to stop after its leader has stopped.
        self.released = beat.released
        if self.leaving and beat.released:
            self.grant.end_grant(beat.epoch)
            self._refuse(sender, beat, Reason.LEAVING, 0.0)
            return
        grant_result = self.grant.request(beat.epoch, now_s)
        if grant_result.is_err():
            self._refuse(
                sender, beat, grant_result.unwrap_err().reason, grant_result.unwrap_err().wait_s
            )
            return
        grant = Grant(beat.group, beat.epoch, beat.sequence, self.ready(now_s), self.leaving)
        self._last_grant = _SentGrant(sender, grant)
        self._outbox.send(sender, grant)

    def _send_readiness_change(self, now_s: float) -> None:
        """Send the leader a new grant as soon as the target's readiness changes.

        The grant answers the same heartbeat as before, so it does not last longer.
        """
        sent = self._last_grant
        if sent is None or not self.grant.is_fresh(sent.grant.epoch, now_s):
            return
        ready = self.ready(now_s)
        if ready is not sent.grant.ready:
            sent.grant = replace(sent.grant, ready=ready)
            self._send_grant(sent, now_s)

    def _send_grant(self, sent: _SentGrant, now_s: float) -> None:
        if sent.leader.node == self.me.node:
            self.on_grant(self.me, sent.grant, now_s)
        else:
            self._outbox.send(sent.leader, sent.grant)

    def _matches_row(self, beat: Heartbeat) -> bool:
        row = self.row
        if row is None:
            return False
        known = (row.group, row.epoch, row.formation)
        return known == (beat.group, beat.epoch, beat.formation)

    def _refuse(self, sender: Peer, beat: Heartbeat, reason: Reason, wait_s: float) -> None:
        self._outbox.count(f"grant.refused.{reason.value}")
        row = self.row
        same_group = row is not None and (row.group, row.epoch) == (beat.group, beat.epoch)
        formation = row.formation if row is not None and same_group else 0
        refusal = GrantRefusal(beat.group, beat.epoch, beat.sequence, reason, wait_s, formation)
        self._outbox.send(sender, refusal)

    def on_grant(self, sender: Peer, grant: Grant, now_s: float) -> None:
        """Record a member's grant."""
        if self.gate is not None and grant.epoch == self.gate.row.epoch:
            self.gate.record_reply(sender.node, grant.sequence)
            self.gate.record_grant(sender.node, grant.sequence, grant.ready, grant.leaving)

    def on_grant_refusal(self, sender: Peer, refusal: GrantRefusal, now_s: float) -> None:
        """Attach the row to the next heartbeat, as the member may not know it."""
        if self.gate is None or refusal.epoch != self.gate.row.epoch:
            return
        self.gate.record_reply(sender.node, refusal.sequence)
        self.gate.mark_row_unknown(sender.node)
        self._schedule_heartbeat(refusal.wait_s, now_s)
        if refusal.formation > self.gate.row.formation:
            # This leader restarted and lost a formation that its members still know.
            formation = refusal.formation + 1
            self.adopt(replace(self.gate.row, formation=formation, step=0), now_s)

    def on_release(self, sender: Peer, release: Release, now_s: float) -> None:
        """End the grant that a leader returns."""
        self.grant.end_grant(release.epoch)

    def report(self, now_s: float, drained: bool) -> Report:
        """Return this agent's report to a controller."""
        row = self.row
        epoch = row.epoch if row else self.grant.highest_epoch
        return Report(
            node=self.me.node,
            incarnation=self.incarnation,
            group=row.group if row else NO_GROUP_ID,
            epoch=epoch,
            step=row.step if row else 0,
            ready=self.ready(now_s),
            leaving=self.leaving,
            granting=row is not None and self.grant.is_fresh(row.epoch, now_s),
            artifact=self.target.artifact if self.target.loaded else "",
            gate=self.closed_because(now_s),
            drained=drained,
            missing=self.gate.missing(now_s) if self.gate else (),
            reformed=row if row is not None and self.gate is not None and row.formation else None,
        )

    def closed_because(self, now_s: float) -> Reason:
        """Return why this agent's gate is closed, or ``NONE`` if it is open."""
        if self.gate is None:
            return Reason.NO_GROUP
        if self.leaving:
            return Reason.LEAVING
        closed = self.gate.closed_because(now_s)
        if closed is Reason.NONE and self.backoff_s(now_s) > 0.0:
            return Reason.BACKOFF
        return closed

    def refusal_reason(self, now_s: float) -> Reason:
        """Return why a new request is refused, or ``NONE``: a closed gate or the target's limit.

        A group whose target has reached its limit is complete; it only admits no new requests.
        """
        closed = self.closed_because(now_s)
        if closed is Reason.NONE and self.limit.wait_s(now_s) > 0.0:
            return Reason.TARGET_LIMIT
        return closed

    def reopens_in_s(self, now_s: float) -> float:
        """Return the time until the target's backoff and limit allow requests again."""
        return max(self.backoff_s(now_s), self.limit.wait_s(now_s))

    def set_target_limit(self, limit_per_s: float | None) -> None:
        """Set the target's rate limit; None for no limit."""
        before = self.limit.limit_per_s
        if self.limit.set_limit(limit_per_s):
            self._outbox.log("target_limit", limit_per_s=limit_per_s or "", before=before or "")

    def back_off(self, duration_s: float, now_s: float) -> None:
        """Send the target no request, poll or order for the time that it asked for.

        A leader's gate is closed meanwhile. Callers then use other groups or learn when to retry,
        instead of being refused here one after the other.
        """
        if not self.backoff_s(now_s):
            self._outbox.log("target_backoff", asked_s=duration_s)
        self._outbox.count("notice.backoff")
        self._backoff_until_s = max(self._backoff_until_s, now_s + duration_s)

    def backoff_s(self, now_s: float) -> float:
        """Return the remaining time for which nothing may be sent to the target."""
        return max(0.0, self._backoff_until_s - now_s)

    def set_target_process_state(self, ended: bool, now_s: float) -> None:
        """Update the state of a target that must not be polled, by whether its process has ended.

        A process that still runs is assumed to have kept its state; one that ended has lost it.
        """
        if ended:
            self.reset_target()
        elif self.target.seen_s > NEVER_S:
            self.target = replace(self.target, seen_s=now_s)

    def reset_target(self) -> None:
        """Reset the target's state, as its process has ended and lost it."""
        self._outbox.count("target.gone")
        self.target = TargetState()

    def set_target_state(self, state: TargetState) -> None:
        """Set the state that the target reported."""
        if self.target.seen_s <= NEVER_S:
            # Orders issued while the target's state was unknown had no effect, so send at once.
            self._last_order_s = NEVER_S
        self.target = state

    def leader_may_stop(self, now_s: float) -> bool:
        """Return whether all members acknowledged this leader's shutdown, or the wait timed out.

        A member that missed the notice could itself stop only once its leader has been silent for
        ``leader_silent_s``.
        """
        if self.gate is None or self._shutdown_sequence is None:
            return False
        waited_long = now_s - self._shutdown_announced_s >= SHUTDOWN_NOTICE_TIMEOUT_S
        return waited_long or self.gate.all_answered(self._shutdown_sequence, now_s, self.me.node)

    def member_may_stop(self, now_s: float) -> bool:
        """Return whether stopping this member would interrupt no request of its group."""
        silent_s = now_s - self._last_leader_heartbeat_s
        if self.row is None or not self.row.has_member(self.me.node):
            return True
        return self.released or silent_s > self.timing.leader_silent_s

    def ready(self, now_s: float) -> bool:
        """Return whether the target recently reported to have loaded what the row asks for."""
        row, target = self.row, self.target
        if row is None or now_s - target.seen_s > TARGET_STATE_MAX_AGE_S:
            return False
        if row.kind is TargetKind.SERVICE:
            return target.loaded
        if not target.loaded or target.artifact != row.artifact:
            return False
        return target.epoch == row.fence or not row.has_member(self.me.node)

    def _desired_order(self) -> TargetOrder | None:
        """Return the order for what the target should have loaded, if this agent controls that."""
        if self.row is None:
            return self._warm_order
        if self.row.kind is TargetKind.SERVICE:
            return None
        if not self.row.has_member(self.me.node):
            return TargetOrder(self.row.fence, self.row.artifact)
        return order_for(self.row)

    def is_order_valid(self, order: TargetOrder, now_s: float) -> bool:
        """Return whether an order may still be sent to the target; checked right before sending."""
        epoch = self.row.epoch if self.row is not None else self._warm_epoch
        # An empty target serves no group, so an unexpired grant to another leader is no obstacle.
        may_move = self.grant.can_grant(epoch, now_s) or self._target_is_empty(now_s)
        return self._desired_order() == order and may_move and not self.backoff_s(now_s)

    def _target_is_empty(self, now_s: float) -> bool:
        """Return whether the target recently reported that it has not taken any order."""
        target = self.target
        seen = now_s - target.seen_s <= TARGET_STATE_MAX_AGE_S
        return seen and target.epoch == NO_EPOCH and not target.artifact

    def on_warm(self, sender: Peer, message: Warm, now_s: float) -> None:
        """Load an artifact while this instance belongs to no group."""
        if message.counter >= self.grant.highest_epoch:
            self.grant.observe_epoch(message.counter)
            self._warm_epoch = message.counter
            self._warm_order = TargetOrder(fence_of(message.counter), message.artifact)

    def tick(self, now_s: float) -> None:
        """Send heartbeats, readiness changes and target orders that are due."""
        if self.gate is not None and now_s - self._last_heartbeat_s >= self._heartbeat_interval_s():
            self._last_heartbeat_s = now_s
            self._send_heartbeats(self.gate, now_s)
        self._send_readiness_change(now_s)
        self._order_target(now_s)
        if self.gate is not None:
            self._replace_lost_members(self.gate, now_s)

    def _heartbeat_interval_s(self) -> float:
        return (
            self.timing.heartbeat_s
            if self._shutdown_sequence is None
            else SHUTDOWN_NOTICE_INTERVAL_S
        )

    def _replace_lost_members(self, gate: LeaderGate, now_s: float) -> None:
        """Replace lost members by standbys, which does not need the table."""
        row = gate.row
        lost = gate.lost_members(now_s, self.timing.standby_after_s)
        available = gate.available_standbys(now_s)
        if not lost or len(available) < len(lost) or row.draining:
            return
        replacements = dict(zip(lost, available, strict=False))
        members = tuple(replacements.get(peer, peer) for peer in row.members)
        unused = tuple(peer for peer in row.standbys if peer not in members)
        self._outbox.count("standby.taken", len(lost))
        formation = row.formation + 1
        reformed = replace(
            row, members=members, standbys=unused + tuple(lost), formation=formation, step=0
        )
        self.adopt(reformed, now_s)

    def send_heartbeat_soon(self) -> None:
        """Send heartbeats at the next tick, so that members learn of a change at once."""
        self._last_heartbeat_s = -1.0e9

    def _schedule_heartbeat(self, wait_s: float, now_s: float) -> None:
        """Send the next heartbeats once a refused grant can be given, if that is earlier.

        Otherwise a group with a restarted member stays closed for up to one heartbeat longer.
        """
        if wait_s > 0.0:
            earlier_s = now_s + wait_s - self._heartbeat_interval_s()
            self._last_heartbeat_s = min(self._last_heartbeat_s, earlier_s)

    def _send_heartbeats(self, gate: LeaderGate, now_s: float) -> None:
        sequence = gate.next_heartbeat(now_s)
        row = gate.row
        grant_result = self.grant.request(row.epoch, now_s)
        if grant_result.is_ok():
            grant = Grant(row.group, row.epoch, sequence, self.ready(now_s), self.leaving)
            self._last_grant = _SentGrant(self.me, grant)
            self.on_grant(self.me, grant, now_s)
        else:
            self._schedule_heartbeat(grant_result.unwrap_err().wait_s, now_s)
        # A leaving member's last grant, or this agent's own shutdown, keeps the gate closed. Once
        # drained, the member may therefore be released.
        drained = self._drained()
        self._track_shutdown_notice(drained and self.leaving, sequence, now_s)
        for peer in self._other_peers(row):
            attached_row = None if gate.knows_row(peer.node) else row
            released = drained and (self.leaving or gate.is_leaving(peer.node))
            beat = Heartbeat(row.group, row.epoch, row.formation, sequence, released, attached_row)
            self._outbox.send(peer, beat)

    def _track_shutdown_notice(self, stopping: bool, sequence: int, now_s: float) -> None:
        """Record the first heartbeat that announces this leader's shutdown to the members."""
        if not stopping:
            self._shutdown_sequence = None
        elif self._shutdown_sequence is None:
            self._shutdown_sequence, self._shutdown_announced_s = sequence, now_s

    def _other_peers(self, row: GroupRow) -> list[Peer]:
        return [peer for peer in row.all_peers if peer.node != self.me.node]

    def _order_target(self, now_s: float) -> None:
        order = self._desired_order()
        if (
            order is None
            or self._has_loaded(order)
            or now_s - self._last_order_s < ORDER_RETRY_DELAY_S
        ):
            return
        if self.is_order_valid(order, now_s):
            self._last_order_s = now_s
            self._outbox.add(OrderTarget(order, now_s + ORDER_TIMEOUT_S))

    def _has_loaded(self, order: TargetOrder) -> bool:
        same_artifact = self.target.artifact == order.artifact
        return same_artifact and (not order.group or self.target.epoch == order.epoch)


__all__ = ["Membership"]
