# SPDX-License-Identifier: Apache-2.0
"""A stand-in for a plain service, some of whose calls may not be repeated."""

import asyncio

import click
from aiohttp import web

from ochreway_standins.platformserver import serve
from ochreway_standins.turningaway import TurningAway


class Service:
    """Confirm visits, and count how often each was confirmed."""

    def __init__(self, work_s: float) -> None:
        self.confirmed: dict[str, int] = {}
        self._work_s = work_s

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/health", self._health),
                web.get("/confirmed", self._confirmed),
                web.post("/visits/{visit}/confirm", self._confirm),
            ]
        )
        return TurningAway().guard(application)

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _confirmed(self, request: web.Request) -> web.Response:
        return web.json_response(self.confirmed)

    async def _confirm(self, request: web.Request) -> web.Response:
        visit = request.match_info["visit"]
        self.confirmed[visit] = self.confirmed.get(visit, 0) + 1
        await asyncio.sleep(self._work_s)
        return web.json_response({"visit": visit, "confirmed": True})


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--work-s", default=0.0)
def main(port: int, work_s: float) -> None:
    """Run the stand-in for a plain service."""
    asyncio.run(serve(Service(work_s).application(), port))


if __name__ == "__main__":
    main()
