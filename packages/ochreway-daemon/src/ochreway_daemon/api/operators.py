# SPDX-License-Identifier: Apache-2.0
"""HTTP interface of an entry for operators: status, and the push of a committed roll."""

import asyncio
import hmac
from typing import Any

from aiohttp import web

from ochreway_core.codec import decode
from ochreway_core.errors import CodecError
from ochreway_core.view import Snapshot
from ochreway_daemon.api.refusal import MAX_DETAIL_CHARACTERS
from ochreway_daemon.api.requestbody import HOLDING, expect_later, read_body
from ochreway_daemon.api.status import entry_status
from ochreway_daemon.entryshell import EntryShell
from ochreway_direct.buffering.memoryfull import MemoryFull

MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024
"""As much as a batch between processes may hold, which also carries snapshots."""
SNAPSHOT_TIMEOUT_S = 10.0


class OperatorApi:
    """Serve the operators' command, which authenticates with the operator token."""

    def __init__(self, shell: EntryShell, token: str) -> None:
        self._shell = shell
        self._token = token

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/operator/status", self._status),
            web.post("/operator/snapshot", self._snapshot, expect_handler=expect_later),
        ]

    def _is_authorised(self, request: web.Request) -> bool:
        presented_token = request.headers.get("Authorization", "").removeprefix("Bearer ").strip()
        return bool(self._token) and hmac.compare_digest(presented_token, self._token)

    async def _status(self, request: web.Request) -> web.Response:
        if not self._is_authorised(request):
            raise web.HTTPUnauthorized
        now_s = asyncio.get_running_loop().time()
        status: dict[str, Any] = entry_status(self._shell.node, now_s)
        status["counters"] = self._shell.metrics.counters
        return web.json_response(status)

    async def _snapshot(self, request: web.Request) -> web.Response:
        if not self._is_authorised(request):
            raise web.HTTPUnauthorized
        try:
            with self._shell.clients.bodies.request_holding() as request[HOLDING]:
                content = await read_body(request, MAX_SNAPSHOT_BYTES, SNAPSHOT_TIMEOUT_S)
            snapshot = decode(Snapshot, content)
        except CodecError as error:
            return web.json_response({"error": str(error)[:MAX_DETAIL_CHARACTERS]}, status=400)
        except MemoryFull:
            raise web.HTTPServiceUnavailable from None
        except TimeoutError:
            raise web.HTTPRequestTimeout from None
        self._shell.post(lambda now_s: self._shell.node.on_snapshot(snapshot, now_s))
        await asyncio.sleep(0)
        return web.json_response({"version": snapshot.roll.version}, status=202)


__all__ = ["OperatorApi"]
