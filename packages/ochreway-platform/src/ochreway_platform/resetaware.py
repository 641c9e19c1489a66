# SPDX-License-Identifier: Apache-2.0
"""HTTP client connections on which a reset is never taken for the end of an answer."""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class ResetAwareProtocol(ResponseHandler):
    """Fail an answer without a length that ends in a reset, as it may be incomplete."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer under way before the parser can take a reset for its regular end."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc}"))
        super().connection_lost(exc)


class ResetAwareConnector(aiohttp.TCPConnector):
    """Open connections whose resets fail the answer under way."""

    protocol_type: type[ResetAwareProtocol] = ResetAwareProtocol

    def __init__(self, **options: Any) -> None:
        """Create a connector; the options are those of ``aiohttp.TCPConnector``."""
        super().__init__(**options)
        factory: Any = functools.partial(self.protocol_type, loop=self._loop)
        self._factory = factory


__all__ = ["ResetAwareConnector", "ResetAwareProtocol"]
