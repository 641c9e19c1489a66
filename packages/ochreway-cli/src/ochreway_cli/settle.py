# SPDX-License-Identifier: Apache-2.0
"""Commits whose lost answers are settled by reading the change back."""

import asyncio
import secrets
from collections.abc import Mapping

from ochreway_cli.errors import FateUnknown, PlatformDown, RaceLost
from ochreway_core.ids import ChangeId
from ochreway_core.table import CommitStatus, Row, Transaction
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.table import Table

TRIES = 5
PAUSE_S = 0.4


def new_change(operator: str) -> ChangeId:
    """Return a change id that nobody else makes."""
    return ChangeId(f"{operator}.{secrets.token_hex(12)}")


async def read(table: Table, *prefixes: str) -> Mapping[str, Row]:
    """Read rows, trying again a few times.

    Raises:
        PlatformDown: when the table does not answer.
    """
    fault = ""
    for _ in range(TRIES):
        try:
            return await table.read(prefixes)
        except TableUnavailable as unavailable:
            fault = str(unavailable)
            await asyncio.sleep(PAUSE_S)
    raise PlatformDown(f"the table does not answer: {fault}")


async def commit(table: Table, transaction: Transaction, witness: str) -> None:
    """Commit a transaction that creates the witness row.

    The witness is written once and never changed, so reading it back tells whose
    transaction created it. While it is absent, the same transaction may be sent again: its
    condition that the witness be absent keeps it from landing twice.

    Raises:
        RaceLost: when another transaction came first.
        FateUnknown: when the table does not say what became of the transaction.
    """
    content = transaction.writes[witness]
    for _ in range(TRIES):
        reply = await table.commit(transaction)
        if reply.status is CommitStatus.COMMITTED:
            return
        found = await _witness(table, witness)
        if found is not None and found.content == content:
            return
        if found is not None or reply.status is CommitStatus.CONFLICT:
            raise RaceLost("another change came first")
        await asyncio.sleep(PAUSE_S)
    raise FateUnknown("the table does not say what became of the change; look with status")


async def _witness(table: Table, key: str) -> Row | None:
    try:
        return (await read(table, key)).get(key)
    except PlatformDown as fault:
        raise FateUnknown(f"the change may have landed: {fault}") from fault


__all__ = ["commit", "new_change", "read"]
