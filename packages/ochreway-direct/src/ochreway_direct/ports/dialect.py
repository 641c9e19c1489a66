# SPDX-License-Identifier: Apache-2.0
"""HTTP headers of callers and targets, as a platform defines them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from multidict import CIMultiDict

from ochreway_core.ids import InstanceId, OrganisationId, PartId
from ochreway_core.targetnotice import NO_NOTICE, TargetNotice
from ochreway_direct.ids import ModelName


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """Hold the parameters that a caller's headers give for its request.

    ``parts`` are the parts of its prompt that other requests may share, in order.
    """

    request: str
    key: str
    deadline_s: float | None
    model: ModelName | None
    resume_after: str | None
    prompt_tokens: int
    answer_tokens: int
    subject: str
    parts: tuple[PartId, ...] = ()


@dataclass(frozen=True, slots=True)
class ForwardTerms:
    """Hold what the entry sends to a target in addition to the caller's headers."""

    instance: InstanceId
    deadline_s: float
    organisation: OrganisationId | None
    priority: int
    resume_after: str | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold what the headers of an answer say about it and about the target.

    If ``own`` is false, the answer may come from another instance at the target's address.
    """

    request: str
    signed: bool
    not_run: bool
    encoded: bool
    notice: TargetNotice = NO_NOTICE
    own: bool = True


class CallerDialect(ABC):
    """Parse the headers of callers and answers, and build those of forwarded requests."""

    @abstractmethod
    def read(self, headers: Mapping[str, str]) -> CallerTerms:
        """Parse the headers of a caller."""

    @abstractmethod
    def forward(self, headers: Mapping[str, str], terms: ForwardTerms) -> CIMultiDict[str]:
        """Return the headers of the request to a target."""

    @abstractmethod
    def answer_head(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Parse the headers of a target's answer."""

    @abstractmethod
    def answer(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers of a target's answer that are passed to the caller."""

    @abstractmethod
    def refusal(self, request: str, retry_after_s: float | None) -> CIMultiDict[str]:
        """Return the headers of an error answer by the entry itself."""


__all__ = ["AnswerHead", "CallerDialect", "CallerTerms", "ForwardTerms"]
