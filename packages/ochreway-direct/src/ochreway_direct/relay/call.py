# SPDX-License-Identifier: Apache-2.0
"""One caller's request while it is being served."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from ochreway_core.ids import CauseId, Fingerprint, HallId, InstanceId, OrganisationId
from ochreway_direct.buffering.callerreader import CallerReader
from ochreway_direct.configuration import EngineSpec, Route
from ochreway_direct.ids import ServiceName
from ochreway_direct.ports.dialect import CallerTerms
from ochreway_direct.relay.takeover import Takeover


@dataclass(slots=True)
class Call:
    """Hold a request, its route and its progress so far.

    Attributes:
        fingerprint: equal for all requests that ask for the same.
        causes: what about it may crash its target.
        allowed_halls: halls it may be served in, or None for any.
        runs: number of targets that may have begun to run it. Lost ones count too, as the leader
            of a lost group may be alive.
        sends: number of times it was sent.
        takeover: the attempt at its next target beside the one under way.
        next_place: the task that waits for a place for such an attempt.
        turned_away: targets that turned a takeover away, and until when they are not asked again.
        on_trial: whether it is sent once to find out if such requests still end targets.
        target: the target it was last sent to.
        waited_s: time spent waiting for a target that can take it.
        queue_rank: number of calls that went before it when it was refused, if it was queued.
        forecast_s: expected wait for a place when it was refused, if it was queued.
        reader: the caller's connection as the reader of the answer, if what it has not read is
            bounded.
        first_part_s: when the answer began.
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
    causes: tuple[CauseId, ...] = ()
    runs: int = 0
    sends: int = 0
    on_trial: bool = False
    target: InstanceId | None = None
    waited_s: float = 0.0
    queue_rank: int | None = None
    forecast_s: float | None = None
    tried: set[InstanceId] = field(default_factory=set)
    turned_away: dict[InstanceId, float] = field(default_factory=dict)
    resume_after: str | None = None
    answer: web.StreamResponse | None = None
    reader: CallerReader | None = None
    takeover: Takeover | None = None
    next_place: asyncio.Task[None] | None = None
    first_part_s: float | None = None

    @property
    def last_run(self) -> bool:
        """Return whether no further target may run this after the next one."""
        return not self.route.repeatable or self.runs + 1 >= self.route.attempts_at_most

    @property
    def begun(self) -> bool:
        """Return whether a target may have begun this, so that it cannot simply be refused."""
        return self.answer is not None or self.runs > 0 or self.next_place is not None

    def left_s(self, now_s: float) -> float:
        """Return the time left until the deadline."""
        return self.end_s - now_s


__all__ = ["Call"]
