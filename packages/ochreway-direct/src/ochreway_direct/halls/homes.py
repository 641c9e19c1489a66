# SPDX-License-Identifier: Apache-2.0
"""In which halls a request may be served."""

from collections import defaultdict
from collections.abc import Collection, Mapping

from ochreway_core.ids import HallId, RegionId


class Homes:
    """Turn the home regions of a route and of an organisation into halls."""

    def __init__(self, region_of: Mapping[HallId, RegionId]) -> None:
        """Start with the region of each hall that is known; any other hall is no home."""
        self.known = frozenset(region_of)
        by_region: dict[RegionId, set[HallId]] = defaultdict(set)
        for hall, region in region_of.items():
            by_region[region].add(hall)
        self._halls = {region: frozenset(halls) for region, halls in by_region.items()}

    def halls(
        self, route: Collection[RegionId], organisation: Collection[RegionId]
    ) -> frozenset[HallId] | None:
        """Return the halls that may serve a request, or None when any may.

        Where both a route and an organisation have homes, both bind.
        """
        if not route:
            return self._halls_of(organisation) if organisation else None
        if not organisation:
            return self._halls_of(route)
        return self._halls_of(route) & self._halls_of(organisation)

    def without_halls(self, regions: Collection[RegionId]) -> frozenset[RegionId]:
        """Return those of some regions in which no hall is known."""
        return frozenset(regions) - self._halls.keys()

    def _halls_of(self, regions: Collection[RegionId]) -> frozenset[HallId]:
        return frozenset().union(*(self._halls.get(each, ()) for each in regions))


__all__ = ["Homes"]
