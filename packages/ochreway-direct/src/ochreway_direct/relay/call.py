# SPDX-License-Identifier: Apache-2.0
"""One caller's request on its way."""

from dataclasses import dataclass, field

from aiohttp import web

from ochreway_core.ids import Fingerprint, HallId, InstanceId, OrganisationId
from ochreway_direct.configuration import EngineSpec, Route
from ochreway_direct.ids import ServiceName
from ochreway_direct.ports.dialect import CallerTerms


@dataclass(slots=True)
class Call:
    """Hold what was asked, under which route, and what became of it so far.

    ``runs`` counts the targets that may have begun, lost ones too: the leader of a lost group may
    be alive. ``waited_s`` is the time spent waiting for a place, ``first_part_s`` the time at which
    the answer began, ``target`` the one it was last sent to, and ``passed_on_s`` the
    time at which the caller was last given a part of the answer. It may be served in the halls
    ``within``, or in any. One ``on_trial`` is sent once, to find out whether what it asks for still
    ends targets. ``fingerprint`` is the same in every try that asks for the same.
    """

    request: web.BaseRequest
    terms: CallerTerms
    route: Route
    service: ServiceName
    organisation: OrganisationId | None
    priority: int
    body: bytes
    started_s: float
    end_s: float
    work_s: float
    fingerprint: Fingerprint = Fingerprint("")
    engine: EngineSpec | None = None
    allowed_halls: frozenset[HallId] | None = None
    runs: int = 0
    sends: int = 0
    on_trial: bool = False
    target: InstanceId | None = None
    waited_s: float = 0.0
    tried: set[InstanceId] = field(default_factory=set)
    resume_after: str | None = None
    answer: web.StreamResponse | None = None
    first_part_s: float | None = None
    last_forwarded_s: float | None = None

    @property
    def last_run(self) -> bool:
        """Tell whether no further target may run this after the next one."""
        return not self.route.repeatable or self.runs + 1 >= self.route.attempts_at_most

    @property
    def begun(self) -> bool:
        """Tell whether a target may have begun this, so that it is not simply refused."""
        return self.answer is not None or self.runs > 0

    @property
    def silent_since_s(self) -> float:
        """Return since when the caller has been given nothing."""
        return self.last_forwarded_s if self.last_forwarded_s is not None else self.started_s

    def left_s(self, now_s: float) -> float:
        """Return the time that is left."""
        return self.end_s - now_s


__all__ = ["Call"]
