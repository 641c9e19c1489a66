# SPDX-License-Identifier: Apache-2.0
"""Table commits that recover from lost replies by reading the change back."""

import asyncio
import secrets
from collections.abc import Mapping

from ochreway_cli.errors import FateUnknown, PlatformDown, RaceLost
from ochreway_core.ids import ChangeId
from ochreway_core.table import CommitStatus, Row, Transaction
from ochreway_platform.errors import TableUnavailable
from ochreway_platform.table import Table

MAX_TRIES = 5
RETRY_DELAY_S = 0.4


def new_change(operator: str) -> ChangeId:
    """Return a new, unique change id."""
    return ChangeId(f"{operator}.{secrets.token_hex(12)}")


async def read(table: Table, *prefixes: str) -> Mapping[str, Row]:
    """Read rows, with up to ``MAX_TRIES`` tries.

    Raises:
        PlatformDown: if the table does not answer.
    """
    error_message = ""
    for _ in range(MAX_TRIES):
        try:
            return await table.read(prefixes)
        except TableUnavailable as unavailable:
            error_message = str(unavailable)
            await asyncio.sleep(RETRY_DELAY_S)
    raise PlatformDown(f"the table does not answer: {error_message}")


async def commit(table: Table, transaction: Transaction, witness_key: str) -> None:
    """Commit a transaction that creates the witness row.

    The witness row is written once and never changed, so reading it back shows whose
    transaction created it. While it is absent, the same transaction can safely be sent again:
    its condition that the witness be absent prevents it from being applied twice.

    Raises:
        RaceLost: if another transaction was committed first.
        FateUnknown: if the outcome of the transaction cannot be determined.
    """
    content = transaction.writes[witness_key]
    for _ in range(MAX_TRIES):
        reply = await table.commit(transaction)
        if reply.status is CommitStatus.COMMITTED:
            return
        witness_row = await _read_witness(table, witness_key)
        if witness_row is not None and witness_row.content == content:
            return
        if witness_row is not None or reply.status is CommitStatus.CONFLICT:
            raise RaceLost("another change came first")
        await asyncio.sleep(RETRY_DELAY_S)
    raise FateUnknown("the table does not say what became of the change; look with status")


async def _read_witness(table: Table, key: str) -> Row | None:
    try:
        return (await read(table, key)).get(key)
    except PlatformDown as error:
        raise FateUnknown(f"the change may have landed: {error}") from error


__all__ = ["commit", "new_change", "read"]
