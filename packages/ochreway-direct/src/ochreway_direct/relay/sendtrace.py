# SPDX-License-Identifier: Apache-2.0
"""Trace that records when a request was written to its target's connection."""

import asyncio
from types import SimpleNamespace

import aiohttp

from ochreway_direct.relay.attempt import Attempt

SentParams = aiohttp.TraceRequestHeadersSentParams | aiohttp.TraceRequestChunkSentParams


def send_trace() -> aiohttp.TraceConfig:
    """Return a trace for sessions whose requests carry their attempt as trace context."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_record_written)
    trace.on_request_chunk_sent.append(_record_written)
    return trace


async def _record_written(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: SentParams
) -> None:
    attempt = context.trace_request_ctx
    if isinstance(attempt, Attempt):
        attempt.record_written(asyncio.get_running_loop().time())


__all__ = ["send_trace"]
