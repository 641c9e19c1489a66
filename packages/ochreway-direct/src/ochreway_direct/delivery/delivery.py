# SPDX-License-Identifier: Apache-2.0
"""One request and what its caller has received of the answer."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from ochreway_direct.buffering.unacknowledged import unacknowledged_bytes
from ochreway_direct.delivery.stage import Stage
from ochreway_direct.ports.dialect import CallerTerms
from ochreway_direct.relay.call import Call


@dataclass(slots=True, eq=False)
class Delivery:
    """Follow a request until the caller has the whole answer, or its end was reported.

    Attributes:
        transport: the caller's connection, which outlasts the request's own reference to it.
        call: the call that it became, once it is admitted.
        written: whether the whole answer was handed to the caller's connection.
    """

    request: web.BaseRequest
    terms: CallerTerms
    transport: asyncio.Transport | None
    call: Call | None = None
    written: bool = False

    @property
    def stage(self) -> Stage:
        """Return how far the request has come."""
        if self.written:
            return Stage.DELIVERING
        if self.call is None:
            return Stage.ADMISSION
        if self.call.answer is not None:
            return Stage.ANSWERING
        return Stage.SENT if self.call.sends else Stage.WAITING

    @property
    def written_bytes(self) -> int:
        """Return the bytes of the answer that were handed to the connection."""
        return int(self.request.writer.output_size)

    def unsent_bytes(self) -> int:
        """Return the bytes handed to the connection that the caller has not acknowledged."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size() + unacknowledged_bytes(self.transport)


__all__ = ["Delivery"]
