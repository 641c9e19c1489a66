# SPDX-License-Identifier: Apache-2.0
"""Messages between entries about limits that targets announced."""

from dataclasses import dataclass

from ochreway_core.ids import InstanceId
from ochreway_direct.targetlimits.allotment import Allotment


@dataclass(frozen=True, slots=True)
class LimitNews:
    """Announce a target's limit and its age; None means that the limit has ended."""

    instance: InstanceId
    limit_per_s: float | None
    age_s: float
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PoolNews:
    """Announce who leads a pool, and the shares of its members.

    Attributes:
        keeps: whether the sender leads the pool.
        follows: whether the sender follows the receiver as its leader.
        asked_per_s: requests per second that the sender receives.
        mark: version of the leader's allotments. Sent alone it confirms those that the receiver
            holds already.
        holds: version of the allotments that the sender holds.
        allotments: all allotments in force; each entry uses the smallest of its shares.
        limits: limits of targets.
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
