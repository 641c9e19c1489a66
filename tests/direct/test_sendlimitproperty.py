# SPDX-License-Identifier: Apache-2.0
"""Whatever happens to entries, links and the store, a target gets no more than it bears."""

from collections.abc import Callable
from dataclasses import dataclass

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ochreway_core.ids import InstanceId, NodeId
from tests.direct.sendworld import ALLOWANCE, LENDABLE, Guards, SendEntry, SendWorld

TARGET = InstanceId("i")
SEEDS = 5
JOINS_AT_MOST = 2
"""As many as a standing share has headroom for, should nobody hear of them."""
ANY_NUMBER = 80
ALL_GUARDS = Guards()


@dataclass(frozen=True, slots=True)
class Step:
    """Do something to an entry, which may involve another and a time, then let time pass."""

    what: str
    which: int
    other: int
    s: float
    then_s: float


class Play:
    """Carry steps out on a world."""

    def __init__(self, guards: Guards = ALL_GUARDS) -> None:
        self.world = SendWorld(SEEDS, guards)
        self._joined = 0
        self.world.run(11.0)
        self.take(step("take"))
        self.world.run(8.0)

    def run(self, steps: list[Step]) -> int:
        """Return the most requests that the target got within a second."""
        for step in steps:
            ACTS[step.what](self, step)
            self.world.run(step.then_s)
        return self.world.most()

    def entry(self, index: int) -> SendEntry:
        return list(self.world.entries.values())[index % len(self.world.entries)]

    def burst(self, step: Step) -> None:
        self.world.burst(self.entry(step.which), TARGET, ANY_NUMBER, min(step.s, 0.6))

    def burst_all(self, step: Step) -> None:
        for entry in self.world.entries.values():
            self.world.burst(entry, TARGET, ANY_NUMBER, min(step.s, 0.6))

    def demand(self, step: Step) -> None:
        self.entry(step.which).weight = step.s * 10.0

    def cut(self, step: Step) -> None:
        self.world.cuts.add(self._pair(step))

    def isolate(self, step: Step) -> None:
        name = self.entry(step.which).name
        self.world.cuts |= {frozenset((name, other)) for other in self.world.entries}

    def heal(self, _: Step) -> None:
        self.world.cuts.clear()
        self.world.delays_s.clear()

    def delay(self, step: Step) -> None:
        self.world.delays_s[self.entry(step.which).name] = step.s

    def take(self, step: Step) -> None:
        entry = self.entry(step.which)
        entry.take(self.world.now_s + entry.clock_s)

    def store_cut(self, step: Step) -> None:
        self.entry(step.which).table.cut = True

    def store_deaf(self, step: Step) -> None:
        self.entry(step.which).table.answers_lost = True

    def store_heal(self, step: Step) -> None:
        table = self.entry(step.which).table
        table.cut = table.answers_lost = False

    def freeze(self, step: Step) -> None:
        self.entry(step.which).frozen = True

    def wake(self, step: Step) -> None:
        self.world.wake(self.entry(step.which))

    def restart(self, step: Step) -> None:
        self.world.join(self.entry(step.which).name)

    def leave(self, step: Step) -> None:
        if len(self.world.entries) > 2:
            del self.world.entries[self.entry(step.which).name]

    def join(self, step: Step) -> None:
        if self._joined < JOINS_AT_MOST:
            self._joined += 1
            self.world.join(NodeId(f"new{self._joined}"))

    def _pair(self, step: Step) -> frozenset[NodeId]:
        return frozenset((self.entry(step.which).name, self.entry(step.other).name))


ACTS: dict[str, Callable[[Play, Step], None]] = {
    name: getattr(Play, name)
    for name in (
        *("burst", "burst_all", "demand", "cut", "isolate", "heal", "delay", "take"),
        *("store_cut", "store_deaf", "store_heal", "freeze", "wake", "restart", "leave", "join"),
    )
}
TIMES = st.sampled_from((0.0, 0.1, 0.3, 0.5, 0.9, 1.0, 1.2, 2.0, 3.0, 7.0))
USUAL = st.sampled_from(("burst", "burst_all", "take"))
STEPS = st.lists(
    st.builds(
        Step,
        what=st.one_of(USUAL, st.sampled_from(tuple(ACTS))),
        which=st.integers(0, SEEDS + JOINS_AT_MOST),
        other=st.integers(0, SEEDS + JOINS_AT_MOST),
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
        play = Play()
        self.assertLessEqual(play.run(steps), ALLOWANCE)
        self.assertLessEqual(play.world.most_lent, LENDABLE)


BUSY = [step("demand", 1, s=7.0, then_s=8.0)]
"""Has the second entry borrow all that there is to lend."""
TURN = [step("demand", 1, s=0.0), step("demand", 3, s=7.0)]
"""Has the fourth entry borrow it."""
TWO_HOLDERS = [
    *BUSY,
    *(step("cut", near, far) for near in (0, 1) for far in (2, 3, 4)),
    step("demand", 4, then_s=1.5),
    step("demand", 3, s=7.0),
    step("store_cut", 0),
    step("take", 2, then_s=0.9),
    step("burst_all"),
]
"""Has the former holder lend on in its part of the site while another holds the lease."""
TURNED = [*BUSY, *TURN, step("cut", 0, 1, then_s=0.6), step("burst_all")]
"""Has a share turn from one entry to another, which the first does not hear of."""
HELD_UP = [
    *BUSY,
    step("delay", 0, s=7.0, then_s=0.6),
    step("delay", 0, then_s=0.1),
    *TURN,
    step("cut", 0, 1, then_s=6.9),
    step("burst_all"),
]
"""Has a loan come seven seconds late, when another entry has its share."""
LATE_CONNECTIONS = [step("burst_all", s=0.6, then_s=1.2), step("burst_all")]
"""Has requests that were chosen more than a second apart be written within one."""

BACK_AT_ONCE = [
    step("burst_all"),
    *(step("restart", number) for number in range(SEEDS)),
    step("burst_all"),
]
"""Has every entry start again within the second."""


class GuardsOutTests(testtools.TestCase):
    def assert_needed(self, steps: list[Step], without: Guards) -> None:
        """Check that steps keep the promise by a guard, and break it without."""
        self.assertLessEqual(Play().run(steps), ALLOWANCE)
        self.assertGreater(Play(without).run(steps), ALLOWANCE)

    def test_a_limit(self) -> None:
        self.assert_needed([step("burst")], Guards(limited=False))

    def test_a_new_holder_that_waits_for_the_loans_of_the_former_one(self) -> None:
        self.assert_needed(TWO_HOLDERS, Guards(quiet=False))

    def test_loans_that_count_until_they_have_lapsed(self) -> None:
        self.assert_needed(TURNED, Guards(counted=False))

    def test_loans_that_last_from_their_echo(self) -> None:
        self.assert_needed(HELD_UP, Guards(echoed=False))

    def test_requests_that_count_until_they_were_written(self) -> None:
        self.assert_needed(LATE_CONNECTIONS, Guards(held=False))

    def test_lives_that_send_nothing_at_first(self) -> None:
        self.assert_needed(BACK_AT_ONCE, Guards(opened_late=False))


__all__ = ["Play", "Step", "step"]
