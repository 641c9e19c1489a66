# SPDX-License-Identifier: Apache-2.0
"""An agent's part in a group: its grant, and its gate when it leads."""

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
ORDER_AGAIN_S = 1.0
ORDER_VALID_S = 0.5
TARGET_SEEN_S = 2.0
NEVER_S = -1.0e9
FAREWELL_AGAIN_S = 0.1
"""How often a leader that ends says so until its members have answered."""
FAREWELL_S = 3.0
"""How long a leader that ends waits for its members' answers at the most."""


@dataclass(slots=True)
class _Told:
    """Hold the last grant that the leader was sent."""

    leader: Peer
    grant: Grant


class Membership:
    """Follow the orders of the domain's controller, newest epoch and step first."""

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
        self._warm: TargetOrder | None = None
        self._warm_epoch = NO_EPOCH
        self.leaving = False
        self.released = False
        self._released_from: int | None = None
        self._released_s = now_s
        self._heard_leader_s = now_s
        self._outbox = outbox
        self._epoch_changed = epoch_changed
        self._drained = drained
        self._heartbeat_s = -1.0e9
        self._ordered_s = -1.0e9
        self._told: _Told | None = None

    def on_order(self, sender: Peer, order: Order, now_s: float) -> None:
        """Take an order from a controller."""
        self.adopt(order.row, now_s)

    def on_dismiss(self, sender: Peer, message: Dismiss, now_s: float) -> None:
        """Leave a group that the table no longer names this instance in."""
        self.grant.observe_epoch(message.counter)
        if self.row is not None and self.row.epoch <= message.counter:
            self._leave_group(now_s, Epoch(message.counter + 1))

    def adopt(self, row: GroupRow, now_s: float) -> None:
        """Take a newer row of this instance's group, or of the group it joins."""
        if row.epoch < self.grant.highest_epoch or not self._is_newer(row):
            return
        if not row.includes(self.me.node):
            return
        same = self.row is not None and self.row.fence == row.fence
        if same and self.gate is not None:
            self.gate.update_row(row)
        if not same:
            # Numbers of heartbeats go on, so that no late grant answers for a newer one.
            sequence = self.gate.sequence if self.gate is not None else 0
            self._leave_group(now_s, row.epoch)
            if row.leader.node == self.me.node:
                ttl_s = self.timing.leader_grant_ttl_s
                self.gate = LeaderGate(row, ttl_s, now_s, sequence)
            self.released = False
        self.row = row
        self._warm = None
        self._heard_leader_s = now_s
        self.grant.observe_epoch(row.epoch)
        self._heartbeat_s = -1.0e9
        self._outbox.log(
            "group_row_adopted", group=row.group, epoch=row.epoch, step=row.step, leads=self.leads
        )

    def _is_newer(self, row: GroupRow) -> bool:
        if self.row is None:
            return True
        return row.order_key > self.row.order_key

    def _leave_group(self, now_s: float, next_epoch: Epoch) -> None:
        former, self.row, gate, self.gate = self.row, None, self.gate, None
        self._told = None
        if former is None:
            return
        if gate is not None and former.epoch != next_epoch:
            for peer in self._others(former):
                self._outbox.send(peer, Release(former.group, former.epoch))
            self.grant.end_grant(former.epoch)
        self._epoch_changed(now_s)

    @property
    def leads(self) -> bool:
        """Tell whether this agent leads its group."""
        return self.gate is not None

    def on_heartbeat(self, sender: Peer, beat: Heartbeat, now_s: float) -> None:
        """Grant or refuse a leader."""
        if beat.row is not None:
            self.adopt(beat.row, now_s)
        if not self._is_of_row(beat):
            stale = beat.epoch < self.grant.highest_epoch
            reason = Reason.STALE_EPOCH if stale else Reason.NO_GROUP
            self._refuse(sender, beat, reason, 0.0)
            return
        self._heard_leader_s = now_s
        # Kept by a member that stays as well: it may be told to stop after its leader has gone.
        self.released = beat.released
        if self.leaving and beat.released:
            self.grant.end_grant(beat.epoch)
            self._refuse(sender, beat, Reason.LEAVING, 0.0)
            return
        held = self.grant.request(beat.epoch, now_s)
        if held.is_err():
            self._refuse(sender, beat, held.unwrap_err().reason, held.unwrap_err().wait_s)
            return
        grant = Grant(beat.group, beat.epoch, beat.sequence, self.ready(now_s), self.leaving)
        self._told = _Told(sender, grant)
        self._outbox.send(sender, grant)

    def _tell_readiness(self, now_s: float) -> None:
        """Tell the leader at once when the target became ready, or no longer is.

        The same heartbeat is answered again, so that the grant lasts no longer than before.
        """
        told = self._told
        if told is None or not self.grant.is_fresh(told.grant.epoch, now_s):
            return
        ready = self.ready(now_s)
        if ready is not told.grant.ready:
            told.grant = replace(told.grant, ready=ready)
            self._send_grant(told, now_s)

    def _send_grant(self, told: _Told, now_s: float) -> None:
        if told.leader.node == self.me.node:
            self.on_grant(self.me, told.grant, now_s)
        else:
            self._outbox.send(told.leader, told.grant)

    def _is_of_row(self, beat: Heartbeat) -> bool:
        row = self.row
        if row is None:
            return False
        known = (row.group, row.epoch, row.formation)
        return known == (beat.group, beat.epoch, beat.formation)

    def _refuse(self, sender: Peer, beat: Heartbeat, reason: Reason, wait_s: float) -> None:
        self._outbox.count(f"grant.refused.{reason.value}")
        row = self.row
        same = row is not None and (row.group, row.epoch) == (beat.group, beat.epoch)
        formation = row.formation if row is not None and same else 0
        refusal = GrantRefusal(beat.group, beat.epoch, beat.sequence, reason, wait_s, formation)
        self._outbox.send(sender, refusal)

    def on_grant(self, sender: Peer, grant: Grant, now_s: float) -> None:
        """Count a member's grant."""
        if self.gate is not None and grant.epoch == self.gate.row.epoch:
            self.gate.record_reply(sender.node, grant.sequence)
            self.gate.record_grant(sender.node, grant.sequence, grant.ready, grant.leaving)

    def on_grant_refusal(self, sender: Peer, refusal: GrantRefusal, now_s: float) -> None:
        """Send the row again to a member that does not know it."""
        if self.gate is None or refusal.epoch != self.gate.row.epoch:
            return
        self.gate.record_reply(sender.node, refusal.sequence)
        self.gate.mark_row_unknown(sender.node)
        self._beat_after(refusal.wait_s, now_s)
        if refusal.formation > self.gate.row.formation:
            # This leader restarted and forgot a formation that its members still know.
            formation = refusal.formation + 1
            self.adopt(replace(self.gate.row, formation=formation, step=0), now_s)

    def on_release(self, sender: Peer, release: Release, now_s: float) -> None:
        """Take back the grant that a leader returns."""
        self.grant.end_grant(release.epoch)

    def report(self, now_s: float, drained: bool) -> Report:
        """Describe this agent to a controller."""
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
        """Return why this agent takes no work, or ``NONE``."""
        if self.gate is None:
            return Reason.NO_GROUP
        if self.leaving:
            return Reason.LEAVING
        closed = self.gate.closed_reason(now_s)
        if closed is Reason.NONE and self.backoff_s(now_s) > 0.0:
            return Reason.BACKOFF
        return closed

    def turns_away(self, now_s: float) -> Reason:
        """Return why a new request is not taken: closed, or no more than the limit, or ``NONE``.

        A group whose target has had its limit's worth is whole; it only takes nothing new.
        """
        closed = self.closed_because(now_s)
        if closed is Reason.NONE and self.limit.wait_s(now_s) > 0.0:
            return Reason.TARGET_LIMIT
        return closed

    def reopens_in_s(self, now_s: float) -> float:
        """Return how soon requests are taken again, as far as the target has a say in it."""
        return max(self.backoff_s(now_s), self.limit.wait_s(now_s))

    def name_limit(self, limit_per_s: float | None) -> None:
        """Take the limit that the target names, or that it has none any more."""
        before = self.limit.limit_per_s
        if self.limit.name(limit_per_s):
            self._outbox.log("target_limit", limit_per_s=limit_per_s or "", before=before or "")

    def back_off(self, for_s: float, now_s: float) -> None:
        """Give the target nothing for a while, as it asked: no request, question or order.

        A leader's gate is closed as long, so that callers go to other groups or are told when
        to come back, instead of being turned away here one after the other.
        """
        if not self.backoff_s(now_s):
            self._outbox.log("target_backoff", asked_s=for_s)
        self._outbox.count("notice.backoff")
        self._backoff_until_s = max(self._backoff_until_s, now_s + for_s)

    def backoff_s(self, now_s: float) -> float:
        """Return for how much longer the target is to get nothing."""
        return max(0.0, self._backoff_until_s - now_s)

    def target_stands(self, ended: bool, now_s: float) -> None:
        """Take what is known of a target that may not be asked: its process stands, or has ended.

        One that stands is taken to have what it had; one that ended has forgotten it.
        """
        if ended:
            self.target_gone()
        elif self.target.seen_s > NEVER_S:
            self.target = replace(self.target, seen_s=now_s)

    def target_gone(self) -> None:
        """Take it that the target's process has ended: it has forgotten what it had."""
        self._outbox.count("target.gone")
        self.target = TargetState()

    def target_seen(self, state: TargetState) -> None:
        """Take in what the target says it has loaded."""
        if self.target.seen_s <= NEVER_S:
            # What it was ordered while nobody heard of it was in vain.
            self._ordered_s = NEVER_S
        self.target = state

    def leader_may_go(self, now_s: float) -> bool:
        """Tell whether all members know that this leader ends, or have been told for long enough.

        A member that did not hear of it would wait until its leader has been silent for long.
        """
        if self.gate is None or self._released_from is None:
            return False
        told_long = now_s - self._released_s >= FAREWELL_S
        return told_long or self.gate.all_answered(self._released_from, now_s, self.me.node)

    def may_go(self, now_s: float) -> bool:
        """Tell whether this member's end would cut nothing that its group has in flight."""
        silent_s = now_s - self._heard_leader_s
        if self.row is None or not self.row.has_member(self.me.node):
            return True
        return self.released or silent_s > self.timing.leader_silent_s

    def ready(self, now_s: float) -> bool:
        """Tell whether the target has loaded what the row says, as of late."""
        row, target = self.row, self.target
        if row is None or now_s - target.seen_s > TARGET_SEEN_S:
            return False
        if row.kind is TargetKind.SERVICE:
            return target.loaded
        if not target.loaded or target.artifact != row.artifact:
            return False
        return target.epoch == row.fence or not row.has_member(self.me.node)

    def _wanted(self) -> TargetOrder | None:
        """Return what the target is to have loaded, if this agent has a say in it."""
        if self.row is None:
            return self._warm
        if self.row.kind is TargetKind.SERVICE:
            return None
        if not self.row.has_member(self.me.node):
            return TargetOrder(self.row.fence, self.row.artifact)
        return order_for(self.row)

    def order_stands(self, order: TargetOrder, now_s: float) -> bool:
        """Tell, right before the target is ordered, whether the order still stands."""
        epoch = self.row.epoch if self.row is not None else self._warm_epoch
        # One that has nothing serves no group that a former grant may still stand for.
        may_move = self.grant.can_grant(epoch, now_s) or self._target_is_empty(now_s)
        return self._wanted() == order and may_move and not self.backoff_s(now_s)

    def _target_is_empty(self, now_s: float) -> bool:
        """Tell whether the target has said of late that it has taken no order in its life."""
        target = self.target
        seen = now_s - target.seen_s <= TARGET_SEEN_S
        return seen and target.epoch == NO_EPOCH and not target.artifact

    def on_warm(self, sender: Peer, message: Warm, now_s: float) -> None:
        """Load an artifact while in no group."""
        if message.counter >= self.grant.highest_epoch:
            self.grant.observe_epoch(message.counter)
            self._warm_epoch = message.counter
            self._warm = TargetOrder(fence_of(message.counter), message.artifact)

    def tick(self, now_s: float) -> None:
        """Send heartbeats and order the target when due."""
        if self.gate is not None and now_s - self._heartbeat_s >= self._beat_each_s():
            self._heartbeat_s = now_s
            self._beat(self.gate, now_s)
        self._tell_readiness(now_s)
        self._order_target(now_s)
        if self.gate is not None:
            self._put_standby_in(self.gate, now_s)

    def _beat_each_s(self) -> float:
        return self.timing.heartbeat_s if self._released_from is None else FAREWELL_AGAIN_S

    def _put_standby_in(self, gate: LeaderGate, now_s: float) -> None:
        """Let standbys take the places of lost members, for which the table is not needed."""
        row = gate.row
        lost = gate.lost_members(now_s, self.timing.standby_after_s)
        able = gate.available_standbys(now_s)
        if not lost or len(able) < len(lost) or row.draining:
            return
        places = dict(zip(lost, able, strict=False))
        members = tuple(places.get(peer, peer) for peer in row.members)
        left = tuple(peer for peer in row.standbys if peer not in members)
        self._outbox.count("standby.taken", len(lost))
        formation = row.formation + 1
        reformed = replace(
            row, members=members, standbys=left + tuple(lost), formation=formation, step=0
        )
        self.adopt(reformed, now_s)

    def beat_soon(self) -> None:
        """Send heartbeats at the next tick, so that members hear of a new version."""
        self._heartbeat_s = -1.0e9

    def _beat_after(self, wait_s: float, now_s: float) -> None:
        """Send the next heartbeats when a grant that was refused can be given, if that is sooner.

        Else a group whose member started again stays closed for up to a heartbeat longer.
        """
        if wait_s > 0.0:
            sooner_s = now_s + wait_s - self._beat_each_s()
            self._heartbeat_s = min(self._heartbeat_s, sooner_s)

    def _beat(self, gate: LeaderGate, now_s: float) -> None:
        sequence = gate.next_heartbeat(now_s)
        row = gate.row
        held = self.grant.request(row.epoch, now_s)
        if held.is_ok():
            grant = Grant(row.group, row.epoch, sequence, self.ready(now_s), self.leaving)
            self._told = _Told(self.me, grant)
            self.on_grant(self.me, grant, now_s)
        else:
            self._beat_after(held.unwrap_err().wait_s, now_s)
        # The gate stays closed by a leaving member's last grant, or by this agent's own end, so
        # once drained the member may go.
        drained = self._drained()
        self._note_farewell(drained and self.leaving, sequence, now_s)
        for peer in self._others(row):
            riding = None if gate.knows_row(peer.node) else row
            released = drained and (self.leaving or gate.is_leaving(peer.node))
            beat = Heartbeat(row.group, row.epoch, row.formation, sequence, released, riding)
            self._outbox.send(peer, beat)

    def _note_farewell(self, ends: bool, sequence: int, now_s: float) -> None:
        """Note with which heartbeat the members are first told that this leader ends."""
        if not ends:
            self._released_from = None
        elif self._released_from is None:
            self._released_from, self._released_s = sequence, now_s

    def _others(self, row: GroupRow) -> list[Peer]:
        return [peer for peer in row.all_peers if peer.node != self.me.node]

    def _order_target(self, now_s: float) -> None:
        order = self._wanted()
        if order is None or self._has(order) or now_s - self._ordered_s < ORDER_AGAIN_S:
            return
        if self.order_stands(order, now_s):
            self._ordered_s = now_s
            self._outbox.add(OrderTarget(order, now_s + ORDER_VALID_S))

    def _has(self, order: TargetOrder) -> bool:
        same = self.target.artifact == order.artifact
        return same and (not order.group or self.target.epoch == order.epoch)


__all__ = ["Membership"]
