# SPDX-License-Identifier: Apache-2.0
"""Client sessions for requests to targets."""

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType

from ochreway_direct.relay.sendguard import GuardedRequest
from ochreway_direct.relay.sendtrace import send_trace
from ochreway_direct.relay.targetprotocol import TargetConnector

MAX_HEADER_LINE_BYTES = 16 * 1024
"""Limit on a header line of a target's answer."""
CONNECT_TIMEOUT_S = 0.6
"""Limit on connecting: a lost SYN is only sent again after seconds."""


def target_session(connector: TargetConnector) -> aiohttp.ClientSession:
    """Return a session that sends each request once and leaves answers unchanged."""
    return aiohttp.ClientSession(
        connector=connector,
        request_class=GuardedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        max_line_size=MAX_HEADER_LINE_BYTES,
        max_field_size=MAX_HEADER_LINE_BYTES,
        trace_configs=[send_trace()],
        middlewares=(_send_once,),
    )


async def _send_once(
    request: aiohttp.ClientRequest, send: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent the client library from retrying a request by itself.

    aiohttp resends idempotent methods such as PUT and GET when a connection breaks, even if the
    target has begun. A request that may run only once would run twice, or be reported as not run
    if the second send failed.
    """
    try:
        return await send(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(str(error)) from error


__all__ = ["target_session"]
