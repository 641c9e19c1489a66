# SPDX-License-Identifier: Apache-2.0
"""HTTP calls with CBOR bodies and a timeout."""

import aiohttp

from ochreway_platform.answers import read_body
from ochreway_platform.errors import PlatformError

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Longest body of an answer of the platform's services."""
CONTENT_TYPE = "application/cbor"


async def post(session: aiohttp.ClientSession, url: str, body: bytes, timeout_s: float) -> bytes:
    """Post a body and return the body of the answer.

    Raises:
        PlatformError: if the call fails, times out or returns a status other than 200.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    headers = {"Content-Type": CONTENT_TYPE}
    try:
        async with session.post(url, data=body, headers=headers, timeout=timeout) as response:
            if response.status != 200:
                raise PlatformError(f"status {response.status}")
            return await read_body(response, MAX_BODY_BYTES)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise PlatformError(str(error) or type(error).__name__) from error


__all__ = ["CONTENT_TYPE", "MAX_BODY_BYTES", "post"]
