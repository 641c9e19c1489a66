# SPDX-License-Identifier: Apache-2.0
"""Object store accessed over HTTP."""

import aiohttp

from ochreway_platform.answers import read_body
from ochreway_platform.calls import MAX_BODY_BYTES
from ochreway_platform.errors import ObjectMissing, ObjectStoreUnavailable
from ochreway_platform.objectstore import ObjectStore


class HttpObjectStore(ObjectStore):
    """Get and put objects below a base URL."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, name: str) -> bytes:
        """Return an object."""
        try:
            async with self._session.get(self._url(name), timeout=self._timeout) as response:
                if response.status == 404:
                    raise ObjectMissing(name)
                response.raise_for_status()
                return await read_body(response, MAX_BODY_BYTES)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ObjectStoreUnavailable(str(error)) from error

    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        try:
            async with self._session.put(
                self._url(name), data=content, timeout=self._timeout
            ) as response:
                response.raise_for_status()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ObjectStoreUnavailable(str(error)) from error

    def _url(self, name: str) -> str:
        return f"{self._base_url}/objects/{name}"


__all__ = ["HttpObjectStore"]
