# SPDX-License-Identifier: Apache-2.0
"""The model that each engine served last, according to the lists of targets."""

from collections.abc import Iterable

from ochreway_core.ids import InstanceId
from ochreway_direct.enginestate import proven_model
from ochreway_direct.ids import ModelName
from ochreway_direct.lists.listedtarget import ListedTarget


class LastModels:
    """Remember the last model of each engine, which a new lease holder cannot query.

    An engine can rejoin the model of its last group at once, whatever other weights are staged,
    but once it has left the group its reports no longer name that model. A join that has not ended
    proves no weights and ends what was known of another model. A holder that does not know the last
    models assigns such engines to other models, and they load weights again.
    """

    def __init__(self) -> None:
        self._models: dict[InstanceId, ModelName] = {}

    def record_targets(self, targets: Iterable[ListedTarget]) -> None:
        """Update the models from a list; engines that are no longer listed are dropped."""
        models: dict[InstanceId, ModelName] = {}
        for target in targets:
            state = target.engine
            known = self._models.get(target.instance)
            if state is not None and state.membership is not None:
                known = proven_model(known, state.model, state.membership.phase)
            if known is not None:
                models[target.instance] = known
        self._models = models

    def model_of(self, instance: InstanceId) -> ModelName | None:
        """Return the model that an engine served last, if known."""
        return self._models.get(instance)


__all__ = ["LastModels"]
