# SPDX-License-Identifier: Apache-2.0
"""The registry of routing policies."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import TypeVar

from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView
from ochreway_routing.tuning import Tuning

P = TypeVar("P", bound="type[Policy]")

POLICIES: dict[str, type["Policy"]] = {}


class Policy(ABC):
    """Choose a replica among those that accept work."""

    def __init__(self, tuning: Tuning, hall: str, rng: random.Random) -> None:
        self.tuning = tuning
        self.hall = hall
        self.random = rng

    @abstractmethod
    def choose(
        self, query: RouteQuery, replicas: Sequence[ReplicaView], now_s: float
    ) -> ReplicaView:
        """Return one of the replicas; there is at least one."""


def policy(name: str) -> Callable[[P], P]:
    """Register a policy under a name."""

    def register(kind: P) -> P:
        POLICIES[name] = kind
        return kind

    return register


__all__ = ["POLICIES", "Policy", "policy"]
