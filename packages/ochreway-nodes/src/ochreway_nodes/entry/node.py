# SPDX-License-Identifier: Apache-2.0
"""The entry as one node: a request, a message or a tick in, effects out."""

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
from ochreway_nodes.entry.calls import Calls
from ochreway_nodes.entry.crashes import Crashes
from ochreway_nodes.entry.legacy import legacy_replicas
from ochreway_nodes.entry.listing import Listing, listing_of
from ochreway_nodes.entry.spreadtree import PARENTS, parents_of, readers_of, reads_table
from ochreway_nodes.entry.subset import entries_of, followed_groups
from ochreway_nodes.entry.viewkeeper import ViewKeeper
from ochreway_nodes.hearddrains import HeardDrains
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.viewspread import ViewSpread
from ochreway_routing.limits import Limits
from ochreway_routing.replica import ReplicaView
from ochreway_routing.router import DEFAULT_POLICY, Router

FOLLOW_S = 5.0

Handler = Callable[[Peer, Any, float], None]


class EntryNode:
    """Join the view of the table, the controllers and the requests in progress."""

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
        self._follow_s = -1.0e9
        self._other_readers: list[Peer] = []
        self.spread = ViewSpread(View(operator_keys, timing.key_memory_s), self._outbox)
        self.drains = HeardDrains(timing.hall_drain_s, now_s)
        self._closed_halls: frozenset[HallId] = frozenset()
        self.keeper = ViewKeeper(
            *(scope, timing, self.spread, self.drains, self._outbox, rng, self._next_call)
        )
        self.keeper.follow(list(first_peers))
        self.router = Router(hall, rng, policy=routing_policy)
        self.limits = Limits()
        self.crashes = Crashes(self._outbox)
        self.calls = Calls(
            me,
            incarnation,
            timing,
            self.spread,
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
            ViewRequest: self.spread.on_request,
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
        """Return the platform's list as it is known here."""
        return self.keeper.listing

    @property
    def version(self) -> Version:
        """Return the configuration version in force here."""
        return self.spread.view.version

    def take(self) -> list[Effect]:
        """Return the effects asked for since they were last taken."""
        return self._outbox.take()

    def _next_call(self) -> int:
        self._call += 1
        return self._call

    def _address_of(self, node: NodeId) -> Peer | None:
        listed = self.listing.get(node)
        return Peer(node, listed.address) if listed else None

    # Events

    def on_message(self, sender: Peer, version: Version, message: object, now_s: float) -> None:
        """Handle a message that showed its sender's version."""
        self._close_halls(now_s)
        self.spread.seen(sender, version, now_s)
        handler = self._handlers.get(type(message))
        if handler is None:
            self._outbox.count("message.unexpected")
            return
        handler(sender, message, now_s)
        self._follow_changes(now_s)

    def on_request(self, request: Request, now_s: float) -> None:
        """Begin a request."""
        self._close_halls(now_s)
        self.calls.start(request, now_s)

    def on_caller_gone(self, request: RequestId) -> None:
        """End a request whose caller has gone."""
        self.calls.cancel(request)

    def on_passed(self, request: RequestId, passed: int) -> None:
        """Note how many bytes of an answer the caller has taken."""
        self.calls.passed_on(request, passed)

    def on_link_down(self, node: NodeId, now_s: float) -> None:
        """Settle what was in flight over a link that is gone."""
        self.calls.on_link_down(node, now_s)

    def on_read(self, use: TableUse, call: int, reply: ReadReply, now_s: float) -> None:
        """Take in rows of the table."""
        if use is TableUse.VIEW:
            self.keeper.on_read(call, reply, now_s)
        else:
            for controller in self.controllers.values():
                controller.on_read(call, reply, now_s)
        self._follow_changes(now_s)

    def on_commit(self, call: int, reply: CommitReply, now_s: float) -> None:
        """Take in what became of a transaction."""
        for controller in self.controllers.values():
            controller.on_commit(call, reply, now_s)
        self._take_own_groups()
        self._follow_changes(now_s)

    def on_body(self, bundle: BundleHash, body: bytes | None, now_s: float) -> None:
        """Take in a bundle's body."""
        self.keeper.on_body(bundle, body, now_s)
        self._follow_changes(now_s)

    def on_snapshot(self, snapshot: Snapshot, now_s: float) -> None:
        """Take in a version that an operator's command pushes."""
        self.keeper.apply(snapshot, now_s)
        self._follow_changes(now_s)

    def on_listing(self, instances: Iterable[ListedInstance], now_s: float) -> None:
        """Take in the platform's list."""
        if self.keeper.set_listing(listing_of(instances)):
            self._follow_listing(now_s)

    def _on_listing_update(self, sender: Peer, update: ListingUpdate, now_s: float) -> None:
        if self.keeper.on_listing_update(update):
            self._follow_listing(now_s)

    def _follow_listing(self, now_s: float) -> None:
        entries = entries_of(self.listing)
        self._choose_parents(entries)
        self._other_readers = self._readers_elsewhere(entries)
        self._set_controllers(now_s)
        self._configure_limits()
        self._set_replicas()

    def _choose_parents(self, entries: list[ListedInstance]) -> None:
        here = [each.node for each in entries if each.hall == self.hall and not each.leaving]
        order = rank(f"readers/{self.hall}", here)
        self.keeper.reads_table = reads_table(self.me.node, order)
        chosen = parents_of(self.me.node, order)
        if not chosen:
            others = [each.node for each in entries if each.node != self.me.node]
            chosen = rank(f"parents/{self.me.node}", others)[:PARENTS]
        peers = [self._address_of(node) for node in chosen]
        self.keeper.follow([peer for peer in peers if peer is not None])

    def _readers_elsewhere(self, entries: list[ListedInstance]) -> list[Peer]:
        """Return the readers of other halls, for a reader; news passes between halls by them."""
        if not self.keeper.reads_table:
            return []
        halls = sorted({each.hall for each in entries} - {self.hall})
        found = []
        for hall in halls:
            there = [each.node for each in entries if each.hall == hall and not each.leaving]
            found += readers_of(rank(f"readers/{hall}", there))
        peers = [self._address_of(node) for node in found]
        return [peer for peer in peers if peer is not None]

    def _rank(self, domain: DomainId, entries: list[ListedInstance]) -> int:
        staying = [each.node for each in entries if not each.leaving]
        order = rank(f"controller/{domain}", staying)
        return order.index(self.me.node) if self.me.node in order else len(order)

    def _on_load_report(self, sender: Peer, report: LoadReport, now_s: float) -> None:
        self.router.on_load_report(report, now_s)

    def _on_report(self, sender: Peer, report: Report, now_s: float) -> None:
        for controller in self.controllers.values():
            controller.on_report(report, now_s)

    def on_tick(self, now_s: float) -> None:
        """Do what is due."""
        self.keeper.tick(now_s)
        self._close_halls(now_s)
        for domain, controller in self.controllers.items():
            controller.observe_lease(self.keeper.leases.get(domain), now_s)
            controller.tick(now_s)
        self.calls.tick(now_s)
        self.crashes.set_neighbours([*self.keeper.neighbours(), *self._other_readers])
        self.crashes.tick(now_s)
        if now_s - self._follow_s >= FOLLOW_S:
            self._follow_s = now_s
            self._follow_leaders()
        self._follow_changes(now_s)

    def stop(self, now_s: float) -> None:
        """Begin a planned stop: give leases up; the caller stops new requests."""
        self.stopping = True
        for controller in self.controllers.values():
            controller.release_lease(now_s)

    def may_stop(self) -> bool:
        """Tell whether a planned stop would cut nothing."""
        return not len(self.calls)

    # Changes

    def _follow_changes(self, now_s: float) -> None:
        if not self.keeper.take_changed():
            return
        # Leaders hear of the version from these messages at once.
        self._follow_s = -1.0e9
        bundle = self.spread.view.bundle
        self._close_halls(now_s)
        if bundle is not None:
            self._set_controllers(now_s)
            self.calls.on_view_changed(now_s)
        self._configure_limits()
        self._set_replicas()

    def _close_halls(self, now_s: float) -> None:
        """Stop sending to halls whose time is over, and resume sending to those given back."""
        closed = self.drains.closed(now_s)
        if closed == self._closed_halls:
            return
        self._outbox.log("halls_closed", halls=",".join(sorted(closed)))
        self._closed_halls = closed
        for controller in self.controllers.values():
            controller.set_drained_halls(self.drains.halls, closed)
        self._set_replicas()

    def _set_controllers(self, now_s: float) -> None:
        """Watch the leases of those domains that this entry is a candidate for."""
        bundle = self.spread.view.bundle
        if bundle is None:
            return
        entries = entries_of(self.listing)
        domains = {DomainId(name) for name in bundle.domains()} | self.keeper.leases.keys()
        for domain in sorted(domains):
            controller = self.controllers.get(domain)
            place = self._rank(domain, entries)
            if controller is None and place >= LEASE_CANDIDATES:
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
            controller.rank = place
            controller.configure(bundle, self.version)
            controller.on_listing(self.listing)
            controller.set_drained_halls(self.drains.halls, self._closed_halls)

    def _take_own_groups(self) -> None:
        for domain, controller in self.controllers.items():
            rows = controller.rows
            if controller.holding and rows is not None and rows.lease is not None:
                groups = tuple(rows.groups.values())
                self.keeper.set_groups(domain, rows.lease.counter, groups)

    def _configure_limits(self) -> None:
        bundle = self.spread.view.bundle
        entries = sum(not each.leaving for each in entries_of(self.listing))
        if bundle is not None:
            self.limits.configure(bundle.organisation, entries)

    def entries(self) -> tuple[NodeId, ...]:
        """Return the entries that are listed, this one too."""
        listed = (each.node for each in entries_of(self.listing))
        return tuple(sorted({*listed, self.me.node}))

    def _set_replicas(self) -> None:
        rows = followed_groups(self.me.node, self.hall, self.keeper.groups(), self.listing)
        bundle = self.spread.view.bundle
        legacy = legacy_replicas(bundle) if bundle else []
        self.router.set_replicas([self._replica(row) for row in rows] + legacy)

    def _replica(self, row: GroupRow) -> ReplicaView:
        bundle = self.spread.view.bundle
        model = bundle.model_named(row.target) if bundle else None
        listed = self.listing.get(row.leader.node)
        return ReplicaView(
            group=row.group,
            target=row.target,
            leader=row.leader,
            hall=listed.hall if listed else HallId(""),
            slots=row.slots,
            leaving=any(self._gets_nothing(peer.node) for peer in row.members),
            adapters=frozenset(model.adapters if model else ()),
        )

    def _gets_nothing(self, node: NodeId) -> bool:
        """Tell whether an instance is leaving, or stands in a hall that gets nothing new.

        While a hall gets nothing, one whose hall is not known might stand there.
        """
        listed = self.listing.get(node)
        if listed is None:
            return bool(self._closed_halls)
        return listed.leaving or listed.hall in self._closed_halls

    def _follow_leaders(self) -> None:
        for group, replica in self.router.replicas.items():
            if not replica.legacy_percent:
                self._outbox.send(replica.leader, Follow(group))


__all__ = ["EntryNode"]
