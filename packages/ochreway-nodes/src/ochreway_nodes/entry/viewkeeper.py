# SPDX-License-Identifier: Apache-2.0
"""How an entry keeps up with the table: versions, leases and groups."""

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
from ochreway_nodes.entry.domaingroups import (
    DomainGroups,
    changed_groups,
    counters_digest,
    groups_update,
)
from ochreway_nodes.entry.listing import Listing, applied, difference, digest_of
from ochreway_nodes.hearddrains import HeardDrains
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.viewspread import ViewSpread

T = TypeVar("T")

BACKOFF_BASE_S = 0.5
FOLLOW_S = 2.0
FOLLOW_FOR_S = 7.0


@dataclass(slots=True)
class _Follower:
    peer: Peer
    until_s: float
    told: dict[DomainId, DomainGroups]
    listing: Listing
    listing_digest: int = 0


class ViewKeeper:
    """Poll the table when this entry is one of its hall's readers, else follow a reader."""

    def __init__(
        self,
        scope: ScopeId,
        timing: Timing,
        spread: ViewSpread,
        drains: HeardDrains,
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
        self._spread = spread
        self._drains = drains
        self._outbox = outbox
        self._backoff = Backoff(BACKOFF_BASE_S, timing.backoff_max_s, rng)
        self._next_call = next_call
        self._call: int | None = None
        self._sent_s = -1.0e9
        self._not_before_s = -1.0e9
        self._polled_s = -1.0e9
        self._leases_s = -1.0e9
        self._followed_s = -1.0e9
        self._wanted: RollRow | None = None
        self._body: bytes | None = None
        self._approvals: tuple[Approval, ...] = ()
        self._failing = False
        self._followers: dict[NodeId, _Follower] = {}
        self._changed = False
        self._asked: frozenset[DomainId] = frozenset()
        self.listing: Listing = {}
        self._listing_digest = 0

    @property
    def reads_list(self) -> bool:
        """Tell whether this entry reads the platform's list itself."""
        return self.reads_table or not self.listing

    def set_listing(self, listing: Listing) -> bool:
        """Take the platform's list; return whether it differs from the known one."""
        if listing == self.listing:
            return False
        self.listing = listing
        self._listing_digest = digest_of(listing)
        return True

    def on_listing_update(self, update: ListingUpdate) -> bool:
        """Take a change of the list from another entry."""
        return not self.reads_table and self.set_listing(applied(self.listing, update))

    def take_changed(self) -> bool:
        """Return whether the groups or the version changed since last asked."""
        changed, self._changed = self._changed, False
        return changed

    def groups(self) -> list[GroupRow]:
        """Return every known group."""
        return [row for each in self.domains.values() for row in each.groups]

    # Reading the table

    def tick(self, now_s: float) -> None:
        """Poll or follow when due."""
        if self._call is not None and now_s - self._sent_s > self._timing.table_timeout_s:
            self._failed(now_s)
        if self._may_poll(now_s):
            self._poll(now_s)
        if now_s - self._followed_s >= FOLLOW_S and (self._failing or not self.reads_table):
            self._followed_s = now_s
            for parent in self.parents:
                self._outbox.send(parent, FollowView(self._digest(), self._listing_digest))
        self._tell_followers(now_s)

    def _poll(self, now_s: float) -> None:
        """Read the head, and now and then the leases, whose counters tell of changed groups."""
        prefixes = [head_key(self._scope), halls_key(self._scope)]
        self._polled_s = now_s
        if now_s - self._leases_s >= self._timing.lease_poll_s:
            self._leases_s = now_s
            prefixes.append("controller/")
        self._read(tuple(prefixes), now_s)

    def follow(self, parents: list[Peer]) -> None:
        """Follow these entries from now on."""
        if parents != self.parents:
            self.parents = parents
            self._followed_s = -1.0e9

    def neighbours(self) -> list[Peer]:
        """Return the entries that this one follows, and those that follow it."""
        return [*self.parents, *(each.peer for each in self._followers.values())]

    def _may_poll(self, now_s: float) -> bool:
        may_read = self.reads_table and self._call is None and now_s >= self._not_before_s
        return may_read and now_s - self._polled_s >= self._timing.view_poll_s

    def _read(self, prefixes: tuple[str, ...], now_s: float) -> None:
        self._call = self._next_call()
        self._sent_s = now_s
        self._outbox.add(TableRead(TableUse.VIEW, self._call, prefixes))

    def _failed(self, now_s: float) -> None:
        self._call = None
        # The next answer holds other rows: it must not be taken for that of these groups.
        self._asked = frozenset()
        self._failing = True
        self._outbox.count("view.table_failed")
        self._not_before_s = now_s + self._backoff.next_delay_s()

    def poke(self) -> None:
        """Read at once: someone says that there is something new."""
        self._polled_s = -1.0e9
        self._leases_s = -1.0e9

    def on_read(self, call: int, reply: ReadReply, now_s: float) -> None:
        """Take in an answer of the table."""
        if call != self._call:
            return
        if reply.rows is None:
            self._failed(now_s)
            return
        self._call = None
        self._failing = False
        self._backoff.reset()
        self._take_halls(reply.rows, now_s)
        self._take_head(reply.rows, now_s)
        self._take_domains(reply.rows, now_s)
        self._take_approvals(reply.rows, now_s)

    def _take_halls(self, rows: Mapping[str, Row], now_s: float) -> None:
        row = rows.get(halls_key(self._scope))
        if row is not None:
            self._take_drained(decode(HallsRow, row.content).drained, now_s)
        elif head_key(self._scope) in rows:
            self._drains.read_none()

    def _take_drained(self, drained: DrainedHalls, now_s: float) -> None:
        """Take drained halls that are newer than what is known, and pass them on."""
        if not self._drains.take(drained, now_s):
            return
        self._changed = True
        self._outbox.count("halls.drained_changed")
        halls = ",".join(drained.halls)
        self._outbox.log("halls_drained", version=drained.version, halls=halls)
        for follower in self._followers.values():
            self._outbox.send(follower.peer, HallsUpdate(drained))

    def _take_head(self, rows: Mapping[str, Row], now_s: float) -> None:
        head = rows.get(head_key(self._scope))
        if head is None:
            return
        roll = decode(RollRow, head.content)
        if roll.version <= self._spread.view.version:
            return
        if self._wanted is None or roll.version > self._wanted.version:
            self._wanted, self._body, self._approvals = roll, None, ()
        if self._body is None:
            self._outbox.add(FetchBody(self._wanted.bundle))

    def _take_domains(self, rows: Mapping[str, Row], now_s: float) -> None:
        leases = {
            DomainId(key.removeprefix("controller/")): decode(LeaseRow, row.content)
            for key, row in rows.items()
            if key.startswith("controller/")
        }
        self.leases.update(leases)
        for domain in sorted(self._asked & leases.keys()):
            prefix = group_key(domain, "")
            groups = _decoded(GroupRow, rows, prefix)
            self.set_groups(domain, leases[domain].counter, groups)
        self._asked = frozenset(
            domain
            for domain, lease in leases.items()
            if domain not in self.domains or self.domains[domain].counter < lease.counter
        )
        wanted = [
            key for each in sorted(self._asked) for key in (lease_key(each), group_key(each, ""))
        ]
        if self._wanted is not None and not self._approvals:
            wanted.append(approval_key(self._wanted.bundle))
        if wanted:
            self._read(tuple(wanted), now_s)

    def set_groups(self, domain: DomainId, counter: Epoch, groups: tuple[GroupRow, ...]) -> None:
        """Take a domain's groups unless newer ones are known."""
        known = self.domains.get(domain)
        if known is None or known.counter < counter or known.groups != groups:
            if known is not None and known.counter > counter:
                return
            self.domains[domain] = DomainGroups(counter, groups)
            self._changed = True

    def _take_approvals(self, rows: Mapping[str, Row], now_s: float) -> None:
        if self._wanted is None:
            return
        prefix = approval_key(self._wanted.bundle)
        self._approvals = _decoded(Approval, rows, prefix) or self._approvals
        self._try_apply(now_s)

    def on_body(self, bundle: BundleHash, body: bytes | None, now_s: float) -> None:
        """Take in a bundle's body from the object store."""
        if self._wanted is None or bundle != self._wanted.bundle or body is None:
            return
        self._body = body
        self._try_apply(now_s)

    def _try_apply(self, now_s: float) -> None:
        if self._wanted is None or self._body is None or not self._approvals:
            return
        snapshot = make_snapshot(self._wanted, self._body, self._approvals)
        self._wanted, self._body, self._approvals = None, None, ()
        self.apply(snapshot, now_s)

    def apply(self, snapshot: Snapshot, now_s: float) -> bool:
        """Put a version in force if it is newer and signed off."""
        applied = self._spread.apply(snapshot, now_s)
        self._changed = self._changed or applied
        if applied:
            for follower in self._followers.values():
                self._outbox.send(follower.peer, ViewNotice())
        return applied

    # Other entries

    def on_view_delta(self, sender: Peer, message: ViewDelta, now_s: float) -> None:
        """Take in a version as a difference from one that is known here."""
        snapshot = self._spread.snapshot_from(message)
        if snapshot is not None:
            self.apply(snapshot, now_s)

    def on_view_notice(self, sender: Peer, message: ViewNotice, now_s: float) -> None:
        """Do nothing more: the version that came with it has been looked at."""

    def on_view_update(self, sender: Peer, update: ViewUpdate, now_s: float) -> None:
        """Take in a version from another process."""
        self.apply(update.snapshot, now_s)

    def on_halls_update(self, sender: Peer, update: HallsUpdate, now_s: float) -> None:
        """Take in the drained halls from another entry."""
        self._take_drained(update.drained, now_s)

    def on_follow_view(self, sender: Peer, message: FollowView, now_s: float) -> None:
        """Count an entry among the followers for a while."""
        follower = self._followers.get(sender.node)
        if follower is None or follower.until_s < now_s:
            follower = _Follower(sender, 0.0, {}, {})
            self._followers[sender.node] = follower
        follower.until_s = now_s + FOLLOW_FOR_S
        if self._drains.newest.version:
            self._outbox.send(sender, HallsUpdate(self._drains.newest))
        if message.digest != counters_digest(follower.told):
            follower.told = {}
        if message.listing != follower.listing_digest:
            follower.listing = {}
        self._tell(follower)

    def on_groups_update(self, sender: Peer, update: GroupsUpdate, now_s: float) -> None:
        """Take in a domain's groups from another entry."""
        known = self.domains.get(update.domain)
        if not update.base:
            self.set_groups(update.domain, update.counter, update.groups)
        elif known is not None and known.counter == update.base:
            self.set_groups(update.domain, update.counter, changed_groups(known.groups, update))

    def _tell_followers(self, now_s: float) -> None:
        for node, follower in list(self._followers.items()):
            if follower.until_s < now_s:
                del self._followers[node]
            else:
                self._tell(follower)

    def _tell(self, follower: _Follower) -> None:
        if follower.listing is not self.listing:
            update = difference(follower.listing, self.listing)
            follower.listing = self.listing
            follower.listing_digest = self._listing_digest
            self._outbox.send(follower.peer, update)
        for domain, known in self.domains.items():
            if follower.told.get(domain) is not known:
                before = follower.told.get(domain)
                follower.told[domain] = known
                self._outbox.send(follower.peer, groups_update(domain, before, known))

    def _digest(self) -> int:
        return counters_digest(self.domains)


def _decoded(kind: type[T], rows: Mapping[str, Row], prefix: str) -> tuple[T, ...]:
    return tuple(decode(kind, row.content) for key, row in rows.items() if key.startswith(prefix))


__all__ = ["ViewKeeper"]
