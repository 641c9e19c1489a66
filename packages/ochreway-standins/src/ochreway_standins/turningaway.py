# SPDX-License-Identifier: Apache-2.0
"""Targets that turn away what comes or name a limit, on demand, and note what came."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
CONTROL = "/turning-away"


class TurningAway:
    """Stand before a target's own interface, and tell a test what came when."""

    def __init__(self) -> None:
        """Start with everything let through."""
        self._asks_s: float | None = None
        self._leaving = False
        self._limit: str | None = None
        self._arrivals: list[dict[str, Any]] = []

    def guard(self, application: web.Application) -> web.Application:
        """Return the application with this before it."""
        application.add_routes([web.get(CONTROL, self._show), web.post(CONTROL, self._set)])

        @web.middleware
        async def passed(request: web.Request, handler: Handler) -> web.StreamResponse:
            return await self._pass(request, handler)

        application.middlewares.append(passed)
        application.on_response_prepare.append(self._name)
        return application

    async def _set(self, request: web.Request) -> web.Response:
        wanted = await request.json()
        self._asks_s, self._leaving = wanted.get("asks_s"), bool(wanted.get("leaving"))
        self._limit = wanted.get("limit")
        return web.Response()

    async def _show(self, request: web.Request) -> web.Response:
        return web.json_response(self._arrivals)

    async def _pass(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path == CONTROL:
            return await handler(request)
        now_s = asyncio.get_running_loop().time()
        self._arrivals.append({"at_s": now_s, "path": request.path, "asked_s": self._asks_s})
        if self._asks_s is None:
            answer = await handler(request)
        else:
            headers = {"Retry-After": str(self._asks_s), "Not-Run": "1"}
            answer = web.Response(status=503, headers=headers)
        return answer

    async def _name(self, request: web.Request, answer: web.StreamResponse) -> None:
        """Say in the head of an answer, a stream's too, what is to be said now."""
        if request.path == CONTROL:
            return
        if self._leaving:
            answer.headers["Leaving"] = "1"
        if self._limit is not None:
            answer.headers["Request-Limit"] = self._limit


__all__ = ["CONTROL", "TurningAway"]
