# SPDX-License-Identifier: Apache-2.0
import testtools

from ochreway_core.ids import DomainId, Epoch, GroupId, HallId, InstanceId
from ochreway_direct.enginestate import EngineState, MemberPhase, Membership
from ochreway_direct.lastmodels import LastModels
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_standins.engineworld import LARGE, SERVICE, SMALL, EngineWorld

ONE = InstanceId("one")
NEAR = DomainId("near")
MEMBER = Membership(GroupId("g"), Epoch(1), 0, MemberPhase.OPEN)


def listed(membership: Membership | None) -> ListedTarget:
    """Return a listed engine with the given membership."""
    model = LARGE.name if membership is not None else None
    state = EngineState(NEAR, model, (SMALL.name,), membership)
    return ListedTarget(ONE, SERVICE, "a:1", HallId("h"), False, 24, state)


class LastModelsTests(testtools.TestCase):
    def test_a_model_is_known_after_the_engine_has_left_its_group(self) -> None:
        models = LastModels()
        models.record_targets([listed(None)])
        self.assertIsNone(models.model_of(ONE))
        models.record_targets([listed(MEMBER)])
        models.record_targets([listed(None)])
        self.assertEqual(LARGE.name, models.model_of(ONE))

    def test_an_engine_that_left_the_list_is_forgotten(self) -> None:
        models = LastModels()
        models.record_targets([listed(MEMBER)])
        models.record_targets([])
        models.record_targets([listed(None)])
        self.assertIsNone(models.model_of(ONE))

    def test_a_new_holder_forms_the_group_again_that_survivors_served(self) -> None:
        """The survivors have other weights staged; only their last model shows that they can."""
        world = EngineWorld(domains=0)
        for _ in range(LARGE.size):
            world.add(NEAR, LARGE.name)
        world.run_until(lambda: world.serving(LARGE) == 1, 10.0)
        world.run(2.0)
        lost, *survivors = world.members(LARGE)
        for instance in survivors:
            world.engines[instance].staged = SMALL.name
        world.crash(lost)
        world.run_until(lambda: world.serving(LARGE) == 0, 3.0)
        world.run(1.0)
        world.take_over()
        world.add(NEAR, LARGE.name)
        world.run_until(lambda: world.serving(LARGE) == 1, 5.0)
        self.assertEqual([], world.violations)
