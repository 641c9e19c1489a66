# SPDX-License-Identifier: Apache-2.0
"""Table accessed over HTTP."""

from collections.abc import Mapping

import aiohttp

from ochreway_core.codec import decode, encode
from ochreway_core.errors import CodecError
from ochreway_core.table import CommitReply, CommitStatus, Row, Transaction
from ochreway_platform.calls import post
from ochreway_platform.errors import PlatformError, TableUnavailable
from ochreway_platform.table import Table
from ochreway_platform.tablecodec import ReadAnswer, ReadCall


class HttpTable(Table):
    """Access the platform's table below a base URL."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s

    async def read(self, prefixes: tuple[str, ...]) -> Mapping[str, Row]:
        """Return all rows whose keys start with one of the prefixes."""
        url = f"{self._base_url}/table/read"
        try:
            body = await post(self._session, url, encode(ReadCall(prefixes)), self._timeout_s)
            return decode(ReadAnswer, body).rows
        except (PlatformError, CodecError) as error:
            raise TableUnavailable(str(error)) from error

    async def commit(self, transaction: Transaction) -> CommitReply:
        """Commit a transaction; after any failure its outcome is unknown."""
        url = f"{self._base_url}/table/commit"
        try:
            body = await post(self._session, url, encode(transaction), self._timeout_s)
            return decode(CommitReply, body)
        except (PlatformError, CodecError):
            return CommitReply(CommitStatus.LOST)


__all__ = ["HttpTable"]
