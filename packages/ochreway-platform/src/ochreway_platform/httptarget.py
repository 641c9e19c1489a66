# SPDX-License-Identifier: Apache-2.0
"""Target accessed over HTTP."""

import json
from collections.abc import AsyncIterator, Callable

import aiohttp
from yarl import URL

from ochreway_core.chunk import Chunk
from ochreway_core.ids import Epoch
from ochreway_core.messages.requests import Submit
from ochreway_core.targetkind import TargetKind
from ochreway_core.targetnotice import TargetNotice
from ochreway_core.targetorder import TargetOrder
from ochreway_platform.answernotice import REJECTION_STATUSES, NoticeHeaders, parse_notice
from ochreway_platform.answers import read_body
from ochreway_platform.errors import (
    HandOverRefused,
    TargetBroke,
    TargetTurnedAway,
    TargetUnreachable,
)
from ochreway_platform.target import NoticeHandler, Target, TargetReport
from ochreway_platform.targetcheck import TargetCheck

STATE_TIMEOUT_S = 1.0
MAX_STATE_BYTES = 1024 * 1024
NOT_RUN_HEADER = "Not-Run"
"""Header with which a target states that it did not start the request it rejected."""
NOTICE_HEADERS = NoticeHeaders(leaving="Leaving", limit="Request-Limit")
"""Headers with which a target announces its leaving and its limit of requests per second."""
EVENT_STREAM_TYPE = "text/event-stream"
STREAM_END = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"


class HttpTarget(Target):
    """Access the engine or the service at a base URL."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, kind: TargetKind) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._address = host_and_port(base_url)
        self._check = TargetCheck()
        self._kind = kind
        self._timeout = aiohttp.ClientTimeout(total=STATE_TIMEOUT_S)
        self._on_notice: NoticeHandler = lambda notice, to_request: None

    def listen(self, on_notice: NoticeHandler) -> None:
        """Set the handler that receives the notices of all further answers."""
        self._on_notice = on_notice

    def _report_notice(
        self, response: aiohttp.ClientResponse, to_request: bool = False
    ) -> TargetNotice:
        notice = parse_notice(response.status, response.headers, NOTICE_HEADERS)
        self._on_notice(notice, to_request)
        return notice

    def _raise_if_turned_away(self, response: aiohttp.ClientResponse) -> TargetNotice:
        """Raise if the target rejected a state query or an order and requested a backoff."""
        notice = self._report_notice(response)
        if notice.backoff_s is not None:
            raise TargetTurnedAway(notice)
        return notice

    async def state(self) -> TargetReport:
        """Query what the target has loaded."""
        path = "/state" if self._kind is TargetKind.MODEL else "/health"
        try:
            async with self._session.get(self._base_url + path, timeout=self._timeout) as response:
                notice = self._raise_if_turned_away(response)
                response.raise_for_status()
                if self._kind is TargetKind.SERVICE:
                    return TargetReport(Epoch(0), "", True, leaving=notice.leaving)
                state = json.loads(await read_body(response, MAX_STATE_BYTES))
                return TargetReport(
                    Epoch(state["epoch"]),
                    state["artifact"],
                    state["loaded"],
                    tuple(state.get("cached", ())),
                    tuple(state.get("evicted", ())),
                    notice.leaving,
                )
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, KeyError) as error:
            raise TargetUnreachable(str(error)) from error

    async def order(self, order: TargetOrder) -> None:
        """Order the target to load an artifact for a group."""
        content = {
            "epoch": order.epoch,
            "artifact": order.artifact,
            "group": order.group,
            "members": list(order.members),
        }
        url = f"{self._base_url}/order"
        try:
            async with self._session.post(url, json=content, timeout=self._timeout) as response:
                self._raise_if_turned_away(response)
                response.raise_for_status()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise TargetUnreachable(str(error)) from error

    async def ended(self) -> bool:
        """Return whether nothing listens at the target's address any longer."""
        return await self._check.ended(self._address)

    async def run(self, submit: Submit, allowed: Callable[[], bool]) -> AsyncIterator[Chunk]:
        """Yield the chunks of the answer."""
        body = _GatedBody(submit.body, allowed)
        timeout = aiohttp.ClientTimeout(total=submit.expires_in_s, connect=STATE_TIMEOUT_S)
        try:
            async with self._session.request(
                submit.method,
                self._base_url + submit.path,
                data=body.chunks(),
                headers=_headers(submit),
                timeout=timeout,
            ) as response:
                notice = self._report_notice(response, to_request=True)
                if response.status in REJECTION_STATUSES and NOT_RUN_HEADER in response.headers:
                    raise TargetTurnedAway(notice)
                async for chunk in _read_chunks(response):
                    yield chunk
        except aiohttp.ClientConnectorError as error:
            raise TargetUnreachable(str(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError, HandOverRefused) as error:
            if body.refused:
                raise HandOverRefused("the gate closed before the hand-over") from error
            raise TargetBroke(str(error) or type(error).__name__) from error


def host_and_port(base_url: str) -> str:
    """Return the host and port of a base URL."""
    url = URL(base_url)
    return f"{url.host}:{url.port}"


def _headers(submit: Submit) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        "Content-Length": str(len(submit.body)),
        "X-Request-Id": submit.request,
    }


class _GatedBody:
    """Request body that is sent only if still allowed when it is about to be written."""

    def __init__(self, body: bytes, allowed: Callable[[], bool]) -> None:
        self._body = body
        self._allowed = allowed
        self.refused = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body, or raise to abort the connection."""
        if not self._allowed():
            self.refused = True
            raise HandOverRefused("the gate closed before the hand-over")
        yield self._body


async def _read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[Chunk]:
    status, content_type = response.status, response.content_type
    streamed = content_type == EVENT_STREAM_TYPE
    last_bytes = b""
    received = 0
    async for piece in response.content.iter_any():
        last_bytes = (last_bytes + piece)[-len(STREAM_END) :]
        received += len(piece)
        tokens = piece.count(EVENT_END) if streamed else 0
        # A complete answer need not wait for the end of the connection's stream.
        complete = last_bytes == STREAM_END if streamed else received == response.content_length
        yield Chunk(piece, tokens, status, content_type, last=complete)
        if complete:
            return
    if streamed:
        raise TargetBroke("the stream ended without its end marker")
    yield Chunk(b"", 0, status, content_type, last=True)


__all__ = ["EVENT_STREAM_TYPE", "STREAM_END", "HttpTarget"]
