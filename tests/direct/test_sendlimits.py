# SPDX-License-Identifier: Apache-2.0
"""What becomes of the shares of a cold target's allowance, one failure each."""

from collections.abc import Callable

import testtools

from ochreway_core.ids import InstanceId, NodeId, Version
from ochreway_direct.configuration import ColdStart, Configuration, Service
from ochreway_direct.leases.lease import LeaseState
from ochreway_direct.sendlimits import standingshare
from ochreway_direct.sendlimits.allowance import Allowance
from ochreway_direct.sendlimits.lender import LAPSED_S, QUIET_S, Lender
from ochreway_direct.sendlimits.loan import LENT_S
from ochreway_direct.sendlimits.sendwindow import HELD_S
from ochreway_direct.sendlimits.standingshare import (
    ALONE_S,
    HEADROOM,
    REMEMBERED_S,
    SETTLED_MESH_S,
    SETTLED_S,
    StandingShare,
)
from ochreway_standins.spreadworld import SpreadWorld, VirtualLoop, virtually
from tests.direct.sendworld import ALLOWANCE, LENDABLE, SERVICE, SendEntry, SendWorld

TARGET = InstanceId("i")
PART = 37
ENTRIES = 13
BEAT_S = 1.0


def nodes(number: int) -> list[NodeId]:
    return [NodeId(f"e{n}") for n in range(number)]


def standing(names: list[NodeId], for_s: float = SETTLED_S) -> dict[NodeId, StandingShare]:
    """Return the shares of entries that have known each other for a while."""
    shares = {name: StandingShare(name, len(names), 0.0) for name in names}
    for name, share in shares.items():
        others = [each for each in names if each != name]
        share.learn(others, True, 0.0)
        share.learn(others, True, for_s)
    return shares


def total(shares: dict[NodeId, StandingShare], part: int, now_s: float, target: str = "i") -> int:
    return sum(each.of(part, InstanceId(target), now_s) for each in shares.values())


class StandingShareTests(testtools.TestCase):
    def test_shares_of_entries_that_know_each_other_add_up_to_no_more(self) -> None:
        for number in (1, 2, 5, 13, 24, 34, 36, 60, 300):
            shares = standing(nodes(number))
            for target in range(5):
                found = total(shares, PART, SETTLED_S, f"i{target}")
                self.assertLessEqual(found, PART)
                self.assertGreater(found, 0)

    def test_as_many_as_there_is_headroom_for_may_be_unheard_of(self) -> None:
        for number in (2, 5, 13, 33, 34, 35, 36, 60, 300):
            unheard = max(HEADROOM, number // 8)
            names = nodes(number + unheard)
            known = standing(names[:number]) | {
                name: share for name, share in standing(names).items() if name in names[number:]
            }
            for target in range(20):
                self.assertLessEqual(total(known, PART, SETTLED_S, f"i{target}"), PART)

    def test_without_headroom_entries_unheard_of_break_the_sum(self) -> None:
        self.patch(standingshare, "HEADROOM", 0)
        self.patch(standingshare, "HEADROOM_PART", 1000)
        names = nodes(15)
        known = standing(names[:13]) | {
            name: share for name, share in standing(names).items() if name in names[13:]
        }
        self.assertGreater(total(known, PART, SETTLED_S), PART)

    def test_more_entries_than_requests_each_have_some_targets(self) -> None:
        names = nodes(60)
        shares = standing(names)
        targets = [InstanceId(f"i{n}") for n in range(40)]
        for share in shares.values():
            found = sum(share.of(PART, target, SETTLED_S) for target in targets)
            self.assertGreater(found, len(targets) // 4)

    def test_an_entry_that_joins_takes_one_until_it_knows_the_others(self) -> None:
        share = StandingShare(NodeId("new"), 3, 0.0)
        share.learn(nodes(4), True, 0.0)
        self.assertEqual(1, share.of(PART, TARGET, SETTLED_MESH_S - 0.1))
        share.learn(nodes(13), True, SETTLED_MESH_S)
        self.assertIn(share.of(PART, TARGET, SETTLED_MESH_S), (2, 3))

    def test_on_a_large_site_it_takes_longer_to_know_the_others(self) -> None:
        share = StandingShare(NodeId("new"), 3, 0.0)
        share.learn(nodes(30), True, 0.0)
        large = 10 * PART
        self.assertEqual(1, share.of(large, TARGET, SETTLED_S - 0.1))
        self.assertGreater(share.of(large, TARGET, SETTLED_S), 1)

    def test_an_entry_that_never_heard_others_goes_on_taking_one(self) -> None:
        share = StandingShare(NodeId("new"), 3, 0.0)
        for now_s in range(100):
            share.learn((), False, now_s)
        self.assertEqual(1, share.of(PART, TARGET, 100.0))

    def test_an_entry_that_is_cut_off_takes_one_after_a_while(self) -> None:
        share = standing(nodes(3))[NodeId("e0")]
        self.assertGreater(share.of(PART, TARGET, SETTLED_S + ALONE_S), 1)
        self.assertEqual(1, share.of(PART, TARGET, SETTLED_S + ALONE_S + 0.1))

    def test_an_entry_that_is_heard_again_takes_one_until_it_knows_the_others(self) -> None:
        share = standing(nodes(3))[NodeId("e0")]
        back_s = SETTLED_S + ALONE_S + 5.0
        share.learn(nodes(3), True, back_s)
        self.assertEqual(1, share.of(PART, TARGET, back_s + SETTLED_MESH_S - 0.1))
        share.learn(nodes(3), True, back_s + SETTLED_MESH_S)
        self.assertGreater(share.of(PART, TARGET, back_s + SETTLED_MESH_S), 1)

    def test_an_entry_that_left_counts_for_long(self) -> None:
        share = StandingShare(NodeId("me"), 2, 0.0)
        share.learn(nodes(12), True, 0.0)
        for beat in range(round(REMEMBERED_S / BEAT_S)):
            share.learn(nodes(1), True, beat * BEAT_S)
            self.assertEqual(ENTRIES, share.known)
        share.learn(nodes(1), True, REMEMBERED_S)
        self.assertEqual(2, share.known)


class LenderTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lender = Lender()
        self.weights = dict.fromkeys(nodes(4), 0.0)

    def lend(self, node: int, now_s: float) -> int:
        loan = self.lender.lend(NodeId(f"e{node}"), {SERVICE: 16}, self.weights, now_s)
        return loan.shares.get(SERVICE, 0)

    def test_all_of_it_is_lent_by_what_entries_are_asked_for(self) -> None:
        self.weights[NodeId("e0")] = 3.0
        found = [self.lend(node, 0.0) for node in range(4)]
        self.assertEqual(16, sum(found))
        self.assertGreater(found[0], 10)

    def test_a_share_grows_only_when_others_have_lapsed(self) -> None:
        for node in range(4):
            self.assertEqual(4, self.lend(node, 0.0))
        self.weights = {NodeId("e0"): 0.0}
        self.assertEqual(4, self.lend(0, LAPSED_S - 0.1))
        self.assertEqual(16, self.lend(0, LAPSED_S))

    def test_an_entry_that_is_not_in_touch_is_lent_nothing(self) -> None:
        self.assertEqual(0, self.lend(9, 0.0))

    def test_a_new_holder_waits_for_the_former_ones_loans(self) -> None:
        self.assertFalse(self.lender.lends(0.0, 0.0))
        self.lender.begin(1.0)
        self.assertFalse(self.lender.lends(QUIET_S, QUIET_S + 0.9))
        self.assertTrue(self.lender.lends(QUIET_S, QUIET_S + 1.0))

    def test_a_holder_that_cannot_renew_stops(self) -> None:
        self.lender.begin(0.0)
        self.assertTrue(self.lender.lends(20.0, 22.9))
        self.assertFalse(self.lender.lends(20.0, 23.0))


class FleetLimitTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = SendWorld(5)
        self.world.run(SETTLED_S + 1.0)

    def burst(self, entry: SendEntry, connect_s: float = 0.0) -> int:
        return self.world.burst(entry, TARGET, 2 * ALLOWANCE, connect_s)

    def entry(self, number: int) -> SendEntry:
        return self.world.entries[NodeId(f"e{number}")]

    def lend(self) -> None:
        entry = self.entry(0)
        self.assertTrue(entry.take(self.world.now_s + entry.clock_s))
        self.world.run(QUIET_S + 2.0)

    def loans(self) -> int:
        return self.world._lent()

    def test_an_allowance_by_rate_excess_and_slack(self) -> None:
        self.assertEqual(Allowance(37, 16), Allowance.of(ColdStart(32.0, 3.0), 1.5, 5.0))

    def test_all_that_may_be_lent_is_lent_and_lapses_with_its_holder(self) -> None:
        self.lend()
        self.assertEqual(LENDABLE, self.loans())
        del self.world.entries[NodeId("e0")]
        self.world.run(LENT_S + 0.1)
        self.assertEqual(0, self.loans())
        self.assertIn("loan_lapsed", [name for e in self.entries() for name in e.log.names])

    def entries(self) -> list[SendEntry]:
        return list(self.world.entries.values())

    def test_a_new_holder_lends_after_the_loss_of_one(self) -> None:
        self.lend()
        del self.world.entries[NodeId("e0")]
        other = self.entry(1)
        self.assertTrue(other.take(self.world.now_s + other.clock_s))
        self.world.run(QUIET_S - 0.5)
        self.assertEqual(0, self.loans())
        self.world.run(2.0)
        self.assertEqual(LENDABLE, self.loans())

    def test_targets_get_requests_while_nobody_holds_the_lease(self) -> None:
        self.assertGreater(sum(self.burst(entry) for entry in self.entries()), 0)

    def test_a_cut_off_entry_keeps_its_standing_share_only(self) -> None:
        self.lend()
        entry = self.entry(1)
        entry.weight = 9.0
        self.world.run(6.0)
        with_loan = self.burst(entry)
        self.world.cuts |= {frozenset((entry.name, other)) for other in self.world.entries}
        self.world.run(LENT_S + HELD_S)
        alone = self.burst(entry)
        self.assertLess(0, alone)
        self.assertLess(alone, with_loan)

    def test_a_loan_that_comes_late_is_none(self) -> None:
        self.lend()
        self.world.delays_s[NodeId("e0")] = LENT_S + 0.1
        self.world.run(2 * LENT_S + 1.0)
        entry = self.entry(1)
        self.assertEqual(0, entry.limit.loan_of(SERVICE, self.world.now_s + entry.clock_s))

    def test_an_entry_that_is_back_sends_nothing_at_first(self) -> None:
        self.assertGreater(self.burst(self.entry(1)), 0)
        back = self.world.join(NodeId("e1"))
        self.world.run(0.5)
        self.assertEqual(0, self.burst(back))
        self.world.run(HELD_S)
        self.assertGreater(self.burst(back), 0)

    def test_what_waits_for_a_connection_counts_until_a_second_after_it_was_written(self) -> None:
        entry = self.entry(1)
        self.assertGreater(self.burst(entry, connect_s=3.0), 0)
        self.world.run(3.0 + HELD_S - 0.2)
        self.assertEqual(0, self.burst(entry))
        self.world.run(0.4)
        self.assertGreater(self.burst(entry), 0)

    def test_a_target_that_turns_cold_under_load_was_within_the_allowance(self) -> None:
        self.lend()
        for _ in range(100):
            for entry in self.entries():
                self.burst(entry)
            self.world.run(0.1)
        self.assertLessEqual(self.world.most(), ALLOWANCE)
        self.assertGreaterEqual(self.world.most(), ALLOWANCE // 2)

    def test_the_wait_that_is_told_is_true(self) -> None:
        entry = self.entry(1)
        self.burst(entry)
        wait_s = entry.limit.wait_s(SERVICE, TARGET, self.world.now_s + entry.clock_s)
        self.assertAlmostEqual(HELD_S, wait_s, places=3)
        self.world.run(round(wait_s - 0.1, 1))
        self.assertEqual(0, self.burst(entry))
        self.world.run(0.2)
        self.assertGreater(self.burst(entry), 0)

    def test_each_refusal_to_send_is_counted(self) -> None:
        entry = self.entry(1)
        sent = self.burst(entry)
        self.assertEqual(2 * ALLOWANCE - sent, entry.metrics.counters["send_limit.other"])


class HeartbeatTests(testtools.TestCase):
    """What real heartbeats carry."""

    def spread(self, entries: int, work: Callable[[SpreadWorld], None]) -> None:
        def run(loop: VirtualLoop) -> None:
            world = SpreadWorld(loop, entries, 3)
            service = Service(SERVICE, 10, cold_start=ColdStart(32.0, 3.0))
            world.weigh = True
            for entry in world.entries.values():
                entry.serving.apply(Configuration(Version(2), services=(service,)))
            holder = next(iter(world.entries.values()))
            holder.lease.state = LeaseState.HELD
            holder.lease.taken_at = 1
            holder.lease.renewed_s = 1e9
            world.run(12.0)
            work(world)

        virtually(run)

    def lent(self, world: SpreadWorld) -> dict[NodeId, int]:
        return {n: e.limit.loan_of(SERVICE, world.now_s) for n, e in world.entries.items()}

    def test_they_bring_loans_to_all_and_to_those_with_callers_first(self) -> None:
        def work(world: SpreadWorld) -> None:
            self.assertEqual(16, sum(self.lent(world).values()))
            busy = list(world.entries)[3]
            for _ in range(40):
                world.entries[busy].meter.record_work("m", 0.5, world.now_s)  # type: ignore[arg-type]
                world.run(0.2)
            found = self.lent(world)
            self.assertLessEqual(sum(found.values()), 16)
            self.assertGreater(found[busy], 6)

        self.spread(ENTRIES, work)

    def test_an_entry_that_is_cut_off_has_no_loan(self) -> None:
        def work(world: SpreadWorld) -> None:
            lone = list(world.entries)[3]
            world.cut = lambda sender, receiver: lone in (sender, receiver)
            world.run(LENT_S + 0.1)
            self.assertEqual(0, self.lent(world)[lone])

        self.spread(ENTRIES, work)

    def test_on_large_sites_heads_have_loans_and_no_more_is_lent(self) -> None:
        self.spread(40, lambda world: self.assertIn(sum(self.lent(world).values()), range(1, 17)))


__all__ = ["standing"]
