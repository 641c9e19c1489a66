# SPDX-License-Identifier: Apache-2.0
"""A stand-in for the platform: table, object store and list over HTTP."""

import asyncio

import click
from aiohttp import web

from ochreway_core.codec import decode, encode
from ochreway_core.ids import NodeId
from ochreway_core.table import Transaction
from ochreway_platform.instancelist import MemoryInstanceList, instance_from_json, instance_to_json
from ochreway_platform.memoryobjectstore import MemoryObjectStore
from ochreway_platform.memorytable import MemoryTable
from ochreway_platform.tablecodec import ReadAnswer, ReadCall


class PlatformServer:
    """Serve the three ports, and let a test make them fail.

    Modes: ``up``; ``down`` answers nothing well; ``lossy`` commits and then loses the answer.
    """

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.instances = MemoryInstanceList()
        self.mode = "up"
        self.list_version = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.add_routes(
            [
                web.post("/table/read", self._read),
                web.post("/table/commit", self._commit),
                web.get("/objects/{name:.*}", self._get),
                web.put("/objects/{name:.*}", self._put),
                web.get("/instances", self._list),
                web.put("/instances", self._set_list),
                web.put("/mode/{mode}", self._set_mode),
                web.get("/counts", self._counts),
            ]
        )
        return application

    def _fail_if_down(self) -> None:
        if self.mode == "down":
            raise web.HTTPServiceUnavailable

    async def _read(self, request: web.Request) -> web.Response:
        self._fail_if_down()
        call = decode(ReadCall, await request.read())
        rows = dict(self.table.read_now(call.prefixes))
        return web.Response(body=encode(ReadAnswer(rows)))

    async def _commit(self, request: web.Request) -> web.Response:
        self._fail_if_down()
        reply = self.table.commit_now(decode(Transaction, await request.read()))
        if self.mode == "lossy":
            raise web.HTTPServiceUnavailable
        return web.Response(body=encode(reply))

    async def _get(self, request: web.Request) -> web.Response:
        self._fail_if_down()
        name = request.match_info["name"]
        if name not in self.objects.objects:
            raise web.HTTPNotFound
        return web.Response(body=await self.objects.get(name))

    async def _put(self, request: web.Request) -> web.Response:
        self._fail_if_down()
        await self.objects.put(request.match_info["name"], await request.read())
        return web.Response()

    async def _list(self, request: web.Request) -> web.Response:
        self._fail_if_down()
        tag = f'"{self.list_version}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304)
        listed = [instance_to_json(each) for each in await self.instances.read()]
        return web.json_response(listed, headers={"ETag": tag})

    async def _set_list(self, request: web.Request) -> web.Response:
        listed = [instance_from_json(item) for item in await request.json()]
        self.list_version += 1
        self.instances.instances = {NodeId(each.node): each for each in listed}
        return web.Response()

    async def _set_mode(self, request: web.Request) -> web.Response:
        self.mode = request.match_info["mode"]
        return web.Response()

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response({"reads": self.table.reads, "writes": self.table.writes})


async def serve(application: web.Application, port: int) -> None:
    """Serve an application on loopback until cancelled."""
    runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Run the stand-in for the platform."""
    asyncio.run(serve(PlatformServer().application(), port))


if __name__ == "__main__":
    main()
