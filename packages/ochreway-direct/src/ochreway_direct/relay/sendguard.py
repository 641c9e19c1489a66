# SPDX-License-Identifier: Apache-2.0
"""Check, once a connection is open, that a request may still be sent."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import aiohttp
from aiohttp.connector import Connection

from ochreway_core.errors import OchrewayError

MaySend = Callable[[], bool]


class SendWithheld(OchrewayError):
    """The target must not be sent requests any more, and nothing was sent."""


_guard: ContextVar[MaySend | None] = ContextVar("send_guard", default=None)


@contextmanager
def send_guard(may_send: MaySend) -> Iterator[None]:
    """Guard the requests that the current task sends within the context."""
    token = _guard.set(may_send)
    try:
        yield
    finally:
        _guard.reset(token)


class GuardedRequest(aiohttp.ClientRequest):
    """Send nothing if the target started to back off while the connection was being made.

    Connecting takes up to 0.6 s, and a busy process may resume even later. Meanwhile the target may
    have asked for a backoff in its answer to another request of this entry.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request if its guard allows it.

        Raises:
            SendWithheld: if the guard does not allow it.
        """
        may_send = _guard.get()
        if may_send is not None and not may_send():
            raise SendWithheld("target asked for a backoff while the connection was being made")
        return await super().send(conn)


__all__ = ["GuardedRequest", "SendWithheld", "send_guard"]
