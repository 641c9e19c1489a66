# SPDX-License-Identifier: Apache-2.0
"""Work of one request that was added to the meter."""

from dataclasses import dataclass

from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class CountedWork:
    """Hold the work of a request, in seconds of a group, and when it was counted."""

    model: ModelName
    work_s: float
    counted_s: float


__all__ = ["CountedWork"]
