# SPDX-License-Identifier: Apache-2.0
"""Halls in which a request may be served."""

from collections import defaultdict
from collections.abc import Collection, Mapping

from ochreway_core.ids import HallId, RegionId


class Homes:
    """Resolve the home regions of a route and of an organisation to halls."""

    def __init__(self, region_of: Mapping[HallId, RegionId]) -> None:
        """Start with the region of each known hall; any other hall is outside all homes."""
        self.known = frozenset(region_of)
        by_region: dict[RegionId, set[HallId]] = defaultdict(set)
        for hall, region in region_of.items():
            by_region[region].add(hall)
        self._halls = {region: frozenset(halls) for region, halls in by_region.items()}

    def halls(
        self, route: Collection[RegionId], organisation: Collection[RegionId]
    ) -> frozenset[HallId] | None:
        """Return the halls that may serve a request, or None if any may.

        If both a route and an organisation have homes, both restrict the halls.
        """
        if not route:
            return self._halls_of(organisation) if organisation else None
        if not organisation:
            return self._halls_of(route)
        return self._halls_of(route) & self._halls_of(organisation)

    def without_halls(self, regions: Collection[RegionId]) -> frozenset[RegionId]:
        """Return those of the given regions that have no known hall."""
        return frozenset(regions) - self._halls.keys()

    def _halls_of(self, regions: Collection[RegionId]) -> frozenset[HallId]:
        return frozenset().union(*(self._halls.get(each, ()) for each in regions))


__all__ = ["Homes"]
