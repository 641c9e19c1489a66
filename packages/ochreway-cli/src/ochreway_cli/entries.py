# SPDX-License-Identifier: Apache-2.0
"""HTTP calls to the entries named on the command line."""

import asyncio
from typing import Any

import aiohttp

from ochreway_core.codec import encode
from ochreway_core.view import Snapshot

REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=3.0)


class EntryClients:
    """Client of several entries; calls them concurrently and skips those that do not answer."""

    def __init__(self, session: aiohttp.ClientSession, urls: tuple[str, ...], token: str) -> None:
        self._session = session
        self._urls = [url.rstrip("/") for url in urls]
        self._headers = {"Authorization": f"Bearer {token}"}

    async def push(self, snapshot: Snapshot) -> int:
        """Push an accepted version; return how many entries accepted it."""
        accepted = await asyncio.gather(*(self._push(url, snapshot) for url in self._urls))
        return sum(accepted)

    async def _push(self, url: str, snapshot: Snapshot) -> bool:
        try:
            async with self._session.post(
                f"{url}/operator/snapshot",
                data=encode(snapshot),
                headers=self._headers,
                timeout=REQUEST_TIMEOUT,
            ) as response:
                return response.status == 202
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def statuses(self) -> list[dict[str, Any]]:
        """Return the status of each entry that answers."""
        answers = await asyncio.gather(*(self._status(url) for url in self._urls))
        return [status for status in answers if status is not None]

    async def _status(self, url: str) -> dict[str, Any] | None:
        try:
            async with self._session.get(
                f"{url}/operator/status", headers=self._headers, timeout=REQUEST_TIMEOUT
            ) as response:
                if response.status != 200:
                    return None
                status: dict[str, Any] = await response.json()
                return status
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None


__all__ = ["EntryClients"]
