# SPDX-License-Identifier: Apache-2.0
"""The entry as a state machine: requests, messages and ticks in, effects out."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from ochreway_core.effects import Effect, TableUse
from ochreway_core.ids import (
    BundleHash,
    DomainId,
    HallId,
    Incarnation,
    NodeId,
    RequestId,
    ScopeId,
    Version,
)
from ochreway_core.listing import ListedInstance
from ochreway_core.messages import (
    ClaimReply,
    CrashNews,
    Follow,
    FollowView,
    Frame,
    GroupsUpdate,
    HallsUpdate,
    ListingUpdate,
    LoadReport,
    Refusal,
    Report,
    Settled,
    ViewDelta,
    ViewNotice,
    ViewRequest,
    ViewUpdate,
)
from ochreway_core.peer import Peer
from ochreway_core.rendezvous import rank
from ochreway_core.request import Request
from ochreway_core.rows import GroupRow
from ochreway_core.table import CommitReply, ReadReply
from ochreway_core.timing import Timing
from ochreway_core.view import Snapshot, View
from ochreway_nodes.controller.controller import LEASE_CANDIDATES, Controller
from ochreway_nodes.controller.repair import REPAIR_POLICIES, RepairTuning
from ochreway_nodes.drainstate import DrainState
from ochreway_nodes.entry.calls import Calls
from ochreway_nodes.entry.crashes import Crashes
from ochreway_nodes.entry.legacy import legacy_replicas
from ochreway_nodes.entry.listing import Listing, listing_of
from ochreway_nodes.entry.spreadtree import PARENTS_PER_ENTRY, parents_of, readers_of, reads_table
from ochreway_nodes.entry.subset import entries_of, followed_groups
from ochreway_nodes.entry.viewkeeper import ViewKeeper
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.viewsync import ViewSync
from ochreway_routing.limits import Limits
from ochreway_routing.replica import ReplicaView
from ochreway_routing.router import DEFAULT_POLICY, Router

FOLLOW_INTERVAL_S = 5.0
"""Interval at which an entry sends ``Follow`` to the leaders of its groups."""

Handler = Callable[[Peer, Any, float], None]


class EntryNode:
    """Combine the view of the table, the controllers and the requests in progress."""

    def __init__(
        self,
        me: Peer,
        incarnation: Incarnation,
        hall: HallId,
        scope: ScopeId,
        timing: Timing,
        operator_keys: dict[str, Ed25519PublicKey],
        rng: random.Random,
        now_s: float,
        routing_policy: str = DEFAULT_POLICY,
        repair_policy: str = "expected_cost",
        repair_tuning: RepairTuning | None = None,
        first_peers: Iterable[Peer] = (),
    ) -> None:
        self.me = me
        self.hall = hall
        self.controllers: dict[DomainId, Controller] = {}
        self.stopping = False
        self._incarnation = incarnation
        self._timing = timing
        self._random = rng
        self._call = 0
        self._outbox = Outbox()
        self._repair = REPAIR_POLICIES[repair_policy](repair_tuning or RepairTuning())
        self._last_follow_s = -1.0e9
        self._other_readers: list[Peer] = []
        self.view_sync = ViewSync(View(operator_keys, timing.key_memory_s), self._outbox)
        self.drains = DrainState(timing.hall_drain_s, now_s)
        self._closed_halls: frozenset[HallId] = frozenset()
        self.keeper = ViewKeeper(
            *(scope, timing, self.view_sync, self.drains, self._outbox, rng, self._next_call)
        )
        self.keeper.follow(list(first_peers))
        self.router = Router(hall, rng, policy=routing_policy)
        self.limits = Limits()
        self.crashes = Crashes(me.node, self._outbox)
        self.calls = Calls(
            me,
            incarnation,
            timing,
            self.view_sync,
            self.router,
            self.limits,
            self._address_of,
            self.crashes,
            self._outbox,
        )
        self._handlers: dict[type, Handler] = {
            Frame: self.calls.on_frame,
            Refusal: self.calls.on_refusal,
            Settled: self.calls.on_settled,
            ClaimReply: self.calls.on_claim_reply,
            LoadReport: self._on_load_report,
            Report: self._on_report,
            ViewRequest: self.view_sync.on_request,
            ViewUpdate: self.keeper.on_view_update,
            ViewDelta: self.keeper.on_view_delta,
            ViewNotice: self.keeper.on_view_notice,
            FollowView: self.keeper.on_follow_view,
            GroupsUpdate: self.keeper.on_groups_update,
            HallsUpdate: self.keeper.on_halls_update,
            ListingUpdate: self._on_listing_update,
            CrashNews: self.crashes.on_news,
        }

    @property
    def listing(self) -> Listing:
        """The platform's list as it is known here."""
        return self.keeper.listing

    @property
    def version(self) -> Version:
        """The configuration version in force here."""
        return self.view_sync.view.version

    def take(self) -> list[Effect]:
        """Return and clear the effects requested since the last call."""
        return self._outbox.take()

    def _next_call(self) -> int:
        self._call += 1
        return self._call

    def _address_of(self, node: NodeId) -> Peer | None:
        listed = self.listing.get(node)
        return Peer(node, listed.address) if listed else None

    # Events

    def on_message(self, sender: Peer, version: Version, message: object, now_s: float) -> None:
        """Handle a message; ``version`` is the sender's configuration version."""
        self._close_halls(now_s)
        self.view_sync.on_peer_version(sender, version, now_s)
        handler = self._handlers.get(type(message))
        if handler is None:
            self._outbox.count("message.unexpected")
            return
        handler(sender, message, now_s)
        self._apply_changes(now_s)

    def on_request(self, request: Request, now_s: float) -> None:
        """Start a request."""
        self._close_halls(now_s)
        self.calls.start(request, now_s)

    def on_caller_gone(self, request: RequestId) -> None:
        """End a request whose caller is gone."""
        self.calls.cancel(request)

    def on_passed(self, request: RequestId, passed: int) -> None:
        """Record how many bytes of an answer the caller has received."""
        self.calls.record_passed(request, passed)

    def on_link_down(self, node: NodeId, now_s: float) -> None:
        """Settle the attempts in flight over a lost link."""
        self.calls.on_link_down(node, now_s)

    def on_read(self, use: TableUse, call: int, reply: ReadReply, now_s: float) -> None:
        """Handle the reply to a read of the table."""
        if use is TableUse.VIEW:
            self.keeper.on_read(call, reply, now_s)
        else:
            for controller in self.controllers.values():
                controller.on_read(call, reply, now_s)
        self._apply_changes(now_s)

    def on_commit(self, call: int, reply: CommitReply, now_s: float) -> None:
        """Handle the outcome of a transaction."""
        for controller in self.controllers.values():
            controller.on_commit(call, reply, now_s)
        self._publish_own_groups()
        self._apply_changes(now_s)

    def on_body(self, bundle: BundleHash, body: bytes | None, now_s: float) -> None:
        """Handle a bundle's body from the object store."""
        self.keeper.on_body(bundle, body, now_s)
        self._apply_changes(now_s)

    def on_snapshot(self, snapshot: Snapshot, now_s: float) -> None:
        """Apply a version pushed by an operator's command."""
        self.keeper.apply(snapshot, now_s)
        self._apply_changes(now_s)

    def on_listing(self, instances: Iterable[ListedInstance], now_s: float) -> None:
        """Handle the platform's list."""
        if self.keeper.set_listing(listing_of(instances)):
            self._apply_listing(now_s)

    def _on_listing_update(self, sender: Peer, update: ListingUpdate, now_s: float) -> None:
        if self.keeper.on_listing_update(update):
            self._apply_listing(now_s)

    def _apply_listing(self, now_s: float) -> None:
        entries = entries_of(self.listing)
        self._choose_parents(entries)
        self._other_readers = self._readers_of_other_halls(entries)
        self._set_controllers(now_s)
        self._configure_limits()
        self._set_replicas()

    def _choose_parents(self, entries: list[ListedInstance]) -> None:
        local_entries = [
            entry.node for entry in entries if entry.hall == self.hall and not entry.leaving
        ]
        order = rank(f"readers/{self.hall}", local_entries)
        self.keeper.reads_table = reads_table(self.me.node, order)
        parents = parents_of(self.me.node, order)
        if not parents:
            others = [entry.node for entry in entries if entry.node != self.me.node]
            parents = rank(f"parents/{self.me.node}", others)[:PARENTS_PER_ENTRY]
        peers = [self._address_of(node) for node in parents]
        self.keeper.follow([peer for peer in peers if peer is not None])

    def _readers_of_other_halls(self, entries: list[ListedInstance]) -> list[Peer]:
        """Return the readers of other halls if this entry is a reader.

        Readers propagate updates between halls.
        """
        if not self.keeper.reads_table:
            return []
        halls = sorted({entry.hall for entry in entries} - {self.hall})
        readers = []
        for hall in halls:
            hall_entries = [
                entry.node for entry in entries if entry.hall == hall and not entry.leaving
            ]
            readers += readers_of(rank(f"readers/{hall}", hall_entries))
        peers = [self._address_of(node) for node in readers]
        return [peer for peer in peers if peer is not None]

    def _rank(self, domain: DomainId, entries: list[ListedInstance]) -> int:
        staying = [entry.node for entry in entries if not entry.leaving]
        order = rank(f"controller/{domain}", staying)
        return order.index(self.me.node) if self.me.node in order else len(order)

    def _on_load_report(self, sender: Peer, report: LoadReport, now_s: float) -> None:
        self.router.on_load_report(report, now_s)

    def _on_report(self, sender: Peer, report: Report, now_s: float) -> None:
        for controller in self.controllers.values():
            controller.on_report(report, now_s)

    def on_tick(self, now_s: float) -> None:
        """Run the periodic work of all parts."""
        self.keeper.tick(now_s)
        self._close_halls(now_s)
        for domain, controller in self.controllers.items():
            controller.observe_lease(self.keeper.leases.get(domain), now_s)
            controller.tick(now_s)
        self.calls.tick(now_s)
        self.crashes.set_neighbours([*self.keeper.neighbours(), *self._other_readers])
        self.crashes.tick(now_s)
        if now_s - self._last_follow_s >= FOLLOW_INTERVAL_S:
            self._last_follow_s = now_s
            self._send_follows()
        self._apply_changes(now_s)

    def stop(self, now_s: float) -> None:
        """Begin a planned stop by releasing leases; the shell admits no new requests."""
        self.stopping = True
        for controller in self.controllers.values():
            controller.release_lease(now_s)

    def may_stop(self) -> bool:
        """Return whether stopping now would interrupt no request."""
        return not len(self.calls)

    # Changes

    def _apply_changes(self, now_s: float) -> None:
        if not self.keeper.consume_changed():
            return
        # Send ``Follow`` at once, as leaders learn of the new version from these messages.
        self._last_follow_s = -1.0e9
        bundle = self.view_sync.view.bundle
        self._close_halls(now_s)
        if bundle is not None:
            self._set_controllers(now_s)
            self.calls.on_view_changed(now_s)
        self._configure_limits()
        self._set_replicas()

    def _close_halls(self, now_s: float) -> None:
        """Stop sending to halls whose grace period is over, and resume with restored halls."""
        closed = self.drains.closed(now_s)
        if closed == self._closed_halls:
            return
        self._outbox.log("halls_closed", halls=",".join(sorted(closed)))
        self._closed_halls = closed
        for controller in self.controllers.values():
            controller.set_drained_halls(self.drains.halls, closed)
        self._set_replicas()

    def _set_controllers(self, now_s: float) -> None:
        """Configure the controllers of the domains that this entry is a lease candidate for."""
        bundle = self.view_sync.view.bundle
        if bundle is None:
            return
        entries = entries_of(self.listing)
        domains = {DomainId(name) for name in bundle.domains()} | self.keeper.leases.keys()
        for domain in sorted(domains):
            controller = self.controllers.get(domain)
            candidate_rank = self._rank(domain, entries)
            if controller is None and candidate_rank >= LEASE_CANDIDATES:
                continue
            if controller is None:
                controller = Controller(
                    domain,
                    NodeId(f"{self.me.node}#{self._incarnation:x}"),
                    self._timing,
                    self._repair,
                    self._outbox,
                    self._random,
                    self._next_call,
                    now_s,
                )
                self.controllers[domain] = controller
            controller.rank = candidate_rank
            controller.configure(bundle, self.version)
            controller.on_listing(self.listing)
            controller.set_drained_halls(self.drains.halls, self._closed_halls)

    def _publish_own_groups(self) -> None:
        for domain, controller in self.controllers.items():
            rows = controller.rows
            if controller.holding and rows is not None and rows.lease is not None:
                groups = tuple(rows.groups.values())
                self.keeper.set_groups(domain, rows.lease.counter, groups)

    def _configure_limits(self) -> None:
        bundle = self.view_sync.view.bundle
        entries = sum(not entry.leaving for entry in entries_of(self.listing))
        if bundle is not None:
            self.limits.configure(bundle.organisation, entries)

    def entries(self) -> tuple[NodeId, ...]:
        """Return the listed entries and this one."""
        listed = (entry.node for entry in entries_of(self.listing))
        return tuple(sorted({*listed, self.me.node}))

    def _set_replicas(self) -> None:
        rows = followed_groups(self.me.node, self.hall, self.keeper.groups(), self.listing)
        bundle = self.view_sync.view.bundle
        legacy = legacy_replicas(bundle) if bundle else []
        self.router.set_replicas([self._replica(row) for row in rows] + legacy)

    def _replica(self, row: GroupRow) -> ReplicaView:
        bundle = self.view_sync.view.bundle
        model = bundle.model_named(row.target) if bundle else None
        listed = self.listing.get(row.leader.node)
        return ReplicaView(
            group=row.group,
            target=row.target,
            leader=row.leader,
            hall=listed.hall if listed else HallId(""),
            slots=row.slots,
            leaving=any(self._is_excluded(peer.node) for peer in row.members),
            adapters=frozenset(model.adapters if model else ()),
        )

    def _is_excluded(self, node: NodeId) -> bool:
        """Return whether no new requests go to an instance: it is leaving or in a closed hall.

        While any hall is closed, an instance whose hall is unknown is excluded too, as it might be
        in that hall.
        """
        listed = self.listing.get(node)
        if listed is None:
            return bool(self._closed_halls)
        return listed.leaving or listed.hall in self._closed_halls

    def _send_follows(self) -> None:
        for group, replica in self.router.replicas.items():
            if not replica.legacy_percent:
                self._outbox.send(replica.leader, Follow(group))


__all__ = ["EntryNode"]
