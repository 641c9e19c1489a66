# SPDX-License-Identifier: Apache-2.0
"""Probes of a site of 100 engines by cause, and how soon the loss of a member is noticed.

The baseline probes members of groups that answer each second, and looks for silence each 0.15 s.
"""

import random
from collections import Counter
from collections.abc import Callable

import testtools

from ochreway_core.ids import DomainId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.grouprecord import GroupPhase
from ochreway_direct.coordinator.probing import ProbeCause
from ochreway_direct.entry import SILENCE_CHECK_S, SUSPECT_SILENCE_S
from ochreway_standins.engineworld import LARGE, SMALL, STEP_S, EngineWorld

BASELINE = CoordinatorTuning(probe_heard_s=1.0)
BASELINE_CHECK_S = 0.15


def busy_site(tuning: CoordinatorTuning, engines: int = 100) -> EngineWorld:
    """Return a site of four domains whose groups all answer requests."""
    world = EngineWorld(domains=4, engines=0, tuning=tuning)
    for number in range(engines):
        model = LARGE if number % 8 < 4 else SMALL
        world.add(DomainId(f"d{number % 4}"), staged=model.name)
    world.coordinator.demand.update({LARGE.name: 40.0, SMALL.name: 40.0}, world.now_s)
    world.run(30.0)
    world.coordinator._probing.is_answering = lambda _: True
    return world


def probes_per_s(
    world: EngineWorld, duration_s: float, each_step: Callable[[], None] | None = None
) -> Counter[ProbeCause]:
    counts: Counter[ProbeCause] = Counter()
    due_probes = world.coordinator.due_probes

    def count(now_s: float) -> list[object]:
        due = due_probes(now_s)
        counts.update(each.cause for each in due)
        return list(due)

    world.coordinator.due_probes = count  # type: ignore[method-assign, assignment]
    world.run(duration_s, each_step)
    world.coordinator.due_probes = due_probes  # type: ignore[method-assign]
    return Counter({cause: round(n / duration_s) for cause, n in counts.items()})


def change_a_tenth(world: EngineWorld) -> Callable[[], None]:
    """Return a step that replaces ten engines within 10 s."""
    rng = random.Random(3)
    due_s = sorted(world.now_s + rng.uniform(0.0, 9.0) for _ in range(10))
    left = list(world.engines)

    def step() -> None:
        while due_s and world.now_s >= due_s[0]:
            due_s.pop(0)
            lost = world.engines[left.pop(rng.randrange(len(left)))]
            world.crash(lost.instance)
            world.add(lost.domain, lost.staged)

    return step


def noticed_after_s(tuning: CoordinatorTuning, check_s: float, refused: bool) -> list[float]:
    """Return how long the loss of a member of an answering group stays unnoticed, repeatedly.

    Entries notice that the group is silent, at one of their checks. Probes of the lost member are
    refused, or are not answered, as when its host is off.
    """
    world = busy_site(tuning, engines=24)
    coordinator, rng, after_s = world.coordinator, random.Random(7), []
    on_silence = coordinator.on_silence
    coordinator.on_silence = (  # type: ignore[method-assign]
        lambda instance, _, now_s: on_silence(instance, refused, now_s)
    )
    for _ in range(24):
        world.run(rng.uniform(3.0, 6.0))
        world.run_until(lambda: bool(coordinator.views()), 20.0)
        group = next(g for g in coordinator.groups.values() if g.phase is GroupPhase.SERVING)
        lost = rng.choice(group.members[1:])
        world.crash(lost)
        lost_s = world.now_s
        suspected_s = lost_s + SUSPECT_SILENCE_S + rng.uniform(0.0, check_s)
        while group.phase is GroupPhase.SERVING:
            world.step()
            if world.now_s >= suspected_s:
                coordinator.suspect(group.group, world.now_s)
        after_s.append(world.now_s - lost_s)
        world.add(world.engines[lost].domain, world.engines[lost].staged)
    return after_s


class ProbeCauseTests(testtools.TestCase):
    def test_a_calm_site_of_full_groups_is_probed_half_as_often(self) -> None:
        """Guards against an entry that spends its processor time on probes that show nothing."""
        before = probes_per_s(busy_site(BASELINE), 12.0)
        after = probes_per_s(busy_site(CoordinatorTuning()), 12.0)
        self.assertLessEqual(after.total(), 0.5 * before.total())

    def test_a_site_of_which_a_tenth_changes_is_probed_less_often(self) -> None:
        counts = {}
        for tuning in (BASELINE, CoordinatorTuning()):
            world = busy_site(tuning)
            counts[tuning.probe_heard_s] = probes_per_s(world, 10.0, change_a_tenth(world))
        before, after = counts[1.0], counts[CoordinatorTuning().probe_heard_s]
        self.assertLess(after[ProbeCause.HEARD], 0.5 * before[ProbeCause.HEARD])
        self.assertLess(after.total(), 0.6 * before.total())

    def test_the_loss_of_a_member_is_noticed_as_soon_as_before(self) -> None:
        """Guards against callers of a lost group who wait for a rarer probe."""
        for refused in (True, False):
            before = noticed_after_s(BASELINE, BASELINE_CHECK_S, refused)
            after = noticed_after_s(CoordinatorTuning(), SILENCE_CHECK_S, refused)
            self.assertLessEqual(max(after), max(before))
            self.assertLessEqual(sum(after) / len(after), sum(before) / len(before) + STEP_S / 2)
