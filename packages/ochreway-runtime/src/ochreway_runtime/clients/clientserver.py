# SPDX-License-Identifier: Apache-2.0
"""HTTP servers for clients that this process does not control."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from ochreway_runtime.clients.clientaccount import ClientAccount
from ochreway_runtime.clients.clientprotocol import ClientProtocol
from ochreway_runtime.clients.connectionlimits import ConnectionLimits
from ochreway_runtime.clients.listener import Listener

Handler = Callable[[Any], Awaitable[web.StreamResponse]]


class ClientServer(web.Server):
    """Bound the connections that a listener accepts."""

    def __init__(
        self,
        handler: Handler,
        account: ClientAccount,
        listener: Listener,
        limits: ConnectionLimits | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, access_log=None, **options)
        self._account = account
        self._listener = listener
        self._limits = limits or ConnectionLimits()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return ClientProtocol(
            *(self, self._limits, self._account, self._listener), loop=self._loop, **self._kwargs
        )


class ClientAppRunner(web.AppRunner):
    """Serve an application to clients with bounded connections."""

    def __init__(
        self,
        app: web.Application,
        account: ClientAccount,
        listener: Listener,
        limits: ConnectionLimits | None = None,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._account = account
        self._listener = listener
        self._limits = limits

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        return ClientServer(
            made.request_handler,
            *(self._account, self._listener, self._limits),
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
        )


__all__ = ["ClientAppRunner", "ClientServer"]
