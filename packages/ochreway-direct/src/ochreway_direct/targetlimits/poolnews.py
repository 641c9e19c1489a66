# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other of limits that targets named."""

from dataclasses import dataclass

from ochreway_core.ids import InstanceId
from ochreway_direct.targetlimits.allotment import Allotment


@dataclass(frozen=True, slots=True)
class LimitNews:
    """Tell what a target named and how long ago; without a limit, that it named none any more."""

    instance: InstanceId
    limit_per_s: float | None
    age_s: float
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PoolNews:
    """Tell who divides the limits, and how.

    The sender ``keeps`` the pool, or ``follows`` the receiver in it. It is asked for so many
    requests a second. ``allotments`` are all in force; from several, each takes its least. They
    have a number, ``mark``, and are left out for whom ``holds`` them: then the mark goes on.
    """

    keeps: bool = False
    follows: bool = False
    asked_per_s: float = 0.0
    mark: int = 0
    holds: int = 0
    allotments: tuple[Allotment, ...] = ()
    limits: tuple[LimitNews, ...] = ()


NO_POOL_NEWS = PoolNews()

__all__ = ["NO_POOL_NEWS", "LimitNews", "PoolNews"]
