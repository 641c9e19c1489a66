# SPDX-License-Identifier: Apache-2.0
"""How callers and targets write their terms into HTTP headers."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from multidict import CIMultiDict

from ochreway_core.ids import InstanceId, OrganisationId
from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """Hold what a caller's headers say about its request."""

    request: str
    key: str
    deadline_s: float | None
    model: ModelName | None
    resume_after: str | None
    prompt_tokens: int
    answer_tokens: int
    subject: str


@dataclass(frozen=True, slots=True)
class ForwardTerms:
    """Hold what the entry tells a target beside the caller's own headers."""

    instance: InstanceId
    deadline_s: float
    organisation: OrganisationId | None
    priority: int
    resume_after: str | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold what a target's headers say about its answer, and about itself.

    One that is not its target's ``own`` may come from another instance at the same address.
    """

    request: str
    signed: bool
    not_run: bool
    encoded: bool
    notice: TargetNotice = NO_NOTICE
    own: bool = True


class CallerDialect(ABC):
    """Read callers' headers, and write and read those of targets."""

    @abstractmethod
    def read(self, headers: Mapping[str, str]) -> CallerTerms:
        """Return what a caller's headers say."""

    @abstractmethod
    def forward(self, headers: Mapping[str, str], terms: ForwardTerms) -> CIMultiDict[str]:
        """Return the headers that a target gets."""

    @abstractmethod
    def answer_head(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Return what a target's headers say."""

    @abstractmethod
    def answer(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers of a target's answer that a caller gets."""

    @abstractmethod
    def refusal(self, request: str, retry_after_s: float | None) -> CIMultiDict[str]:
        """Return the headers of the entry's own failure."""


__all__ = ["AnswerHead", "CallerDialect", "CallerTerms", "ForwardTerms"]
