# SPDX-License-Identifier: Apache-2.0
"""What a lease holder takes as proof that an engine has a model's weights."""

import testtools

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_direct.coordinator.enginerecord import EngineRecord
from ochreway_direct.coordinator.grouprecord import GroupPhase, GroupRecord, PhaseCause
from ochreway_direct.enginestate import EngineState, MemberPhase, Membership
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, EngineWorld, FakeEngine

NEAR = DomainId("near")
FAR = DomainId("far")


def membership(phase: MemberPhase) -> Membership:
    """Return a membership of rank 1 in the given phase."""
    return Membership(GroupId("g"), Epoch(1), 1, phase)


def record_of(last_model: bool = True) -> EngineRecord:
    """Return a record of an engine whose last group was of the large model, if known."""
    listed = ListedTarget(InstanceId("one"), SERVICE, "a:1", HallId("h"), False, 24)
    return EngineRecord(listed, EngineState(NEAR), last_model=LARGE.name if last_model else None)


def state(phase: MemberPhase) -> EngineState:
    """Return the report of a member of a small group in the given phase."""
    return EngineState(NEAR, SMALL.name, (), membership(phase))


class StaleHolderTests(testtools.TestCase):
    """A new lease holder whose list missed the last, short group of some engines."""

    def world(self, true_large: int = 2) -> EngineWorld:
        """Return a world where two engines near are wrongly believed to rejoin the large model."""
        world = EngineWorld(domains=0, tuning=CoordinatorTuning(loading_share=0.0))
        for domain in (NEAR,) * true_large + (FAR, FAR):
            world.add(domain, LARGE.name)
        self.stale = [world.add(NEAR, SMALL.name) for _ in range(LARGE.size - true_large)]
        world.last_models.record_targets([self.formerly_large(each) for each in self.stale])
        for each in self.stale:
            each.last_model = SMALL.name
        world.take_over()
        world.coordinator.demand.update({LARGE.name: 3.0}, world.now_s)
        return world

    def formerly_large(self, engine: FakeEngine) -> ListedTarget:
        listed_state = EngineState(
            engine.domain, LARGE.name, (), Membership(GroupId("g"), Epoch(1), 0, MemberPhase.OPEN)
        )
        return ListedTarget(
            engine.instance, SERVICE, "a:1", HallId(engine.domain), False, 24, listed_state
        )

    def test_a_group_whose_members_have_to_load_is_given_up_at_once_and_not_formed_again(
        self,
    ) -> None:
        """Guards against a group formed three times in 20 s from engines without its weights."""
        world = self.world()
        formed: dict[GroupId, GroupRecord] = {}

        def watch() -> None:
            for name, group in world.coordinator.groups.items():
                if {each.instance for each in self.stale} & set(group.members):
                    formed[name] = group

        world.run(10.0, watch)
        (only,) = formed.values()
        self.assertEqual(LARGE.name, only.model)
        self.assertEqual(GroupPhase.DISSOLVING, only.phase)
        self.assertEqual(PhaseCause.WEIGHTS_MISSING, only.cause)
        self.assertIn(only.blamed, [each.instance for each in self.stale])
        self.assertEqual([], world.violations)

    def test_engines_that_have_the_weights_serve_elsewhere_soon(self) -> None:
        """Guards against a model refused while its engines wait for others to load."""
        world = self.world()
        took_s = world.run_until(lambda: world.serving(LARGE) == 1, 30.0)
        self.assertLess(took_s, 5.0)
        self.assertEqual([], world.violations)

    def test_a_first_load_of_a_whole_group_is_not_given_up(self) -> None:
        """Guards against a cold start that the rule takes for weights that are missing."""
        world = EngineWorld(domains=1, engines=LARGE.size)
        causes: list[PhaseCause] = []

        def watch() -> None:
            causes.extend(group.cause for group in world.coordinator.groups.values())

        world.run(3.0, watch)
        world.take_over()
        world.run(25.0, watch)
        self.assertNotIn(PhaseCause.WEIGHTS_MISSING, causes)
        self.assertGreater(len(world.coordinator.views()), 0)


class EvidenceTests(testtools.TestCase):
    def test_only_a_finished_join_proves_weights(self) -> None:
        """Guards against a join under way that is taken as proof."""
        for phase, proved in (
            (MemberPhase.JOINING, False),
            (MemberPhase.READY, True),
            (MemberPhase.OPEN, True),
            (MemberPhase.CLOSING, True),
            (MemberPhase.BROKEN, False),
        ):
            record = record_of()
            record.observe(state(phase), 5.0)
            self.assertEqual(SMALL.name if proved else None, record.last_model, phase)

    def test_an_accepted_join_proves_nothing_and_ends_what_was_known_of_another_model(self) -> None:
        record = record_of()
        record.assume_joined(SMALL.name, 5.0)
        self.assertIsNone(record.last_model)
        rejoined = record_of()
        rejoined.assume_joined(LARGE.name, 5.0)
        self.assertEqual(LARGE.name, rejoined.last_model)

    def test_late_reports_of_the_former_group_do_not_restore_its_model(self) -> None:
        record = record_of(last_model=False)
        record.assume_joined(LARGE.name, 5.0)
        record.observe(state(MemberPhase.OPEN), 4.9)
        self.assertIsNone(record.last_model)

    def test_rows_of_the_list_follow_the_same_rule(self) -> None:
        """Guards against a new holder that inherits a join under way as proof."""
        for phase, proved in (
            (MemberPhase.JOINING, None),
            (MemberPhase.BROKEN, None),
            (MemberPhase.READY, SMALL.name),
            (MemberPhase.OPEN, SMALL.name),
            (MemberPhase.CLOSING, SMALL.name),
        ):
            models = LastModels()
            instance = InstanceId("one")
            for listed_state in (
                EngineState(NEAR, LARGE.name, (), membership(MemberPhase.OPEN)),
                state(phase),
                EngineState(NEAR),
            ):
                models.record_targets(
                    [ListedTarget(instance, SERVICE, "a:1", HallId("h"), False, 24, listed_state)]
                )
            self.assertEqual(proved, models.model_of(instance), phase)
