# SPDX-License-Identifier: Apache-2.0
"""A cold target never gets more than it can take, whatever fails: entries, links or the store."""

from collections.abc import Callable
from dataclasses import dataclass

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ochreway_core.ids import InstanceId, NodeId
from ochreway_direct.configuration import ColdStart, Service
from tests.direct.sendworld import ALLOWANCE, COLD, LENDABLE, SERVICE, Guards, SendEntry, SendWorld

TARGET = InstanceId("i")
SEEDS = 5
MAX_JOINS = 2
"""As many as a static share has headroom for, in case no entry learns of them."""
BURST_REQUESTS = 80
LARGE = Service(SERVICE, 100, cold_start=ColdStart(26.0, 3.0))
LARGE_ALLOWANCE = 43
LARGE_LENDABLE = 13
"""The rest is divided into static shares of several requests each."""
ALL_GUARDS = Guards()


@dataclass(frozen=True, slots=True)
class Step:
    """An action on an entry, possibly with another entry and a time, and the wait after it."""

    what: str
    which: int
    other: int
    s: float
    then_s: float


class Scenario:
    """Carry out steps on a world."""

    def __init__(self, guards: Guards = ALL_GUARDS, service: Service = COLD) -> None:
        self.world = SendWorld(SEEDS, guards, service)
        self._joined = 0
        self.world.run(11.0)
        self.take(step("take"))
        self.world.run(8.0)

    def run(self, steps: list[Step]) -> int:
        """Return the most requests that the target received within a second."""
        for step in steps:
            ACTIONS[step.what](self, step)
            self.world.run(step.then_s)
        return self.world.max_per_second()

    def entry(self, index: int) -> SendEntry:
        return list(self.world.entries.values())[index % len(self.world.entries)]

    def burst(self, step: Step) -> None:
        self.world.burst(self.entry(step.which), TARGET, BURST_REQUESTS, min(step.s, 0.6))

    def burst_all(self, step: Step) -> None:
        for entry in self.world.entries.values():
            self.world.burst(entry, TARGET, BURST_REQUESTS, min(step.s, 0.6))

    def demand(self, step: Step) -> None:
        self.entry(step.which).weight = step.s * 10.0

    def cut(self, step: Step) -> None:
        self.world.cut_links.add(self._pair(step))

    def isolate(self, step: Step) -> None:
        name = self.entry(step.which).name
        self.world.cut_links |= {frozenset((name, other)) for other in self.world.entries}

    def run_on(self, _: Step) -> None:
        """Do nothing but let time pass."""

    def heal(self, _: Step) -> None:
        self.world.cut_links.clear()
        self.world.delays_s.clear()

    def delay(self, step: Step) -> None:
        self.world.delays_s[self.entry(step.which).name] = step.s

    def take(self, step: Step) -> None:
        entry = self.entry(step.which)
        entry.take_lease(self.world.now_s + entry.clock_s)

    def store_cut(self, step: Step) -> None:
        self.entry(step.which).table.unreachable = True

    def store_deaf(self, step: Step) -> None:
        self.entry(step.which).table.answers_lost = True

    def store_heal(self, step: Step) -> None:
        table = self.entry(step.which).table
        table.unreachable = table.answers_lost = False

    def freeze(self, step: Step) -> None:
        self.entry(step.which).frozen = True

    def wake(self, step: Step) -> None:
        self.world.unfreeze(self.entry(step.which))

    def restart(self, step: Step) -> None:
        self.world.start_entry(self.entry(step.which).name)

    def restart_all(self, _: Step) -> None:
        for name in list(self.world.entries):
            self.world.start_entry(name)

    def restart_old(self, step: Step) -> None:
        self.world.start_entry(self.entry(step.which).name, previous_build=True)

    def hand_over(self, step: Step) -> None:
        for entry in self.world.entries.values():
            entry.release_lease(self.world.now_s + entry.clock_s)
        self.take(step)

    def store_late(self, step: Step) -> None:
        """Let a write whose answer was lost take effect now."""
        held_up = self.entry(step.which).table.held_up
        if held_up is not None:
            self.world.table.commit_now(held_up)

    def leave(self, step: Step) -> None:
        if len(self.world.entries) > 2:
            self.world.kill(self.entry(step.which).name)

    def join(self, step: Step) -> None:
        if self._joined < MAX_JOINS:
            self._joined += 1
            self.world.start_entry(NodeId(f"new{self._joined}"))

    def _pair(self, step: Step) -> frozenset[NodeId]:
        return frozenset((self.entry(step.which).name, self.entry(step.other).name))


ACTIONS: dict[str, Callable[[Scenario, Step], None]] = {
    name: getattr(Scenario, name)
    for name in (
        "run_on",
        *("burst", "burst_all", "demand", "cut", "isolate", "heal", "delay", "take"),
        *("store_cut", "store_deaf", "store_heal", "freeze", "wake", "restart", "leave", "join"),
        *("restart_all", "restart_old", "hand_over", "store_late"),
    )
}
TIMES = st.sampled_from((0.0, 0.1, 0.3, 0.5, 0.9, 1.0, 1.2, 2.0, 3.0, 7.0))
FREQUENT_ACTIONS = st.sampled_from(("burst", "burst_all", "take"))
STEPS = st.lists(
    st.builds(
        Step,
        what=st.one_of(FREQUENT_ACTIONS, st.sampled_from(tuple(ACTIONS))),
        which=st.integers(0, SEEDS + MAX_JOINS),
        other=st.integers(0, SEEDS + MAX_JOINS),
        s=TIMES,
        then_s=TIMES,
    ),
    max_size=40,
)


def step(what: str, which: int = 0, other: int = 0, s: float = 0.0, then_s: float = 0.0) -> Step:
    return Step(what, which, other, s, then_s)


class SendLimitPropertyTests(testtools.TestCase):
    @seed(1)
    @settings(max_examples=400, deadline=None, database=None)
    @given(STEPS)
    def test_no_interleaving_sends_more_than_a_cold_target_bears(self, steps: list[Step]) -> None:
        scenario = Scenario()
        self.assertLessEqual(scenario.run(steps), ALLOWANCE)
        self.assertLessEqual(scenario.world.max_borrowed, LENDABLE)

    @seed(2)
    @settings(max_examples=150, deadline=None, database=None)
    @given(STEPS)
    def test_nor_does_one_where_static_shares_grow_once_all_are_known(
        self, steps: list[Step]
    ) -> None:
        scenario = Scenario(service=LARGE)
        self.assertLessEqual(scenario.run(steps), LARGE_ALLOWANCE)
        self.assertLessEqual(scenario.world.max_borrowed, LARGE_LENDABLE)


ONE_BORROWER = [step("demand", 1, s=7.0, then_s=8.0)]
"""The second entry borrows everything that may be lent."""
MOVE_LOAN = [step("demand", 1, s=0.0), step("demand", 3, s=7.0)]
"""The fourth entry borrows it."""
TWO_HOLDERS = [
    *ONE_BORROWER,
    *(step("cut", near, far) for near in (0, 1) for far in (2, 3, 4)),
    step("demand", 4, then_s=1.5),
    step("demand", 3, s=7.0),
    step("store_cut", 0),
    step("take", 2, then_s=0.9),
    step("burst_all"),
]
"""The former holder continues to lend in its part of the site while another holds the lease."""
LOAN_MOVED_UNNOTICED = [*ONE_BORROWER, *MOVE_LOAN, step("cut", 0, 1, then_s=0.6), step("burst_all")]
"""A loan moves from one entry to another, and the first does not learn of it."""
LOAN_DELAYED = [
    *ONE_BORROWER,
    step("delay", 0, s=7.0, then_s=0.6),
    step("delay", 0, then_s=0.1),
    *MOVE_LOAN,
    step("cut", 0, 1, then_s=6.9),
    step("burst_all"),
]
"""A loan arrives seven seconds late, when it has been lent to another entry."""
LATE_CONNECTIONS = [step("burst_all", s=0.6, then_s=1.2), step("burst_all")]
"""Requests allowed more than a second apart are written within one second."""

RESTART_ALL = [
    step("burst_all"),
    *(step("restart", number) for number in range(SEEDS)),
    step("burst_all"),
]
"""Every entry restarts within the second."""


def holder_killed(wait_s: float) -> list[Step]:
    """The holder borrowed everything, sends a burst and is killed."""
    return [
        *(step("demand", 0, s=7.0, then_s=9.6), step("demand", 3, s=7.0)),
        *(step("burst", 0), step("leave", 0), step("take", 1, then_s=wait_s), step("burst_all")),
    ]


def holder_frozen(wait_s: float) -> list[Step]:
    """The holder borrowed everything, is frozen, and wakes when another one holds the lease."""
    return [
        *(step("demand", 0, s=7.0, then_s=8.0), step("demand", 0), step("demand", 3, s=7.0)),
        step("freeze", 0),
        *(step("take", 2, then_s=wait_s), step("burst", 3), step("wake", 0), step("burst", 0)),
        *(step("burst_all", then_s=0.3), step("burst_all")),
    ]


def cut_off(wait_s: float) -> list[Step]:
    """A borrower is cut off during a planned hand-over, and returns with its old loan."""
    return [
        *(*ONE_BORROWER, *MOVE_LOAN, step("isolate", 1), step("hand_over", 2, then_s=wait_s)),
        *(step("heal"), step("burst", 1, then_s=0.3), step("burst_all")),
    ]


def handed_over(wait_s: float) -> list[Step]:
    """The loan of a borrower moves to another one during a planned hand-over."""
    return [
        *(*ONE_BORROWER, *MOVE_LOAN, step("hand_over", 2, then_s=wait_s), step("burst_all")),
        *(step("run_on", then_s=0.6), step("burst_all")),
    ]


def handed_over_with_a_loan_under_way(wait_s: float) -> list[Step]:
    """A loan arrives after its borrower has told a new holder that it holds none."""
    return [
        *(step("demand", 3, s=7.0, then_s=8.0), step("demand", 3), step("demand", 1, s=7.0)),
        *(step("run_on", then_s=3.0 + wait_s), step("delay", 0, s=0.4, then_s=0.3)),
        *(step("demand", 4, s=7.0), step("demand", 1), step("hand_over", 2, then_s=0.2)),
        *(step("cut", 1, 2, then_s=0.7), step("burst_all", then_s=0.3), step("burst_all")),
    ]


def handed_over_twice(wait_s: float) -> list[Step]:
    """A borrower that is cut off has its loan from the holder before the former one."""
    return [
        *(*ONE_BORROWER, *MOVE_LOAN, step("isolate", 1), step("hand_over", 2, then_s=wait_s)),
        *(step("burst", 1), step("hand_over", 4, then_s=0.9), step("burst_all")),
    ]


JOINED_BORROWER = [step("demand", 5, s=7.0, then_s=8.0), step("demand", 5)]
"""An entry that has joined borrows everything that may be lent."""


def joined(wait_s: float) -> list[Step]:
    """An entry joins, borrows everything and is cut off during a planned hand-over."""
    return [
        *(step("join"), *JOINED_BORROWER, step("demand", 3, s=7.0), step("isolate", 5)),
        *(step("hand_over", 2, then_s=wait_s), step("burst_all")),
    ]


def previous_build_between(wait_s: float) -> list[Step]:
    """A holder of the previous build lends to an entry that joins, and then ends."""
    return [
        *(step("restart_old", 4, then_s=3.0), step("hand_over", 4, then_s=8.0), step("join")),
        *(*JOINED_BORROWER, step("demand", 3, s=7.0), step("isolate", 5), step("restart", 4)),
        *(step("take", 2, then_s=wait_s), step("burst", 5, then_s=0.9), step("burst_all")),
    ]


def late_write(wait_s: float) -> list[Step]:
    """A write that leaves a borrower out takes effect after the borrower was lent to again."""
    return [
        *(step("join"), step("demand", 5, s=7.0, then_s=8.0)),
        *(step("isolate", 5, then_s=3.0 + wait_s), step("store_cut", 0, then_s=0.6)),
        *(step("heal", then_s=0.6), step("store_heal", 0, then_s=0.3)),
        *(step("store_late", 0, then_s=8.0), step("demand", 5), step("demand", 3, s=7.0)),
        *(step("isolate", 5), step("hand_over", 2, then_s=0.9), step("burst_all")),
    ]


def bound_raised(wait_s: float) -> list[Step]:
    """A borrower that had no loan gets one and is cut off during a planned hand-over."""
    return [
        *(step("demand", 0, s=7.0, then_s=8.0), step("demand", 0), step("demand", 3, s=7.0)),
        *(step("run_on", then_s=4.5), step("isolate", 3), step("demand", 1, s=7.0)),
        *(step("hand_over", 2, then_s=wait_s), step("burst_all", then_s=0.3), step("burst_all")),
    ]


def dark_table(wait_s: float) -> list[Step]:
    """The table is unavailable as soon as a new holder has taken the lease."""
    return [
        *(*ONE_BORROWER, *MOVE_LOAN, step("isolate", 1), step("hand_over", 2)),
        *(step("store_cut", 2, then_s=wait_s), step("burst_all")),
    ]


def all_killed(wait_s: float) -> list[Step]:
    """All entries are killed while they use their loans, and start again at once."""
    return [
        *(*ONE_BORROWER, step("burst_all"), step("restart_all"), step("take", 1, then_s=wait_s)),
        step("burst_all"),
    ]


def all_killed_but_one(wait_s: float) -> list[Step]:
    """All entries are killed except one that is cut off and has borrowed everything."""
    return [
        *(*ONE_BORROWER, step("isolate", 1), step("restart", 0), step("restart", 2)),
        *(step("restart", 3), step("restart", 4), step("demand", 3, s=7.0), step("take", 2)),
        *(step("run_on", then_s=wait_s), step("burst_all", then_s=0.3), step("burst_all")),
    ]


WAITS_S = tuple(tenths / 10 for tenths in range(22))


class ChangeOfHolderTests(testtools.TestCase):
    """No change of the holder sends more than a target bears; each check finds a planted fault."""

    def assert_needed(
        self, steps: Callable[[float], list[Step]], without: Guards, sent_too_much: bool = True
    ) -> None:
        """Check that steps keep to the limits at all times, and exceed one at some without a guard.

        That is the limit on what is sent, or only the one on what is lent.
        """
        for wait_s in WAITS_S:
            sent, lent = self.run_with(ALL_GUARDS, steps(wait_s))
            self.assertLessEqual(sent, ALLOWANCE)
            self.assertLessEqual(lent, LENDABLE)
        totals = (self.run_with(without, steps(wait_s)) for wait_s in WAITS_S)
        found = any(sent > ALLOWANCE if sent_too_much else lent > LENDABLE for sent, lent in totals)
        self.assertTrue(found, "fault not found")

    def run_with(self, guards: Guards, steps: list[Step]) -> tuple[int, int]:
        """Return the most that was sent to a target within a second, and the most lent."""
        scenario = Scenario(guards)
        return scenario.run(steps), scenario.world.max_borrowed

    def test_a_holder_is_killed(self) -> None:
        self.assert_needed(holder_killed, Guards(ended_processes_counted=False))

    def test_a_frozen_holder_wakes_with_its_loan(self) -> None:
        self.assert_needed(holder_frozen, Guards(answers_awaited=False))

    def test_an_entry_that_was_cut_off_returns_with_its_loan(self) -> None:
        self.assert_needed(cut_off, Guards(answers_awaited=False))

    def test_a_planned_hand_over(self) -> None:
        self.assert_needed(handed_over, Guards(held_loans_counted=False))

    def test_a_loan_is_under_way_during_a_hand_over(self) -> None:
        self.assert_needed(handed_over_with_a_loan_under_way, Guards(older_leases_refused=False))

    def test_two_hand_overs_in_quick_succession(self) -> None:
        self.assert_needed(handed_over_twice, Guards(former_borrowers_kept=False))

    def test_an_entry_joins_and_borrows(self) -> None:
        self.assert_needed(joined, Guards(borrowers_registered=False))

    def test_a_process_of_the_previous_build_held_the_lease_in_between(self) -> None:
        self.assert_needed(previous_build_between, Guards(row_of_former_lease_only=False))

    def test_a_write_without_a_reply_takes_effect_late(self) -> None:
        self.assert_needed(late_write, Guards(lost_writes_doubted=False))

    def test_a_borrower_is_lent_more_after_its_bound_was_registered(self) -> None:
        self.assert_needed(bound_raised, Guards(bounds_respected=False), sent_too_much=False)

    def test_the_table_is_dark_after_a_hand_over(self) -> None:
        without = Guards(dark_table_waited_for=False, borrowers_registered=False)
        self.assert_needed(dark_table, without)

    def test_all_entries_are_killed_at_once(self) -> None:
        self.assert_needed(all_killed, Guards(starts_silent=False))

    def test_all_entries_are_killed_except_one_that_is_cut_off(self) -> None:
        self.assert_needed(all_killed_but_one, Guards(answers_awaited=False))


class GuardTests(testtools.TestCase):
    def assert_needed(self, steps: list[Step], without: Guards) -> None:
        """Check that steps respect the limit with a guard, and break it without."""
        self.assertLessEqual(Scenario().run(steps), ALLOWANCE)
        self.assertGreater(Scenario(without).run(steps), ALLOWANCE)

    def test_a_limit_is_enforced(self) -> None:
        self.assert_needed([step("burst")], Guards(limited=False))

    def test_a_new_holder_waits_for_the_loans_of_the_former_one(self) -> None:
        self.assert_needed(TWO_HOLDERS, Guards(new_holder_waits=False))

    def test_loans_count_until_they_have_lapsed(self) -> None:
        self.assert_needed(LOAN_MOVED_UNNOTICED, Guards(loans_counted=False))

    def test_loans_last_from_their_echo(self) -> None:
        self.assert_needed(LOAN_DELAYED, Guards(loans_from_echo=False))

    def test_requests_count_until_they_were_written(self) -> None:
        self.assert_needed(LATE_CONNECTIONS, Guards(counted_until_written=False))

    def test_new_incarnations_send_nothing_at_first(self) -> None:
        self.assert_needed(RESTART_ALL, Guards(starts_silent=False))


__all__ = ["Scenario", "Step", "step"]
