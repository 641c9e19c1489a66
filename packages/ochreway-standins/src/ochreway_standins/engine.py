# SPDX-License-Identifier: Apache-2.0
"""A stand-in for a model engine: fenced orders, streamed completions."""

import asyncio
import json

import click
from aiohttp import web

from ochreway_standins.platformserver import serve
from ochreway_standins.turningaway import TurningAway

WORD = "care "
REWIRE_SHARE = 0.1
"""Assumed: joining a group with the weights in memory, as a share of loading them."""


class Engine:
    """Load what it is ordered to, and answer with a fixed word a token."""

    def __init__(self, load_s: float, token_interval_s: float, tokens_per_event: int) -> None:
        self.epoch = 0
        self.artifact = ""
        self.loaded = False
        self.runs: list[str] = []
        self.cancelled = 0
        self._load_s = load_s
        self._token_interval_s = token_interval_s
        self._tokens_per_event = tokens_per_event
        self._loading: asyncio.Task[None] | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.add_routes(
            [
                web.get("/state", self._state),
                web.post("/order", self._order),
                web.post("/v1/completions", self._complete),
                web.post("/v1/chat/completions", self._complete),
                web.get("/runs", self._runs),
            ]
        )
        return TurningAway().guard(application)

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"epoch": self.epoch, "artifact": self.artifact, "loaded": self.loaded}
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order["epoch"] < self.epoch:
            raise web.HTTPConflict
        if (order["epoch"], order["artifact"]) == (self.epoch, self.artifact):
            return web.Response()
        has_weights = self.loaded and self.artifact == order["artifact"]
        self.epoch, self.artifact, self.loaded = order["epoch"], order["artifact"], False
        if self._loading is not None:
            self._loading.cancel()
        load_s = self._load_s * REWIRE_SHARE if has_weights else self._load_s
        self._loading = asyncio.create_task(self._load(load_s))
        return web.Response()

    async def _load(self, load_s: float) -> None:
        await asyncio.sleep(load_s)
        self.loaded = True

    async def _runs(self, request: web.Request) -> web.Response:
        return web.json_response({"runs": self.runs, "cancelled": self.cancelled})

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self.runs.append(request.headers.get("X-Request-Id", ""))
        tokens = int(body.get("max_tokens", 16))
        chat = "messages" in body
        if not body.get("stream", False):
            await asyncio.sleep(tokens * self._token_interval_s)
            return web.json_response(_whole(WORD * tokens, chat))
        try:
            return await self._stream(request, tokens, chat)
        except (ConnectionResetError, asyncio.CancelledError):
            self.cancelled += 1
            raise

    async def _stream(self, request: web.Request, tokens: int, chat: bool) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        event = _event(chat)
        sent = 0
        while sent < tokens:
            burst = min(self._tokens_per_event, tokens - sent)
            await response.write(event * burst)
            sent += burst
            await asyncio.sleep(self._token_interval_s * burst)
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response


def _whole(text: str, chat: bool) -> dict[str, object]:
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {"object": "chat.completion" if chat else "text_completion", "choices": [choice]}


def _event(chat: bool) -> bytes:
    piece: dict[str, object] = {"delta": {"content": WORD}} if chat else {"text": WORD}
    return b"data: " + json.dumps({"choices": [{"index": 0, **piece}]}).encode() + b"\n\n"


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--load-s", default=0.5)
@click.option("--token-interval-s", default=0.02)
@click.option("--tokens-per-event", default=1)
def main(port: int, load_s: float, token_interval_s: float, tokens_per_event: int) -> None:
    """Run the stand-in for an engine."""
    engine = Engine(load_s, token_interval_s, tokens_per_event)
    asyncio.run(serve(engine.application(), port))


if __name__ == "__main__":
    main()
