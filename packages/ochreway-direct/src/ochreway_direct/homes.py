# SPDX-License-Identifier: Apache-2.0
"""In which halls a request may be served."""

from collections.abc import Collection, Mapping

from ochreway_core.ids import HallId, RegionId


class Homes:
    """Turn the home regions of a route and of an organisation into halls."""

    def __init__(self, region_of: Mapping[HallId, RegionId]) -> None:
        self._region_of = dict(region_of)

    def halls(
        self, route: Collection[RegionId], organisation: Collection[RegionId]
    ) -> frozenset[HallId] | None:
        """Return the halls that may serve a request, or None when any may.

        Where both a route and an organisation have homes, both bind.
        """
        raise NotImplementedError


__all__ = ["Homes"]
