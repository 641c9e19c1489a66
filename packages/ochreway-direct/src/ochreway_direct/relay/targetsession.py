# SPDX-License-Identifier: Apache-2.0
"""Sessions over which requests go to targets."""

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType

from ochreway_direct.relay.sendguard import GuardedRequest
from ochreway_direct.relay.sendtrace import send_trace
from ochreway_direct.relay.targetprotocol import TargetConnector

MAX_HEADER_LINE_BYTES = 16 * 1024
"""How long a header line of a target's answer may be."""
CONNECT_TIMEOUT_S = 0.6
"""How long a connection may take: a lost opening packet is sent again after seconds only."""


def target_session(connector: TargetConnector) -> aiohttp.ClientSession:
    """Return a session that sends each request once and passes answers on as they are."""
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
    """Keep the library from sending a request again by itself.

    It does so for methods such as PUT and GET when a connection breaks, also if the target has
    begun: what may run once would run twice, or be called not run if the second send fails.
    """
    try:
        return await send(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(str(error)) from error


__all__ = ["target_session"]
