# SPDX-License-Identifier: Apache-2.0
"""Log events for home regions that cannot be resolved to halls."""

from collections.abc import Callable, Iterable

from ochreway_core.ids import HallId, RegionId
from ochreway_direct.lists.listedtarget import ListedTarget
from ochreway_direct.serving import Serving
from ochreway_runtime.logs import EventLog


class HomeCheck:
    """Log each hall without a region and each home region without a hall once.

    Nothing is checked while the current configuration has no homes.
    """

    def __init__(
        self, serving: Serving, targets: Callable[[], Iterable[ListedTarget]], log: EventLog
    ) -> None:
        self._serving = serving
        self._targets = targets
        self._log = log
        self.unknown_halls: frozenset[HallId] = frozenset()
        self._reported_regions: frozenset[RegionId] = frozenset()

    def check(self, _: float) -> None:
        """Compare the configured homes and the listed halls with the known regions."""
        routes = self._serving.routes
        if routes is None or not routes.homes:
            return
        homes = self._serving.homes
        regions_without_halls = homes.without_halls(routes.homes)
        for region in sorted(regions_without_halls - self._reported_regions):
            self._log.event("home_without_hall", region=region, version=routes.version)
        self._reported_regions |= regions_without_halls
        halls_without_region = frozenset(each.hall for each in self._targets()) - homes.known
        for hall in sorted(halls_without_region - self.unknown_halls):
            self._log.event("hall_region_unknown", hall=hall, version=routes.version)
        self.unknown_halls |= halls_without_region


__all__ = ["HomeCheck"]
