# SPDX-License-Identifier: Apache-2.0
"""Groups that each model with callers keeps, over builds drawn by Hypothesis and in virtual time.

Guards against a model whose callers are all refused because engines are short and groups of another
model have more utility per engine.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

import testtools
from hypothesis import example, given
from hypothesis import strategies as st

from ochreway_core.ids import DomainId, HallId, InstanceId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.callers import models_with_callers
from ochreway_direct.coordinator.capacity import Capacity
from ochreway_direct.coordinator.census import Census
from ochreway_direct.coordinator.demand import MIN_DEMAND, Demand
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.groupplan import GroupPlan
from ochreway_direct.coordinator.grouprecord import GroupPhase
from ochreway_direct.coordinator.layout import make_plan
from ochreway_direct.coordinator.placement import GroupSlot, groups_per_model
from ochreway_direct.coordinator.reservation import reserved_engines
from ochreway_direct.enginestate import EngineState
from ochreway_direct.ids import ModelName
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, SPEC, EngineWorld
from tests.direct.test_firstplans import (
    BUILDS,
    DOWNTIME_SHARE,
    NAMES,
    Build,
    can_be_within_half,
    domains_of,
    models_of,
    sizes_and_shares,
)

NEAR = DomainId("near")
LARGE_CALLERS = 1.4
"""Work for one large group."""


@dataclass(frozen=True, slots=True)
class MeasuredBuild:
    """Site with measured work, and the number of groups that a model with callers keeps."""

    build: Build
    work: Mapping[ModelName, float]
    min_groups: int

    @property
    def called(self) -> frozenset[ModelName]:
        return models_with_callers(self.build.spec, Demand(offered=dict(self.work)))

    def plan(self, min_groups: int | None = None) -> GroupPlan:
        number = self.min_groups if min_groups is None else min_groups
        return make_plan(
            self.build.spec,
            ({name: max(MIN_DEMAND, work) for name, work in self.work.items()},),
            self.build.capacities,
            self.build.current,
            DOWNTIME_SHARE,
            CoordinatorTuning(min_groups=number),
            with_callers=self.called,
        )

    def fit(self, totals: Mapping[ModelName, int]) -> bool:
        """Return whether the given numbers of groups fit together, by trying all domains."""
        return can_be_within_half(self.build, Counter(totals), ())


@st.composite
def measured_builds(draw: st.DrawFn) -> MeasuredBuild:
    """Draw a site short of engines: some lost, some able to join one model, groups standing."""
    models = draw(sizes_and_shares(most=3))
    names = frozenset(each.name for each in models)
    capacities: dict[DomainId, Capacity] = {}
    current: dict[GroupSlot, int] = {}
    for n in range(draw(st.integers(1, 4))):
        domain, whole = DomainId(f"d{n}"), draw(st.integers(2, 37))
        counts = {names: whole - draw(st.integers(0, whole // 2))}
        if draw(st.booleans()):
            counts[frozenset({draw(st.sampled_from(sorted(names)))})] = draw(st.integers(1, 12))
        capacities[domain] = Capacity(counts)
        left = counts[names]
        for model in models:
            standing = draw(st.integers(0, left // model.size))
            left -= standing * model.size
            current[GroupSlot(domain, model.name)] = standing
    work = {each: draw(st.sampled_from((0.0, 0.04, 0.3, 1.4, 6.0, 26.0))) for each in sorted(names)}
    return MeasuredBuild(Build(models, capacities, current), work, draw(st.integers(1, 3)))


def build_of(
    sizes: tuple[int, ...], engines: tuple[int, ...], work: tuple[float, ...], number: int
) -> MeasuredBuild:
    """Return a site without groups whose engines can join any model."""
    models = models_of(sizes, (1.0,) * len(sizes))
    return MeasuredBuild(
        Build(models, domains_of(*engines), {}), dict(zip(NAMES, work, strict=False)), number
    )


SHORT_BUILD = build_of((16, 4), (26, 20, 31), (1.4, 26.0), 1)
FIRST_BUILD = build_of((16, 4), (26, 20, 31), (1.4, 60.0), 1)
SECOND_BUILD = build_of((12, 6), (14, 13, 20), (1.4, 26.0), 1)


class MinGroupProperties(testtools.TestCase):
    def test_utility_alone_gives_a_model_with_callers_no_group(self) -> None:
        """The baseline: engines are short, and all go to the model with small groups."""
        for build in (FIRST_BUILD, SECOND_BUILD):
            self.assertEqual(0, groups_per_model(build.plan(0).groups)[NAMES[0]])
            covered = build.plan()
            self.assertEqual(1, groups_per_model(covered.groups)[NAMES[0]])
            self.assertEqual((NAMES[0],), covered.covered)

    def test_utility_alone_gives_a_model_its_first_group_before_spares_of_another(self) -> None:
        """Guards against a model that is refused while another's callers are nearly all served."""
        self.assertEqual(1, groups_per_model(SHORT_BUILD.plan(0).groups)[NAMES[0]])

    @BUILDS
    @given(measured_builds())
    @example(SHORT_BUILD)
    @example(FIRST_BUILD)
    @example(SECOND_BUILD)
    def test_each_model_with_callers_has_a_group_where_one_of_each_fits(
        self, build: MeasuredBuild
    ) -> None:
        totals = groups_per_model(build.plan().groups)
        if build.fit(dict.fromkeys(build.called, 1)):
            self.assertEqual(set(), {each for each in build.called if not totals[each]})

    @BUILDS
    @given(measured_builds())
    @example(FIRST_BUILD)
    def test_a_model_with_fewer_groups_could_not_have_one_more(self, build: MeasuredBuild) -> None:
        """The bound: no model has more than the minimum while another with callers could have one.

        Of each other model with callers, at most the minimum counts.
        """
        totals = groups_per_model(build.plan().groups)
        kept = {each: min(totals[each], build.min_groups) for each in build.called}
        for name, number in kept.items():
            if number < build.min_groups:
                self.assertFalse(build.fit({**kept, name: number + 1}))

    @BUILDS
    @given(measured_builds())
    def test_a_plan_that_has_the_minimum_is_not_changed(self, build: MeasuredBuild) -> None:
        """Guards against groups moved for nothing, and against a rule that acts when it is off."""
        by_utility, kept = build.plan(0), build.plan()
        totals = groups_per_model(by_utility.groups)
        self.assertEqual((), by_utility.covered)
        if all(totals[each] >= build.min_groups for each in build.called):
            self.assertEqual(by_utility, kept)
        self.assertEqual(bool(kept.covered), by_utility.groups != kept.groups)

    @BUILDS
    @given(measured_builds())
    def test_every_planned_group_fits(self, build: MeasuredBuild) -> None:
        groups = build.plan().groups
        for domain, capacity in build.build.capacities.items():
            members = {
                each.name: each.size * groups[GroupSlot(domain, each.name)]
                for each in build.build.models
            }
            self.assertTrue(capacity.fits(members))


class MinGroupWorldTests(testtools.TestCase):
    """One domain where only small groups serve, whose engines have the large model's weights."""

    def world(self, min_groups: int) -> EngineWorld:
        world = EngineWorld(domains=0, tuning=CoordinatorTuning(min_groups=min_groups))
        for _ in range(8):
            world.add(NEAR, SMALL.name)
        self.offer(world)
        world.run_until(lambda: world.serving(SMALL) == 4, 10.0)
        for engine in world.engines.values():
            engine.finish_load(LARGE)
        return world

    def offer(self, world: EngineWorld) -> None:
        work = {LARGE.name: LARGE_CALLERS, SMALL.name: 26.0}
        world.coordinator.demand.update(work, world.now_s)

    def test_without_the_minimum_the_model_gets_no_group(self) -> None:
        world = self.world(0)
        world.run(10.0)
        self.assertEqual(0, world.serving(LARGE))

    def test_with_the_minimum_the_model_serves_soon_and_the_other_all_the_time(self) -> None:
        world = self.world(1)
        fewest: list[int] = []
        world.run(8.0, lambda: fewest.append(world.serving(SMALL)))
        self.assertEqual(1, world.serving(LARGE))
        self.assertGreaterEqual(min(fewest), 2)
        self.assertEqual([], world.violations)

    def test_a_model_whose_weights_no_engine_has_gets_them_while_the_other_serves(self) -> None:
        """Guards against a minimum that is planned and never formed for lack of weights."""
        world = EngineWorld(domains=0, tuning=CoordinatorTuning(min_groups=1))
        for _ in range(8):
            world.add(NEAR, SMALL.name)
        self.offer(world)
        world.run_until(lambda: world.serving(SMALL) == 4, 10.0)
        fewest: list[int] = []
        world.run(LARGE.load_s + 8.0, lambda: fewest.append(world.serving(SMALL)))
        self.assertEqual(1, world.serving(LARGE))
        self.assertGreaterEqual(min(fewest), 2)
        self.assertEqual([], world.violations)

    def test_the_next_holder_forms_the_group_for_which_others_were_closed(self) -> None:
        """Guards against a model left without a group by a holder that ends halfway."""
        world = self.world(1)
        groups = world.coordinator.groups
        world.run_until(lambda: any(g.phase is GroupPhase.CLOSING for g in groups.values()), 8.0)
        world.take_over()
        self.offer(world)
        world.run_until(lambda: world.serving(LARGE) == 1, 8.0)
        self.assertGreaterEqual(world.serving(SMALL), 2)
        self.assertEqual([], world.violations)


class ReservationTests(testtools.TestCase):
    """Engines of a large group that lacks one, which could also join small groups."""

    def reserved(self, called: frozenset[ModelName], small_groups: int) -> set[InstanceId]:
        census = Census(defaultdict(list), defaultdict(list), frozenset({NEAR}), (), Counter())
        state = EngineState(NEAR, None, (SMALL.name,))
        for n in range(LARGE.size - 1):
            listed = ListedTarget(InstanceId(f"e{n}"), SERVICE, "a:1", HallId("h"), False, 24)
            census.free[NEAR].append(EngineRecord(listed, state, last_model=LARGE.name))
        work = {LARGE.name: LARGE_CALLERS, SMALL.name: 26.0}
        formable = {GroupSlot(NEAR, SMALL.name): small_groups}
        missing = {GroupSlot(NEAR, LARGE.name): 1}
        against = reserved_engines(SPEC, work, formable, missing, census, 0.0, called, 1)
        return against.get(GroupSlot(NEAR, SMALL.name), set())

    def test_engines_of_a_covered_group_are_kept_from_groups_beyond_the_minimum(self) -> None:
        """Guards against a covered group whose weights are evicted while it lacks one engine."""
        called = frozenset({LARGE.name, SMALL.name})
        self.assertEqual(set(), self.reserved(frozenset(), small_groups=2))
        self.assertEqual({"e0", "e1", "e2"}, self.reserved(called, small_groups=2))
        self.assertEqual(set(), self.reserved(called, small_groups=1))
