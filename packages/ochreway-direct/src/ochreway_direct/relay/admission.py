# SPDX-License-Identifier: Apache-2.0
"""Admission of requests: routing, authentication and limits of size."""

import asyncio
import zlib
from dataclasses import dataclass

from aiohttp import web

from ochreway_core.cause import causes_of
from ochreway_core.fingerprint import fingerprint_of
from ochreway_core.ids import Fingerprint
from ochreway_core.reason import Reason
from ochreway_direct.buffering.bodyreader import read_whole
from ochreway_direct.buffering.holding import Holding
from ochreway_direct.buffering.memoryfull import MemoryFull
from ochreway_direct.configuration import Organisation, Route
from ochreway_direct.coordinator.demand import work_s
from ochreway_direct.demand.firsttries import FirstTries
from ochreway_direct.ids import ServiceName
from ochreway_direct.ports.dialect import CallerTerms
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.callerprotocol import CallerProtocol
from ochreway_direct.relay.errors import Refused
from ochreway_direct.relay.refusal import NOT_RUN_STATUS
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_direct.versions.routetable import RouteTable
from ochreway_runtime.clients.clientprotocol import head_bytes
from ochreway_runtime.clients.expectation import request_body


@dataclass(frozen=True, slots=True)
class Decision:
    """Hold what is decided by the head of a request, before its body is read."""

    routes: RouteTable
    route: Route
    organisation: Organisation | None

    def time_s(self, terms: CallerTerms) -> float:
        """Return the time from its arrival within which a request has to be answered."""
        return min(self.route.timeout_s, terms.deadline_s or self.route.timeout_s)


class Admission:
    """Turn requests into calls according to the configuration in force."""

    def __init__(self, serving: Serving, first_tries: FirstTries, tuning: RelayTuning) -> None:
        self._serving = serving
        self._first_tries = first_tries
        self._tuning = tuning

    async def admit(
        self, request: web.BaseRequest, terms: CallerTerms, holding: Holding | None = None
    ) -> Call:
        """Return the call for a request, whose body is counted in ``holding`` if there is one.

        Raises:
            Refused: if the request is invalid or unauthorised, its body does not fit into memory,
                keys cannot be trusted now, or none of the halls it is restricted to is left.
        """
        started_s = asyncio.get_running_loop().time()
        self._check_headers(request)
        self._check_accepts(request)
        # Awaited before the routes are read, as a newer configuration may arrive meanwhile.
        await self._serving.wait_for_trusted_keys()
        decision = self._decide(request, terms)
        end_s = started_s + decision.time_s(terms)
        has_arrived = request.content.is_eof()
        body = await self._read_body(request, holding, end_s)
        if not has_arrived:
            # What was decided may not hold any more.
            self._check_accepts(request)
            await self._serving.wait_for_trusted_keys()
            decision = self._decide(request, terms)
        route, organisation = decision.route, decision.organisation
        call = Call(
            request=request,
            terms=terms,
            route=route,
            service=_choose_service(route, terms.request),
            organisation=organisation.name if organisation is not None else None,
            priority=_priority(route, organisation),
            body=body,
            started_s=started_s,
            end_s=started_s + decision.time_s(terms),
            work_s=0.0,
            resume_after=terms.resume_after,
        )
        call.fingerprint = _fingerprint(call)
        call.causes = causes_of(call.fingerprint, terms.parts, terms.model)
        self._restrict_to_homes(call, organisation)
        self._estimate_work(call, decision.routes)
        return call

    def _check_headers(self, request: web.BaseRequest) -> None:
        size_bytes = head_bytes(request.raw_path, request.raw_headers)
        if size_bytes > self._serving.limits.header_bytes:
            raise Refused(431, Reason.TOO_LARGE)

    def _check_accepts(self, request: web.BaseRequest) -> None:
        """Raise if this entry takes no request, or none from this connection."""
        if isinstance(request.protocol, CallerProtocol) and request.protocol.refused:
            raise self._elsewhere(Reason.CONNECTIONS_FULL)
        if not self._serving.accepts_requests():
            raise self._elsewhere(Reason.STOPPING)

    def _elsewhere(self, reason: Reason) -> Refused:
        return Refused(NOT_RUN_STATUS, reason, self._tuning.retry_after_elsewhere_s)

    def _decide(self, request: web.BaseRequest, terms: CallerTerms) -> Decision:
        """Return what the head of a request decides, by the configuration in force now."""
        routes = self._serving.routes
        if routes is None:
            raise Refused(NOT_RUN_STATUS, Reason.NO_CONFIGURATION, self._tuning.retry_after_stale_s)
        route = routes.route(request.host.partition(":")[0], request.raw_path.partition("?")[0])
        if route is None:
            raise self._unknown_refusal(404, Reason.UNKNOWN_TARGET)
        if not terms.request:
            raise Refused(400, Reason.BAD_REQUEST)
        organisation = self._identify(route, terms, routes)
        max_bytes, length_bytes = self._max_body_bytes, request.content_length
        if max_bytes and length_bytes and length_bytes > max_bytes:
            raise Refused(413, Reason.TOO_LARGE)
        return Decision(routes, route, organisation)

    @property
    def _max_body_bytes(self) -> int | None:
        return self._serving.limits.body_bytes or None

    async def _read_body(
        self, request: web.BaseRequest, holding: Holding | None, end_s: float
    ) -> bytes:
        """Return the body; it must arrive within the idle time and before the request's end."""
        loop = asyncio.get_running_loop()
        due_s = min(end_s, loop.time() + self._serving.limits.idle_timeout_s)
        try:
            async with asyncio.timeout_at(due_s):
                request_body(request)
                if holding is None:
                    return await request.read()
                length_bytes = request.content_length
                return await read_whole(
                    request.content, length_bytes, holding, self._max_body_bytes
                )
        except MemoryFull as error:
            raise self._elsewhere(Reason.MEMORY_FULL) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise Refused(413, Reason.TOO_LARGE) from error
        except (web.HTTPBadRequest, web.RequestPayloadError) as error:
            raise Refused(400, Reason.BAD_REQUEST) from error
        except TimeoutError as error:
            raise Refused(408, Reason.DEADLINE_PASSED) from error

    def _identify(
        self, route: Route, terms: CallerTerms, routes: RouteTable
    ) -> Organisation | None:
        """Authenticate the caller; keys are trusted only while they are fresh."""
        if route.public or not routes.requires_keys:
            return None
        if not self._serving.keys_trusted():
            raise Refused(NOT_RUN_STATUS, Reason.STALE_VERSION, self._tuning.retry_after_stale_s)
        organisation = routes.organisation(terms.key)
        if organisation is None:
            raise self._unknown_refusal(401, Reason.UNAUTHORISED)
        return organisation

    def _restrict_to_homes(self, call: Call, organisation: Organisation | None) -> None:
        """Restrict a call to the home halls of its route and organisation, if they have any."""
        organisation_homes = organisation.homes if organisation is not None else ()
        if not call.route.homes and not organisation_homes:
            return
        call.allowed_halls = self._serving.homes.halls(call.route.homes, organisation_homes)
        if not call.allowed_halls:
            raise Refused(NOT_RUN_STATUS, Reason.NO_HOME, self._tuning.retry_after_stale_s)

    def _unknown_refusal(self, status: int, reason: Reason) -> Refused:
        """Return the error for a route or key that the configuration lacks.

        While the configuration is not proved to be the newest one, a newer one may have it, so the
        request is refused as not run and may be retried.
        """
        if self._serving.proved():
            return Refused(status, reason)
        return Refused(NOT_RUN_STATUS, Reason.STALE_VERSION, self._tuning.retry_after_stale_s)

    def _estimate_work(self, call: Call, routes: RouteTable) -> None:
        service = routes.service(call.service)
        if service is None or service.engine is None:
            return
        call.engine = service.engine
        if call.terms.model is None:
            return
        call.work_s = work_s(
            service.engine, call.terms.model, call.terms.prompt_tokens, call.terms.answer_tokens
        )
        self._first_tries.record_arrival(
            call.fingerprint, call.terms.model, call.work_s, call.started_s
        )


def _fingerprint(call: Call) -> Fingerprint:
    """Return the fingerprint of a call: its organisation, method, path and body.

    Callers without a key are not distinguished any further.
    """
    request = call.request
    path = f"{request.host}{request.raw_path}"
    return fingerprint_of(call.organisation or "", request.method, path, call.body)


def _priority(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of an organisation, if it has one, or of the route."""
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def _choose_service(route: Route, request: str) -> ServiceName:
    """Choose one of a route's services by weight, keyed by the request's id."""
    total = sum(share.weight for share in route.shares)
    point = zlib.crc32(request.encode()) % max(1, total)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


__all__ = ["Admission"]
