# SPDX-License-Identifier: Apache-2.0
"""How an entry follows the table: versions, drained halls, leases and groups."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from ochreway_core.backoff import Backoff
from ochreway_core.codec import decode
from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.effects import FetchBody, TableRead, TableUse
from ochreway_core.ids import BundleHash, DomainId, Epoch, NodeId, ScopeId
from ochreway_core.messages import (
    FollowView,
    GroupsUpdate,
    HallsUpdate,
    ListingUpdate,
    ViewDelta,
    ViewNotice,
    ViewUpdate,
)
from ochreway_core.peer import Peer
from ochreway_core.rows import (
    GroupRow,
    HallsRow,
    LeaseRow,
    RollRow,
    approval_key,
    group_key,
    halls_key,
    head_key,
    lease_key,
)
from ochreway_core.signoff import Approval
from ochreway_core.table import ReadReply, Row
from ochreway_core.timing import Timing
from ochreway_core.view import Snapshot, make_snapshot
from ochreway_nodes.drainstate import DrainState
from ochreway_nodes.entry.domaingroups import (
    DomainGroups,
    apply_groups_update,
    counters_digest,
    groups_update,
)
from ochreway_nodes.entry.listing import Listing, apply_listing_update, difference, digest_of
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.viewsync import ViewSync

T = TypeVar("T")

BACKOFF_BASE_S = 0.5
FOLLOW_INTERVAL_S = 2.0
"""Interval at which an entry sends ``FollowView`` to its parents."""
FOLLOWER_TIMEOUT_S = 7.0
"""How long an entry stays a follower after its last ``FollowView``."""


@dataclass(slots=True)
class _Follower:
    """A following entry, and what it has been sent."""

    peer: Peer
    expires_s: float
    sent_groups: dict[DomainId, DomainGroups]
    listing: Listing
    listing_digest: int = 0


class ViewKeeper:
    """Poll the table if this entry is one of its hall's readers, else follow other entries."""

    def __init__(
        self,
        scope: ScopeId,
        timing: Timing,
        view_sync: ViewSync,
        drains: DrainState,
        outbox: Outbox,
        rng: random.Random,
        next_call: Callable[[], int],
    ) -> None:
        self.domains: dict[DomainId, DomainGroups] = {}
        self.leases: dict[DomainId, LeaseRow] = {}
        self.parents: list[Peer] = []
        self.reads_table = True
        self._scope = scope
        self._timing = timing
        self._view_sync = view_sync
        self._drains = drains
        self._outbox = outbox
        self._backoff = Backoff(BACKOFF_BASE_S, timing.backoff_max_s, rng)
        self._next_call = next_call
        self._call: int | None = None
        self._read_sent_s = -1.0e9
        self._not_before_s = -1.0e9
        self._last_poll_s = -1.0e9
        self._last_lease_poll_s = -1.0e9
        self._last_follow_s = -1.0e9
        self._pending_roll: RollRow | None = None
        self._pending_body: bytes | None = None
        self._pending_approvals: tuple[Approval, ...] = ()
        self._failing = False
        self._followers: dict[NodeId, _Follower] = {}
        self._changed = False
        self._requested_domains: frozenset[DomainId] = frozenset()
        self.listing: Listing = {}
        self._listing_digest = 0

    @property
    def reads_list(self) -> bool:
        """Whether this entry reads the platform's list itself."""
        return self.reads_table or not self.listing

    def set_listing(self, listing: Listing) -> bool:
        """Set the platform's list; return whether it differs from the known one."""
        if listing == self.listing:
            return False
        self.listing = listing
        self._listing_digest = digest_of(listing)
        return True

    def on_listing_update(self, update: ListingUpdate) -> bool:
        """Apply another entry's update of the list; return whether the list changed."""
        return not self.reads_table and self.set_listing(apply_listing_update(self.listing, update))

    def consume_changed(self) -> bool:
        """Return whether groups, version or drained halls changed since the last call."""
        changed, self._changed = self._changed, False
        return changed

    def groups(self) -> list[GroupRow]:
        """Return every known group."""
        return [row for domain_groups in self.domains.values() for row in domain_groups.groups]

    # Table reads

    def tick(self, now_s: float) -> None:
        """Poll the table, follow the parents and update the followers as due."""
        if self._call is not None and now_s - self._read_sent_s > self._timing.table_timeout_s:
            self._on_read_failed(now_s)
        if self._may_poll(now_s):
            self._poll(now_s)
        if now_s - self._last_follow_s >= FOLLOW_INTERVAL_S and (
            self._failing or not self.reads_table
        ):
            self._last_follow_s = now_s
            for parent in self.parents:
                self._outbox.send(parent, FollowView(self._digest(), self._listing_digest))
        self._update_followers(now_s)

    def _poll(self, now_s: float) -> None:
        """Read head and halls, and less often the leases, whose counters show group changes."""
        prefixes = [head_key(self._scope), halls_key(self._scope)]
        self._last_poll_s = now_s
        if now_s - self._last_lease_poll_s >= self._timing.lease_poll_s:
            self._last_lease_poll_s = now_s
            prefixes.append("controller/")
        self._read(tuple(prefixes), now_s)

    def follow(self, parents: list[Peer]) -> None:
        """Set the entries to follow."""
        if parents != self.parents:
            self.parents = parents
            self._last_follow_s = -1.0e9

    def neighbours(self) -> list[Peer]:
        """Return the entries that this entry follows and those that follow it."""
        return [*self.parents, *(item.peer for item in self._followers.values())]

    def _may_poll(self, now_s: float) -> bool:
        may_read = self.reads_table and self._call is None and now_s >= self._not_before_s
        return may_read and now_s - self._last_poll_s >= self._timing.view_poll_s

    def _read(self, prefixes: tuple[str, ...], now_s: float) -> None:
        self._call = self._next_call()
        self._read_sent_s = now_s
        self._outbox.add(TableRead(TableUse.VIEW, self._call, prefixes))

    def _on_read_failed(self, now_s: float) -> None:
        self._call = None
        # The next reply holds other rows, so it must not be read as the reply for these groups.
        self._requested_domains = frozenset()
        self._failing = True
        self._outbox.count("view.table_failed")
        self._not_before_s = now_s + self._backoff.next_delay_s()

    def poll_soon(self) -> None:
        """Poll the head and the leases at the next tick."""
        self._last_poll_s = -1.0e9
        self._last_lease_poll_s = -1.0e9

    def on_read(self, call: int, reply: ReadReply, now_s: float) -> None:
        """Handle the reply to a read of the table."""
        if call != self._call:
            return
        if reply.rows is None:
            self._on_read_failed(now_s)
            return
        self._call = None
        self._failing = False
        self._backoff.reset()
        self._apply_halls_row(reply.rows, now_s)
        self._apply_head(reply.rows, now_s)
        self._apply_domains(reply.rows, now_s)
        self._apply_approvals(reply.rows, now_s)

    def _apply_halls_row(self, rows: Mapping[str, Row], now_s: float) -> None:
        row = rows.get(halls_key(self._scope))
        if row is not None:
            self._apply_drained_halls(decode(HallsRow, row.content).drained, now_s)
        elif head_key(self._scope) in rows:
            self._drains.record_no_drains()

    def _apply_drained_halls(self, drained: DrainedHalls, now_s: float) -> None:
        """Apply drained halls newer than the known ones, and forward them to the followers."""
        if not self._drains.apply_reading(drained, now_s):
            return
        self._changed = True
        self._outbox.count("halls.drained_changed")
        halls = ",".join(drained.halls)
        self._outbox.log("halls_drained", version=drained.version, halls=halls)
        for follower in self._followers.values():
            self._outbox.send(follower.peer, HallsUpdate(drained))

    def _apply_head(self, rows: Mapping[str, Row], now_s: float) -> None:
        head = rows.get(head_key(self._scope))
        if head is None:
            return
        roll = decode(RollRow, head.content)
        if roll.version <= self._view_sync.view.version:
            return
        if self._pending_roll is None or roll.version > self._pending_roll.version:
            self._pending_roll, self._pending_body, self._pending_approvals = roll, None, ()
        if self._pending_body is None:
            self._outbox.add(FetchBody(self._pending_roll.bundle))

    def _apply_domains(self, rows: Mapping[str, Row], now_s: float) -> None:
        leases = {
            DomainId(key.removeprefix("controller/")): decode(LeaseRow, row.content)
            for key, row in rows.items()
            if key.startswith("controller/")
        }
        self.leases.update(leases)
        for domain in sorted(self._requested_domains & leases.keys()):
            prefix = group_key(domain, "")
            groups = _decode_rows(GroupRow, rows, prefix)
            self.set_groups(domain, leases[domain].counter, groups)
        self._requested_domains = frozenset(
            domain
            for domain, lease in leases.items()
            if domain not in self.domains or self.domains[domain].counter < lease.counter
        )
        wanted_keys = [
            key
            for requested in sorted(self._requested_domains)
            for key in (lease_key(requested), group_key(requested, ""))
        ]
        if self._pending_roll is not None and not self._pending_approvals:
            wanted_keys.append(approval_key(self._pending_roll.bundle))
        if wanted_keys:
            self._read(tuple(wanted_keys), now_s)

    def set_groups(self, domain: DomainId, counter: Epoch, groups: tuple[GroupRow, ...]) -> None:
        """Set a domain's groups unless newer ones are known."""
        known = self.domains.get(domain)
        if known is None or known.counter < counter or known.groups != groups:
            if known is not None and known.counter > counter:
                return
            self.domains[domain] = DomainGroups(counter, groups)
            self._changed = True

    def _apply_approvals(self, rows: Mapping[str, Row], now_s: float) -> None:
        if self._pending_roll is None:
            return
        prefix = approval_key(self._pending_roll.bundle)
        self._pending_approvals = _decode_rows(Approval, rows, prefix) or self._pending_approvals
        self._try_apply(now_s)

    def on_body(self, bundle: BundleHash, body: bytes | None, now_s: float) -> None:
        """Handle a bundle's body from the object store; None if it could not be fetched."""
        if self._pending_roll is None or bundle != self._pending_roll.bundle or body is None:
            return
        self._pending_body = body
        self._try_apply(now_s)

    def _try_apply(self, now_s: float) -> None:
        if self._pending_roll is None or self._pending_body is None or not self._pending_approvals:
            return
        snapshot = make_snapshot(self._pending_roll, self._pending_body, self._pending_approvals)
        self._pending_roll, self._pending_body, self._pending_approvals = None, None, ()
        self.apply(snapshot, now_s)

    def apply(self, snapshot: Snapshot, now_s: float) -> bool:
        """Put a version in force if it is newer and approved; return whether it was."""
        applied = self._view_sync.apply(snapshot, now_s)
        self._changed = self._changed or applied
        if applied:
            for follower in self._followers.values():
                self._outbox.send(follower.peer, ViewNotice())
        return applied

    # Other entries

    def on_view_delta(self, sender: Peer, message: ViewDelta, now_s: float) -> None:
        """Apply a version received as a delta from a known one."""
        snapshot = self._view_sync.snapshot_from(message)
        if snapshot is not None:
            self.apply(snapshot, now_s)

    def on_view_notice(self, sender: Peer, message: ViewNotice, now_s: float) -> None:
        """Do nothing: the version that the message carried has been handled already."""

    def on_view_update(self, sender: Peer, update: ViewUpdate, now_s: float) -> None:
        """Apply a version received from another process."""
        self.apply(update.snapshot, now_s)

    def on_halls_update(self, sender: Peer, update: HallsUpdate, now_s: float) -> None:
        """Apply drained halls received from another entry."""
        self._apply_drained_halls(update.drained, now_s)

    def on_follow_view(self, sender: Peer, message: FollowView, now_s: float) -> None:
        """Add or renew a follower, and send it what it lacks."""
        follower = self._followers.get(sender.node)
        if follower is None or follower.expires_s < now_s:
            follower = _Follower(sender, 0.0, {}, {})
            self._followers[sender.node] = follower
        follower.expires_s = now_s + FOLLOWER_TIMEOUT_S
        if self._drains.newest.version:
            self._outbox.send(sender, HallsUpdate(self._drains.newest))
        if message.digest != counters_digest(follower.sent_groups):
            follower.sent_groups = {}
        if message.listing != follower.listing_digest:
            follower.listing = {}
        self._send_updates(follower)

    def on_groups_update(self, sender: Peer, update: GroupsUpdate, now_s: float) -> None:
        """Apply a domain's groups received from another entry."""
        known = self.domains.get(update.domain)
        if not update.base:
            self.set_groups(update.domain, update.counter, update.groups)
        elif known is not None and known.counter == update.base:
            self.set_groups(
                update.domain, update.counter, apply_groups_update(known.groups, update)
            )

    def _update_followers(self, now_s: float) -> None:
        for node, follower in list(self._followers.items()):
            if follower.expires_s < now_s:
                del self._followers[node]
            else:
                self._send_updates(follower)

    def _send_updates(self, follower: _Follower) -> None:
        if follower.listing is not self.listing:
            update = difference(follower.listing, self.listing)
            follower.listing = self.listing
            follower.listing_digest = self._listing_digest
            self._outbox.send(follower.peer, update)
        for domain, known in self.domains.items():
            if follower.sent_groups.get(domain) is not known:
                before = follower.sent_groups.get(domain)
                follower.sent_groups[domain] = known
                self._outbox.send(follower.peer, groups_update(domain, before, known))

    def _digest(self) -> int:
        return counters_digest(self.domains)


def _decode_rows(kind: type[T], rows: Mapping[str, Row], prefix: str) -> tuple[T, ...]:
    return tuple(decode(kind, row.content) for key, row in rows.items() if key.startswith(prefix))


__all__ = ["ViewKeeper"]
