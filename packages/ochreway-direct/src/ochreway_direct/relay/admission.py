# SPDX-License-Identifier: Apache-2.0
"""Finding out what a request asks for, and whether its caller may ask for it."""

import asyncio
import zlib

from aiohttp import web

from ochreway_core.fingerprint import fingerprint_of
from ochreway_core.ids import Fingerprint
from ochreway_core.reason import Reason
from ochreway_direct.configuration import Organisation, Route
from ochreway_direct.coordinator.demand import work_s
from ochreway_direct.demandmeter import DemandMeter
from ochreway_direct.ids import ServiceName
from ochreway_direct.ports.dialect import CallerTerms
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.callerprotocol import CallerProtocol
from ochreway_direct.relay.errors import Refused
from ochreway_direct.relay.refusal import NOT_RUN_STATUS
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.serving import Serving
from ochreway_direct.versions.routetable import RouteTable

LINE_EXTRA = 4
"""Bytes of a header line beside its name and value."""


class Admission:
    """Turn requests into calls by the configuration in force."""

    def __init__(self, serving: Serving, meter: DemandMeter, tuning: RelayTuning) -> None:
        self._serving = serving
        self._meter = meter
        self._tuning = tuning

    async def admit(self, request: web.BaseRequest, terms: CallerTerms) -> Call:
        """Return the call that a request makes.

        Raises:
            Refused: when it is not acceptable, keys cannot be trusted now, or no home is left.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._check_headers(request)
        body = await self._body(request)
        if isinstance(request.protocol, CallerProtocol) and request.protocol.refused:
            raise Refused(NOT_RUN_STATUS, Reason.CONNECTIONS_FULL, self._tuning.elsewhere_after_s)
        if self._serving.closed:
            raise Refused(NOT_RUN_STATUS, Reason.STOPPING, self._tuning.elsewhere_after_s)
        # Before the routes are read, as what is waited for may bring newer ones.
        await self._serving.keys_proved()
        routes = self._serving.routes
        if routes is None:
            raise Refused(NOT_RUN_STATUS, Reason.NO_CONFIGURATION, self._tuning.stale_after_s)
        route = routes.route(request.host.partition(":")[0], request.raw_path.partition("?")[0])
        if route is None:
            raise self._unknown(404, Reason.UNKNOWN_TARGET)
        if not terms.request:
            raise Refused(400, Reason.BAD_REQUEST)
        call = Call(
            request=request,
            terms=terms,
            route=route,
            service=_service(route, terms.request),
            organisation=None,
            priority=route.priority,
            body=body,
            started_s=started_s,
            end_s=started_s + min(route.timeout_s, terms.deadline_s or route.timeout_s),
            work_s=0.0,
            resume_after=terms.resume_after,
        )
        organisation = self._identify(call, routes)
        call.fingerprint = _fingerprint(call)
        self._bind(call, organisation)
        self._weigh(call, routes)
        return call

    def _check_headers(self, request: web.BaseRequest) -> None:
        lines = sum(len(name) + len(value) + LINE_EXTRA for name, value in request.raw_headers)
        if lines + len(request.raw_path) > self._serving.limits.header_bytes:
            raise Refused(431, Reason.TOO_LARGE)

    async def _body(self, request: web.BaseRequest) -> bytes:
        try:
            async with asyncio.timeout(self._serving.limits.idle_timeout_s):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as fault:
            raise Refused(413, Reason.TOO_LARGE) from fault
        except TimeoutError as fault:
            raise Refused(408, Reason.DEADLINE_PASSED) from fault

    def _identify(self, call: Call, routes: RouteTable) -> Organisation | None:
        """Name the organisation that calls; its keys are trusted only while they are fresh."""
        if call.route.public or not routes.requires_keys:
            return None
        if not self._serving.keys_trusted():
            raise Refused(NOT_RUN_STATUS, Reason.STALE_VERSION, self._tuning.stale_after_s)
        organisation = routes.organisation(call.terms.key)
        if organisation is None:
            raise self._unknown(401, Reason.UNAUTHORISED)
        call.organisation = organisation.name
        if organisation.priority is not None:
            call.priority = organisation.priority
        return organisation

    def _bind(self, call: Call, organisation: Organisation | None) -> None:
        """Bind a call to the homes of its route and organisation, where these have any."""
        theirs = organisation.homes if organisation is not None else ()
        if not call.route.homes and not theirs:
            return
        call.within = self._serving.homes.halls(call.route.homes, theirs)
        if not call.within:
            raise Refused(NOT_RUN_STATUS, Reason.NO_HOME, self._tuning.stale_after_s)

    def _unknown(self, status: int, reason: Reason) -> Refused:
        """Refuse what the configuration lacks; a newer one that is not known yet may have it."""
        if self._serving.proved():
            return Refused(status, reason)
        return Refused(NOT_RUN_STATUS, Reason.STALE_VERSION, self._tuning.stale_after_s)

    def _weigh(self, call: Call, routes: RouteTable) -> None:
        service = routes.service(call.service)
        if service is None or service.engine is None:
            return
        call.engine = service.engine
        if call.terms.model is None:
            return
        call.work_s = work_s(
            service.engine, call.terms.model, call.terms.prompt_tokens, call.terms.answer_tokens
        )
        self._meter.note(call.terms.model, call.work_s, call.started_s)


def _fingerprint(call: Call) -> Fingerprint:
    """Return what a call asks for, by whom; callers without a key are told apart by no more."""
    request = call.request
    path = f"{request.host}{request.raw_path}"
    return fingerprint_of(call.organisation or "", request.method, path, call.body)


def _service(route: Route, request: str) -> ServiceName:
    """Return one of a route's services, by its weights and the request's id."""
    total = sum(share.weight for share in route.shares)
    point = zlib.crc32(request.encode()) % max(1, total)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


__all__ = ["Admission"]
