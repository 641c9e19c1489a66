# SPDX-License-Identifier: Apache-2.0
"""Server for callers' connections."""

import asyncio
from typing import Any

from aiohttp import web

from ochreway_direct.relay.callerconnections import CallerConnections
from ochreway_direct.relay.callerprotocol import CallerProtocol
from ochreway_direct.relay.relay import Relay
from ochreway_direct.serving import Serving
from ochreway_runtime.clients.clientaccount import ClientAccount


class CallerServer(web.Server):
    """Apply the limits of the current configuration to each new connection."""

    def __init__(
        self,
        serving: Serving,
        relay: Relay,
        account: ClientAccount,
        caller_connections: CallerConnections | None = None,
    ) -> None:
        """Serve the connections that ``caller_connections`` admits; without it, all."""
        super().__init__(
            relay.handle,
            request_factory=self._build_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
        )
        self._serving = serving
        self._deliveries = relay.deliveries
        self._account = account
        self._caller_connections = caller_connections or CallerConnections()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        limits = self._serving.limits
        return CallerProtocol(
            *(self, limits, self._caller_connections, self._account, self._deliveries),
            loop=self._loop,
            **self._kwargs,
        )

    def _build_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self._serving.limits.body_bytes,
        )


__all__ = ["CallerServer"]
