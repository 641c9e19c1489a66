# SPDX-License-Identifier: Apache-2.0
"""Health and readiness endpoints for the platform's load balancer."""

from collections.abc import Callable

from aiohttp import web


def health_routes(why_not_ready: Callable[[], str]) -> list[web.RouteDef]:
    """Return the routes; ``why_not_ready`` returns an empty string if the process is ready."""

    async def healthy(request: web.Request) -> web.Response:
        return web.json_response({"healthy": True})

    async def ready(request: web.Request) -> web.Response:
        why = why_not_ready()
        return web.json_response({"ready": not why, "why": why}, status=503 if why else 200)

    return [web.get("/healthz", healthy), web.get("/readyz", ready)]


__all__ = ["health_routes"]
