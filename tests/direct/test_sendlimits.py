# SPDX-License-Identifier: Apache-2.0
"""Shares of a cold target's allowance under single failures."""

import random
from collections.abc import Callable

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.ids import InstanceId, NodeId, Version
from ochreway_direct.configuration import ColdStart, Configuration, Service
from ochreway_direct.leases.lease import Holder, Lease, LeaseState
from ochreway_direct.sendlimits import staticshare
from ochreway_direct.sendlimits.allowance import Allowance
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.heldloans import SENT_LAPSE_S
from ochreway_direct.sendlimits.lender import LOAN_LAPSE_S, NEW_HOLDER_DELAY_S, Lender
from ochreway_direct.sendlimits.loan import LOAN_DURATION_S
from ochreway_direct.sendlimits.loankeeper import LoanKeeper
from ochreway_direct.sendlimits.loanregister import LoanRegister
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.sendwindow import WINDOW_S
from ochreway_direct.sendlimits.staticshare import (
    ALONE_TIMEOUT_S,
    ENTRY_RETENTION_S,
    MESH_SETTLE_S,
    MIN_HEADROOM,
    REGISTERED_SETTLE_S,
    SETTLE_S,
    StaticShare,
)
from ochreway_platform.memorytable import MemoryTable
from ochreway_runtime.metrics import Metrics
from ochreway_standins.spreadworld import SpreadWorld, VirtualLoop, virtually
from tests.direct.sendworld import (
    ALLOWANCE,
    LENDABLE,
    SERVICE,
    SendEntry,
    SendWorld,
    run_synchronously,
)
from tests.runtime.recordedlog import RecordedLog

TARGET = InstanceId("i")
STATIC_AMOUNT = 37
ENTRIES = 13
HEARTBEAT_INTERVAL_S = 1.0


def nodes(number: int) -> list[NodeId]:
    return [NodeId(f"e{n}") for n in range(number)]


def settled_shares(names: list[NodeId], duration_s: float = SETTLE_S) -> dict[NodeId, StaticShare]:
    """Return the shares of entries that have known each other for a while."""
    shares = {name: StaticShare(name, len(names), 0.0) for name in names}
    for name, share in shares.items():
        others = [each for each in names if each != name]
        share.update_entries(others, True, 0.0)
        share.update_entries(others, True, duration_s)
    return shares


def total(shares: dict[NodeId, StaticShare], amount: int, now_s: float, target: str = "i") -> int:
    return sum(each.requests_for(amount, InstanceId(target), now_s) for each in shares.values())


class StaticShareTests(testtools.TestCase):
    def test_shares_of_entries_that_know_each_other_add_up_to_no_more(self) -> None:
        for number in (1, 2, 5, 13, 24, 34, 36, 60, 300):
            shares = settled_shares(nodes(number))
            for target in range(5):
                share_sum = total(shares, STATIC_AMOUNT, SETTLE_S, f"i{target}")
                self.assertLessEqual(share_sum, STATIC_AMOUNT)
                self.assertGreater(share_sum, 0)

    def test_as_many_entries_as_headroom_may_be_unknown(self) -> None:
        for number in (2, 5, 13, 33, 34, 35, 36, 60, 300):
            unknown = max(MIN_HEADROOM, number // 8)
            names = nodes(number + unknown)
            known = settled_shares(names[:number]) | {
                name: share
                for name, share in settled_shares(names).items()
                if name in names[number:]
            }
            for target in range(20):
                self.assertLessEqual(
                    total(known, STATIC_AMOUNT, SETTLE_S, f"i{target}"), STATIC_AMOUNT
                )

    def test_without_headroom_unknown_entries_exceed_the_sum(self) -> None:
        self.patch(staticshare, "MIN_HEADROOM", 0)
        self.patch(staticshare, "ENTRIES_PER_HEADROOM", 1000)
        names = nodes(15)
        known = settled_shares(names[:13]) | {
            name: share for name, share in settled_shares(names).items() if name in names[13:]
        }
        self.assertGreater(total(known, STATIC_AMOUNT, SETTLE_S), STATIC_AMOUNT)

    def test_more_entries_than_requests_each_have_some_targets(self) -> None:
        names = nodes(60)
        shares = settled_shares(names)
        targets = [InstanceId(f"i{n}") for n in range(40)]
        for share in shares.values():
            requests = sum(
                share.requests_for(STATIC_AMOUNT, target, SETTLE_S) for target in targets
            )
            self.assertGreater(requests, len(targets) // 4)

    def test_an_entry_that_joins_takes_one_until_it_knows_the_others(self) -> None:
        share = StaticShare(NodeId("new"), 3, 0.0)
        share.update_entries(nodes(4), True, 0.0)
        self.assertEqual(1, share.requests_for(STATIC_AMOUNT, TARGET, MESH_SETTLE_S - 0.1))
        share.update_entries(nodes(13), True, MESH_SETTLE_S)
        self.assertIn(share.requests_for(STATIC_AMOUNT, TARGET, MESH_SETTLE_S), (2, 3))

    def test_on_a_large_site_it_takes_longer_to_know_the_others(self) -> None:
        share = StaticShare(NodeId("new"), 3, 0.0)
        share.update_entries(nodes(30), True, 0.0)
        large = 10 * STATIC_AMOUNT
        self.assertEqual(1, share.requests_for(large, TARGET, SETTLE_S - 0.1))
        self.assertGreater(share.requests_for(large, TARGET, SETTLE_S), 1)

    def test_an_entry_that_never_connected_continues_to_take_one(self) -> None:
        share = StaticShare(NodeId("new"), 3, 0.0)
        for now_s in range(100):
            share.update_entries((), False, now_s)
        self.assertEqual(1, share.requests_for(STATIC_AMOUNT, TARGET, 100.0))

    def test_an_entry_that_is_cut_off_takes_one_after_a_while(self) -> None:
        share = settled_shares(nodes(3))[NodeId("e0")]
        self.assertGreater(share.requests_for(STATIC_AMOUNT, TARGET, SETTLE_S + ALONE_TIMEOUT_S), 1)
        self.assertEqual(
            1, share.requests_for(STATIC_AMOUNT, TARGET, SETTLE_S + ALONE_TIMEOUT_S + 0.1)
        )

    def test_a_reconnected_entry_takes_one_until_it_knows_the_others(self) -> None:
        share = settled_shares(nodes(3))[NodeId("e0")]
        back_s = SETTLE_S + ALONE_TIMEOUT_S + 5.0
        share.update_entries(nodes(3), True, back_s)
        self.assertEqual(1, share.requests_for(STATIC_AMOUNT, TARGET, back_s + MESH_SETTLE_S - 0.1))
        share.update_entries(nodes(3), True, back_s + MESH_SETTLE_S)
        self.assertGreater(share.requests_for(STATIC_AMOUNT, TARGET, back_s + MESH_SETTLE_S), 1)

    def test_an_entry_connected_to_all_registered_ones_counts_them_soon(self) -> None:
        share = StaticShare(NodeId("new"), 3, 0.0)
        share.on_register(nodes(3), nodes(13), 0.0)
        share.update_entries(nodes(3), True, 0.1, nodes(3))
        self.assertEqual(1, share.requests_for(STATIC_AMOUNT, TARGET, 0.9))
        share.update_entries(nodes(3), True, 1.0, nodes(3))
        self.assertIn(share.requests_for(STATIC_AMOUNT, TARGET, 0.1 + REGISTERED_SETTLE_S), (2, 3))
        self.assertEqual(14, share.entry_count)

    def test_an_entry_without_a_connection_to_a_registered_one_waits(self) -> None:
        share = StaticShare(NodeId("new"), 3, 0.0)
        share.on_register(nodes(3), nodes(13), 0.0)
        for now_s in (0.1, 1.0, 2.0):
            share.update_entries(nodes(3), True, now_s, nodes(2))
        self.assertEqual(1, share.requests_for(STATIC_AMOUNT, TARGET, 2.5))

    def test_a_connection_that_breaks_is_waited_for_again(self) -> None:
        share = StaticShare(NodeId("new"), 3, 0.0)
        share.on_register(nodes(3), nodes(13), 0.0)
        for now_s, alive in ((0.1, 3), (0.8, 2), (0.9, 3)):
            share.update_entries(nodes(3), True, now_s, nodes(alive))
        self.assertEqual(1, share.requests_for(STATIC_AMOUNT, TARGET, 1.7))

    def test_a_register_read_before_an_entry_was_cut_off_is_not_used_after(self) -> None:
        share = StaticShare(NodeId("new"), 3, 0.0)
        share.on_register(nodes(3), nodes(13), 0.0)
        share.update_entries(nodes(3), True, 0.1, nodes(3))
        back_s = ALONE_TIMEOUT_S + 1.0
        share.update_entries(nodes(3), True, back_s, nodes(3))
        self.assertFalse(share.has_register)
        self.assertEqual(1, share.requests_for(STATIC_AMOUNT, TARGET, back_s + MESH_SETTLE_S - 0.1))

    def test_a_departed_entry_counts_until_the_retention_ends(self) -> None:
        share = StaticShare(NodeId("me"), 2, 0.0)
        share.update_entries(nodes(12), True, 0.0)
        for beat in range(round(ENTRY_RETENTION_S / HEARTBEAT_INTERVAL_S)):
            share.update_entries(nodes(1), True, beat * HEARTBEAT_INTERVAL_S)
            self.assertEqual(ENTRIES, share.entry_count)
        share.update_entries(nodes(1), True, ENTRY_RETENTION_S)
        self.assertEqual(2, share.entry_count)


class LenderTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lender = Lender()
        self.weights = dict.fromkeys(nodes(4), 0.0)

    def lend(self, node: int, now_s: float) -> int:
        loan = self.lender.lend(NodeId(f"e{node}"), {SERVICE: 16}, self.weights, now_s)
        return loan.shares.get(SERVICE, 0)

    def test_everything_is_lent_in_proportion_to_request_rates(self) -> None:
        self.weights[NodeId("e0")] = 3.0
        lent_shares = [self.lend(node, 0.0) for node in range(4)]
        self.assertEqual(16, sum(lent_shares))
        self.assertGreater(lent_shares[0], 10)

    def test_a_share_grows_only_when_others_have_lapsed(self) -> None:
        for node in range(4):
            self.assertEqual(4, self.lend(node, 0.0))
        self.weights = {NodeId("e0"): 0.0}
        self.assertEqual(4, self.lend(0, LOAN_LAPSE_S - 0.1))
        self.assertEqual(16, self.lend(0, LOAN_LAPSE_S))

    def test_an_unconnected_entry_is_lent_nothing(self) -> None:
        self.assertEqual(0, self.lend(9, 0.0))

    def test_a_new_holder_waits_for_the_former_ones_loans(self) -> None:
        self.assertFalse(self.lender.may_lend(0.0, 0.0))
        self.lender.on_lease_taken(1.0)
        self.assertFalse(self.lender.may_lend(NEW_HOLDER_DELAY_S, NEW_HOLDER_DELAY_S + 0.9))
        self.assertTrue(self.lender.may_lend(NEW_HOLDER_DELAY_S, NEW_HOLDER_DELAY_S + 1.0))

    def test_a_holder_that_cannot_renew_stops(self) -> None:
        self.lender.on_lease_taken(0.0)
        self.assertTrue(self.lender.may_lend(20.0, 22.9))
        self.assertFalse(self.lender.may_lend(20.0, 23.0))


class FleetLimitTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = SendWorld(5)
        self.world.run(SETTLE_S + 1.0)

    def burst(self, entry: SendEntry, connect_s: float = 0.0) -> int:
        return self.world.burst(entry, TARGET, 2 * ALLOWANCE, connect_s)

    def entry(self, number: int) -> SendEntry:
        return self.world.entries[NodeId(f"e{number}")]

    def lend(self) -> None:
        entry = self.entry(0)
        self.assertTrue(entry.take_lease(self.world.now_s + entry.clock_s))
        self.world.run(NEW_HOLDER_DELAY_S + 2.0)

    def loans(self) -> int:
        return self.world._borrowed()

    def test_an_allowance_by_rate_excess_and_slack(self) -> None:
        self.assertEqual(
            Allowance(37, 16), Allowance.for_cold_start(ColdStart(32.0, 3.0), 1.5, 5.0)
        )

    def test_all_that_may_be_lent_is_lent_and_lapses_with_its_holder(self) -> None:
        self.lend()
        self.assertEqual(LENDABLE, self.loans())
        del self.world.entries[NodeId("e0")]
        self.world.run(LOAN_DURATION_S + 0.1)
        self.assertEqual(0, self.loans())
        self.assertIn("loan_lapsed", [name for e in self.entries() for name in e.log.names])

    def entries(self) -> list[SendEntry]:
        return list(self.world.entries.values())

    def test_a_new_holder_lends_soon_after_the_loss_of_one(self) -> None:
        """Guards against a wait for all loans where it is known who had them."""
        self.lend()
        del self.world.entries[NodeId("e0")]
        other = self.entry(1)
        self.assertTrue(other.take_lease(self.world.now_s + other.clock_s))
        self.world.run(SENT_LAPSE_S + 1.0)
        self.assertEqual(LENDABLE, self.loans())

    def test_a_new_holder_waits_after_the_loss_of_one_of_the_previous_build(self) -> None:
        self.world.start_entry(NodeId("e0"), previous_build=True)
        self.world.run(SETTLE_S)
        self.lend()
        del self.world.entries[NodeId("e0")]
        other = self.entry(1)
        self.assertTrue(other.take_lease(self.world.now_s + other.clock_s))
        self.world.run(NEW_HOLDER_DELAY_S - 0.5)
        self.assertEqual(0, self.loans())
        self.world.run(2.0)
        self.assertEqual(LENDABLE, self.loans())

    def test_targets_get_requests_while_nobody_holds_the_lease(self) -> None:
        self.assertGreater(sum(self.burst(entry) for entry in self.entries()), 0)

    def test_an_isolated_entry_keeps_only_its_static_share(self) -> None:
        self.lend()
        entry = self.entry(1)
        entry.weight = 9.0
        self.world.run(6.0)
        with_loan = self.burst(entry)
        self.world.cut_links |= {frozenset((entry.name, other)) for other in self.world.entries}
        self.world.run(LOAN_DURATION_S + WINDOW_S)
        static_only = self.burst(entry)
        self.assertLess(0, static_only)
        self.assertLess(static_only, with_loan)

    def test_a_late_loan_is_ignored(self) -> None:
        self.lend()
        self.world.delays_s[NodeId("e0")] = LOAN_DURATION_S + 0.1
        self.world.run(2 * LOAN_DURATION_S + 1.0)
        entry = self.entry(1)
        self.assertEqual(0, entry.limit.loan_of(SERVICE, self.world.now_s + entry.clock_s))

    def test_a_restarted_entry_sends_nothing_at_first(self) -> None:
        self.assertGreater(self.burst(self.entry(1)), 0)
        restarted = self.world.start_entry(NodeId("e1"))
        self.world.run(0.5)
        self.assertEqual(0, self.burst(restarted))
        self.world.run(WINDOW_S)
        self.assertGreater(self.burst(restarted), 0)

    def test_a_request_that_waits_for_a_connection_counts_until_a_second_after_its_write(
        self,
    ) -> None:
        entry = self.entry(1)
        self.assertGreater(self.burst(entry, connect_s=3.0), 0)
        self.world.run(3.0 + WINDOW_S - 0.2)
        self.assertEqual(0, self.burst(entry))
        self.world.run(0.4)
        self.assertGreater(self.burst(entry), 0)

    def test_a_target_that_turns_cold_under_load_was_within_the_allowance(self) -> None:
        self.lend()
        for _ in range(100):
            for entry in self.entries():
                self.burst(entry)
            self.world.run(0.1)
        self.assertLessEqual(self.world.max_per_second(), ALLOWANCE)
        self.assertGreaterEqual(self.world.max_per_second(), ALLOWANCE // 2)

    def test_the_returned_wait_is_accurate(self) -> None:
        entry = self.entry(1)
        self.burst(entry)
        wait_s = entry.limit.wait_s(SERVICE, TARGET, self.world.now_s + entry.clock_s)
        self.assertAlmostEqual(WINDOW_S, wait_s, places=3)
        self.world.run(round(wait_s - 0.1, 1))
        self.assertEqual(0, self.burst(entry))
        self.world.run(0.2)
        self.assertGreater(self.burst(entry), 0)

    def test_each_refusal_to_send_is_counted(self) -> None:
        entry = self.entry(1)
        sent = self.burst(entry)
        self.assertEqual(2 * ALLOWANCE - sent, entry.metrics.counters["send_limit.other"])


class HeartbeatTests(testtools.TestCase):
    """Loans exchanged by real heartbeats."""

    def run_world(self, entries: int, work: Callable[[SpreadWorld], None]) -> None:
        def run(loop: VirtualLoop) -> None:
            world = SpreadWorld(loop, entries, 3)
            service = Service(SERVICE, 10, cold_start=ColdStart(32.0, 3.0))
            world.weigh = True
            for entry in world.entries.values():
                entry.serving.apply(Configuration(Version(2), services=(service,)))
            holder = next(iter(world.entries.values()))
            holder.lease.state = LeaseState.HELD
            holder.lease.acquired_revision = 1
            holder.lease.renewed_s = 1e9
            world.run(12.0)
            work(world)

        virtually(run)

    def lent(self, world: SpreadWorld) -> dict[NodeId, int]:
        return {n: e.limit.loan_of(SERVICE, world.now_s) for n, e in world.entries.items()}

    def test_heartbeats_bring_loans_to_all_and_most_to_busy_entries(self) -> None:
        def work(world: SpreadWorld) -> None:
            self.assertEqual(16, sum(self.lent(world).values()))
            busy = list(world.entries)[3]
            for _ in range(40):
                world.entries[busy].meter.record_work("m", 0.5, world.now_s)  # type: ignore[arg-type]
                world.run(0.2)
            loans_now = self.lent(world)
            self.assertLessEqual(sum(loans_now.values()), 16)
            self.assertGreater(loans_now[busy], 6)

        self.run_world(ENTRIES, work)

    def test_an_entry_that_is_cut_off_has_no_loan(self) -> None:
        def work(world: SpreadWorld) -> None:
            isolated = list(world.entries)[3]
            world.cut = lambda sender, receiver: isolated in (sender, receiver)
            world.run(LOAN_DURATION_S + 0.1)
            self.assertEqual(0, self.lent(world)[isolated])

        self.run_world(ENTRIES, work)

    def test_on_large_sites_heads_have_loans_and_no_more_is_lent(self) -> None:
        self.run_world(
            40, lambda world: self.assertIn(sum(self.lent(world).values()), range(1, 17))
        )


class HandOverTests(testtools.TestCase):
    """Real heartbeats after the lease was acquired by another entry."""

    def hand_over(self, work: Callable[[SpreadWorld, list[Loans], LoanKeeper], None]) -> None:
        """Let the first entry lend, and the second one take the lease from it."""

        def run(loop: VirtualLoop) -> None:
            world = SpreadWorld(loop, 3, 1)
            service = Service(SERVICE, 10, cold_start=ColdStart(32.0, 3.0))
            table, all_loans, keepers = MemoryTable(), [], []
            for entry in world.entries.values():
                entry.serving.apply(Configuration(Version(2), services=(service,)))
                name = entry.me.peer.node
                backoff = Backoff(0.1, 1.0, random.Random(1))
                entry.lease = Lease(table, Holder(name, "1"), 1e9, backoff)
                register = LoanRegister(table, entry.lease, backoff)
                me = Borrower(name, "1")
                loans = Loans(me, entry.limit, entry.lease, entry._asked, register=register)
                share, log = entry.limit._static_share, RecordedLog()
                entry.heartbeats._loans, entry.heartbeats._lease = loans, entry.lease
                keeper = LoanKeeper(
                    *(loans, register, entry.lease, share, lambda: None, lambda _: None),
                    *(log, Metrics(None, "entry")),
                )
                all_loans.append(loans)
                keepers.append(keeper)
            former, new = list(world.entries.values())[:2]
            self.take(former.lease, world.now_s)
            for _ in range(100):
                former.lease.renewed_s = world.now_s
                world.run(0.1)
                run_synchronously(keepers[0].update(world.now_s))
            self.assertGreater(all_loans[0].outstanding(world.now_s), 0)
            former.lease.state = LeaseState.ABSENT
            self.take(new.lease, world.now_s)
            run_synchronously(keepers[1].update(world.now_s))
            new.heartbeats.send(world.now_s)
            work(world, all_loans, keepers[1])

        virtually(run)

    def take(self, lease: Lease, now_s: float) -> None:
        run_synchronously(lease.observe(now_s))
        self.assertTrue(run_synchronously(lease.acquire(now_s)))

    def test_borrowers_answer_the_announcement_of_a_lease_at_once(self) -> None:
        """Guards against answers that wait for the next heartbeat of each borrower."""

        def work(world: SpreadWorld, loans: list[Loans], _: LoanKeeper) -> None:
            self.assertEqual(2, len(loans[1].unanswered(world.now_s)))
            world.run(0.1)
            self.assertEqual(frozenset(), loans[1].unanswered(world.now_s))

        self.hand_over(work)

    def test_loans_go_on(self) -> None:
        """Guards against an empty loan that ends a former one before it is known."""

        def work(world: SpreadWorld, loans: list[Loans], keeper: LoanKeeper) -> None:
            for _ in range(30):
                world.run(0.1)
                run_synchronously(keeper.update(world.now_s))
                borrowed = [e.limit.borrowed_total(world.now_s) for e in world.entries.values()]
                self.assertGreaterEqual(sum(borrowed), 16 - len(borrowed))
                self.assertLessEqual(sum(borrowed), 16)

        self.hand_over(work)


__all__ = ["settled_shares"]
