# SPDX-License-Identifier: Apache-2.0
"""HTTP interface for callers: completions, models and plain services."""

import asyncio
import hashlib
import json
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from ochreway_core.bundle import Bundle, Organisation
from ochreway_core.effects import Deliver, Finish
from ochreway_core.ids import OrganisationId, RequestId, TargetName
from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason
from ochreway_core.request import Request
from ochreway_core.targetkind import TargetKind
from ochreway_daemon.api.callerheaders import CallerHeaders, parse_headers
from ochreway_daemon.api.completionbody import parse_completion
from ochreway_daemon.api.refusal import refusal, refusal_content, request_error
from ochreway_daemon.api.requestbody import HOLDING, expect_later, read_body
from ochreway_daemon.callerstream import CallerStream
from ochreway_daemon.entryshell import EntryShell
from ochreway_daemon.errors import CallerFault
from ochreway_direct.buffering.memoryfull import MemoryFull
from ochreway_routing.prefix import prompt_block_hashes
from ochreway_runtime import steadyclock

MAX_ANSWER_BYTES = 64 * 1024 * 1024
SERVICE_PATH = "/services/{service}/{path:.*}"
EXPECT: dict[str, Any] = {"expect_handler": expect_later}
STOPPING_RETRY_S = 1.0
MEMORY_RETRY_S = 1.0
CONFIGURATION_RETRY_S = 2.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerApi:
    """Translate HTTP requests into requests to the node, and its answers into HTTP."""

    def __init__(self, shell: EntryShell, body_bytes_at_most: int, default_deadline_s: float):
        self._shell = shell
        self._body_bytes_at_most = body_bytes_at_most
        self._default_deadline_s = default_deadline_s

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post("/v1/chat/completions", self._with_refusals(self._chat), **EXPECT),
            web.post("/v1/completions", self._with_refusals(self._complete), **EXPECT),
            web.get("/v1/models", self._with_refusals(self._models), **EXPECT),
            web.route("*", SERVICE_PATH, self._with_refusals(self._service), **EXPECT),
        ]

    def _with_refusals(self, handler: Handler) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            if self._shell.node.stopping:
                return refusal(Outcome.NOT_RUN, Reason.STOPPING, STOPPING_RETRY_S)
            if self._shell.node.view_sync.view.bundle is None:
                return refusal(Outcome.NOT_RUN, Reason.NO_CONFIGURATION, CONFIGURATION_RETRY_S)
            try:
                with self._shell.clients.bodies.request_holding() as request[HOLDING]:
                    return await handler(request)
            except MemoryFull:
                return self._refuse_body(Reason.MEMORY_FULL)
            except TimeoutError:
                return self._refuse_body(Reason.DEADLINE_PASSED)
            except CallerFault as caller_fault:
                self._shell.metrics.count(f"refusal.{Reason.BAD_REQUEST.value}")
                return request_error(Reason.BAD_REQUEST, str(caller_fault))
            except web.HTTPRequestEntityTooLarge:
                self._shell.metrics.count(f"refusal.{Reason.TOO_LARGE.value}")
                max_bytes = self._body_bytes_at_most
                return request_error(Reason.TOO_LARGE, f"a body may have {max_bytes} bytes at most")

        return handle

    def _refuse_body(self, reason: Reason) -> web.Response:
        """Refuse a request whose body could not be read; it may be sent again."""
        self._shell.metrics.count(f"refusal.{reason.value}")
        return refusal(Outcome.NOT_RUN, reason, MEMORY_RETRY_S)

    @property
    def _bundle(self) -> Bundle:
        bundle = self._shell.node.view_sync.view.bundle
        assert bundle is not None
        return bundle

    def _organisation(self, request: web.Request) -> Organisation | None:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        matching = (each for each in self._bundle.organisation if each.token_sha256 == digest)
        return next(matching, None)

    def _refuse_unauthorised(self) -> web.Response:
        self._shell.metrics.count(f"refusal.{Reason.UNAUTHORISED.value}")
        return request_error(Reason.UNAUTHORISED, "give an organisation's token as a bearer token")

    def _refuse_unknown(self, subject: str) -> web.Response:
        self._shell.metrics.count(f"refusal.{Reason.UNKNOWN_TARGET.value}")
        return request_error(Reason.UNKNOWN_TARGET, f"{subject} is not served")

    async def _models(self, request: web.Request) -> web.StreamResponse:
        if self._organisation(request) is None:
            return self._refuse_unauthorised()
        models = [
            {"id": model.name, "object": "model", "created": 0, "owned_by": self._bundle.name}
            for model in self._bundle.model
        ]
        return web.json_response({"object": "list", "data": models})

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._completion(request, chat=True)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._completion(request, chat=False)

    async def _completion(self, request: web.Request, chat: bool) -> web.StreamResponse:
        organisation = self._organisation(request)
        if organisation is None:
            return self._refuse_unauthorised()
        name = OrganisationId(organisation.name)
        # A completion costs tokens and may be acted on, so it is repeated only if allowed.
        headers = parse_headers(request.headers, name, self._default_deadline_s, False)
        arrived_s = steadyclock.now_s()
        raw = await read_body(request, self._body_bytes_at_most, headers.deadline_in_s)
        body = parse_completion(raw, chat)
        if self._bundle.model_named(body.model) is None:
            return self._refuse_unknown(f"model {body.model}")
        node_request = self._build_request(
            name,
            headers,
            arrived_s,
            TargetKind.MODEL,
            body.model,
            "POST",
            request.path,
            raw,
            body.prompt_tokens,
            body.max_tokens,
            prompt_block_hashes(body.model, body.prompt),
        )
        return await self._answer(request, node_request, body.stream)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        organisation = self._organisation(request)
        if organisation is None:
            return self._refuse_unauthorised()
        service = self._bundle.service_named(request.match_info["service"])
        if service is None:
            return self._refuse_unknown(f"service {request.match_info['service']}")
        name = OrganisationId(organisation.name)
        repeatable = request.method in service.repeatable_methods
        headers = parse_headers(request.headers, name, self._default_deadline_s, repeatable)
        arrived_s = steadyclock.now_s()
        raw = await read_body(request, self._body_bytes_at_most, headers.deadline_in_s)
        path = "/" + request.match_info["path"]
        if request.query_string:
            path += "?" + request.query_string
        node_request = self._build_request(
            *(name, headers, arrived_s, TargetKind.SERVICE, service.name, request.method, path),
            *(raw, 1, 1, ()),
        )
        return await self._answer(request, node_request, streamed=False)

    def _build_request(
        self,
        organisation: OrganisationId,
        headers: CallerHeaders,
        arrived_s: float,
        kind: TargetKind,
        target: str,
        method: str,
        path: str,
        body: bytes,
        prompt_tokens: int,
        max_tokens: int,
        blocks: tuple[int, ...],
    ) -> Request:
        return Request(
            request=RequestId(uuid.uuid4().hex),
            organisation=organisation,
            kind=kind,
            target=TargetName(target),
            repeatable=headers.repeatable,
            key=headers.key,
            key_issued_wall_s=headers.key_issued_wall_s,
            priority=headers.priority,
            deadline_s=arrived_s + headers.deadline_in_s,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            blocks=blocks,
            caller=headers.caller,
            adapter=headers.adapter,
            method=method,
            path=path,
            body=body,
        )

    # Answers

    async def _answer(
        self, http: web.Request, request: Request, streamed: bool
    ) -> web.StreamResponse:
        self._shell.log.detail(
            "request_begun",
            request=request.request,
            organisation=request.organisation,
            target=request.target,
        )
        stream = self._shell.begin_request(request)
        try:
            if streamed:
                return await self._stream_answer(http, stream)
            return await self._collect_answer(stream)
        except (ConnectionResetError, asyncio.CancelledError):
            self._shell.on_answer_cut(request.request)
            raise
        finally:
            self._shell.end_answer(stream)

    async def _collect_answer(self, stream: CallerStream) -> web.StreamResponse:
        """Wait for the complete answer, so that an incomplete one can be refused as such."""
        pieces: list[Deliver] = []
        received = 0
        while True:
            piece = await stream.get()
            if isinstance(piece, Finish):
                return _build_response(pieces, piece)
            pieces.append(piece)
            received += len(piece.payload)
            self._shell.report_delivered(stream.request, received)
            if received > MAX_ANSWER_BYTES:
                self._shell.cancel_request(stream.request)
                return request_error(
                    Reason.TOO_LARGE, "the answer is too long to be given unstreamed"
                )

    async def _stream_answer(self, http: web.Request, stream: CallerStream) -> web.StreamResponse:
        first = await stream.get()
        if isinstance(first, Finish):
            return _build_response([], first)
        if first.status != 200:
            return await self._collect_after(first, stream)
        response = web.StreamResponse(headers={"X-Request-Id": stream.request})
        response.content_type = first.content_type
        await response.prepare(http)
        pieces: list[Deliver | Finish] = [first]
        passed = 0
        while True:
            payload = b"".join(each.payload for each in pieces if isinstance(each, Deliver))
            await response.write(payload)
            passed += len(payload)
            self._shell.report_delivered(stream.request, passed)
            if isinstance(pieces[-1], Finish):
                return await _end_stream(response, pieces[-1])
            pieces = [await stream.get(), *stream.get_available()]

    async def _collect_after(self, first: Deliver, stream: CallerStream) -> web.StreamResponse:
        rest = await self._collect_answer(stream)
        if isinstance(rest, web.Response) and isinstance(rest.body, bytes) and rest.status == 200:
            return web.Response(
                body=first.payload + rest.body, status=first.status, content_type=first.content_type
            )
        return rest


def _build_response(pieces: list[Deliver], finish: Finish) -> web.Response:
    if finish.outcome is not Outcome.ANSWERED:
        return refusal(finish.outcome, finish.reason, finish.retry_after_s, "", finish.request)
    body = b"".join(piece.payload for piece in pieces)
    status = pieces[0].status if pieces else 200
    content_type = pieces[0].content_type if pieces else "application/json"
    headers = {"X-Request-Id": finish.request}
    return web.Response(body=body, status=status, content_type=content_type, headers=headers)


async def _end_stream(response: web.StreamResponse, finish: Finish) -> web.StreamResponse:
    if finish.outcome is not Outcome.ANSWERED:
        error = refusal_content(finish.outcome, finish.reason, "", finish.request)
        await response.write(b"event: error\ndata: " + json.dumps(error).encode() + b"\n\n")
    await response.write_eof()
    return response


__all__ = ["CallerApi"]
