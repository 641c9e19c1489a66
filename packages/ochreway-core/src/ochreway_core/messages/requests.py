# SPDX-License-Identifier: Apache-2.0
"""Messages that carry requests and their answers."""

from dataclasses import dataclass

from ochreway_core.attemptid import AttemptId
from ochreway_core.ids import (
    Epoch,
    GroupId,
    Incarnation,
    OrganisationId,
    RequestId,
    TargetName,
    Version,
)
from ochreway_core.message import message
from ochreway_core.outcome import Outcome
from ochreway_core.priority import Priority
from ochreway_core.reason import Reason


@message(20)
@dataclass(frozen=True, slots=True)
class Submit:
    """Ask a group's leader to run one attempt.

    ``incarnation`` is the agent's, as known to the entry; ``body`` is passed to the target.
    """

    attempt: AttemptId
    request: RequestId
    version: Version
    incarnation: Incarnation
    group: GroupId
    epoch: Epoch
    organisation: OrganisationId
    target: TargetName
    priority: Priority
    expires_in_s: float
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[int, ...]
    method: str
    path: str
    body: bytes


@message(21)
@dataclass(frozen=True, slots=True)
class Frame:
    """Carry part of an answer; the last frame states the total length.

    ``status`` is the HTTP status of a plain service's answer, 0 for a model's.
    """

    attempt: AttemptId
    offset: int
    payload: bytes
    tokens: int
    status: int
    content_type: str
    total: int | None


@message(22)
@dataclass(frozen=True, slots=True)
class Refusal:
    """End an attempt without a complete answer."""

    attempt: AttemptId
    outcome: Outcome
    reason: Reason
    retry_after_s: float


@message(23)
@dataclass(frozen=True, slots=True)
class Withdraw:
    """Forbid an attempt that was not handed over yet, or resume its answer at an offset."""

    attempt: AttemptId
    incarnation: Incarnation
    received: int


@message(24)
@dataclass(frozen=True, slots=True)
class Settled:
    """Answer a withdrawal of an attempt that will send nothing more."""

    attempt: AttemptId
    outcome: Outcome
    reason: Reason


@message(25)
@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop the target's work on an attempt whose caller disconnected or deadline passed."""

    attempt: AttemptId


@message(26)
@dataclass(frozen=True, slots=True)
class Credit:
    """Report to the agent how many bytes of an answer the entry has passed on."""

    attempt: AttemptId
    passed: int


__all__ = ["Cancel", "Credit", "Frame", "Refusal", "Settled", "Submit", "Withdraw"]
