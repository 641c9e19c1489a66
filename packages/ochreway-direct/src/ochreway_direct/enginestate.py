# SPDX-License-Identifier: Apache-2.0
"""State that an engine reports."""

from dataclasses import dataclass
from enum import Enum

from ochreway_core.ids import DomainId, Epoch, GroupId
from ochreway_direct.ids import ModelName


class MemberPhase(Enum):
    """Phase of an engine's membership in the group that it joined."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


PROVING_PHASES = frozenset({MemberPhase.READY, MemberPhase.OPEN, MemberPhase.CLOSING})
"""Phases in which a member has its model's weights; a join may still have to load them."""


def proven_model(
    known: ModelName | None, joined: ModelName | None, phase: MemberPhase
) -> ModelName | None:
    """Return the model that an engine can rejoin at once, as far as a membership shows.

    Args:
        known: the model that was known before.
        joined: the model of the membership, if reported.
        phase: the phase of the membership.
    """
    if joined is None or phase in PROVING_PHASES:
        return joined or known
    return known if known == joined else None


@dataclass(frozen=True, slots=True)
class Membership:
    """Hold the group that an engine belongs to, its rank there (0 leads) and its phase."""

    group: GroupId
    epoch: Epoch
    rank: int
    phase: MemberPhase


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold an engine's models, membership and load, and the start time of its process.

    ``leaving`` and ``limit_per_s`` are what the engine announced in the same answer.
    """

    domain: DomainId
    model: ModelName | None = None
    staged: tuple[ModelName, ...] = ()
    membership: Membership | None = None
    orders_taken: int = 0
    busy: bool = False
    queued: int = 0
    running: int = 0
    pace: float = 1.0
    born_ms: int | None = None
    leaving: bool = False
    limit_per_s: float | None = None


__all__ = ["PROVING_PHASES", "EngineState", "MemberPhase", "Membership", "proven_model"]
