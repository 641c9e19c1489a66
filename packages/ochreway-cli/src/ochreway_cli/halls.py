# SPDX-License-Identifier: Apache-2.0
"""Draining and restoring data halls."""

import asyncio
from dataclasses import dataclass
from typing import Any

from ochreway_cli import settle
from ochreway_cli.errors import NotFound, PlatformDown, RaceLost
from ochreway_core.codec import decode, encode
from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import HallId, ScopeId
from ochreway_core.rows import HallsRow, halls_change_key, halls_key
from ochreway_core.table import ABSENT, Condition, Transaction
from ochreway_platform.errors import ListUnavailable
from ochreway_platform.instancelist import InstanceList
from ochreway_platform.table import Table


@dataclass(frozen=True, slots=True)
class HallProgress:
    """What still runs in a hall, according to the queried entries."""

    hall: HallId
    version: int
    groups: int
    in_flight: int
    entries_told: int
    entries: int

    @property
    def empty(self) -> bool:
        """Return whether every entry knows of the drain and nothing runs in the hall."""
        all_informed = self.entries > 0 and self.entries_told == self.entries
        return all_informed and not self.groups and not self.in_flight


def hall_progress(hall: HallId, version: int, statuses: list[dict[str, Any]]) -> HallProgress:
    """Return the progress of a hall's drain, with the highest counts that any entry reports.

    An entry whose status has no halls, such as one of an older build, counts as not informed.
    """
    halls = [status["halls"] for status in statuses if "halls" in status]
    return HallProgress(
        hall=hall,
        version=version,
        groups=max((hall_status["groups"].get(hall, 0) for hall_status in halls), default=0),
        in_flight=max((hall_status["in_flight"].get(hall, 0) for hall_status in halls), default=0),
        entries_told=sum(hall_status["version"] >= version for hall_status in halls),
        entries=len(statuses),
    )


class Halls:
    """Reads and changes the row with the drained halls of a scope."""

    def __init__(self, table: Table, instances: InstanceList, scope: ScopeId) -> None:
        self._table = table
        self._instances = instances
        self._scope = scope

    async def drained(self) -> DrainedHalls:
        """Return the drained halls.

        Raises:
            PlatformDown: if the table does not answer.
        """
        return (await self._read())[0]

    async def listed_halls(self) -> list[HallId]:
        """Return the halls that listed instances are in.

        Raises:
            PlatformDown: if the instance list cannot be read.
        """
        for tries_left in reversed(range(settle.MAX_TRIES)):
            try:
                return sorted({instance.hall for instance in await self._instances.read()})
            except ListUnavailable as error:
                if not tries_left:
                    raise PlatformDown(f"the list of instances does not answer: {error}") from error
                await asyncio.sleep(settle.RETRY_DELAY_S)
        raise AssertionError

    async def drain(self, hall: HallId, operator: str) -> DrainedHalls:
        """Drain a hall and return the halls that are drained afterwards.

        Raises:
            NotFound: if no listed instance is in the hall.
            RaceLost: if another change was committed first.
            FateUnknown: if the outcome of the change cannot be determined.
        """
        listed_halls = await self.listed_halls()
        if hall not in listed_halls:
            raise NotFound(
                f"no listed instance is in hall {hall!r}; halls: {', '.join(listed_halls)}"
            )
        current, revision = await self._read()
        if hall in current.halls:
            return current
        return await self._write(current, revision, (*current.halls, hall), operator)

    async def restore(self, hall: HallId, operator: str) -> DrainedHalls:
        """Restore a drained hall and return the halls that are drained afterwards.

        Raises:
            NotFound: if the hall is neither drained nor the hall of a listed instance.
            RaceLost: if another change was committed first.
            FateUnknown: if the outcome of the change cannot be determined.
        """
        current, revision = await self._read()
        if hall not in current.halls:
            listed_halls = await self.listed_halls()
            if hall not in listed_halls:
                raise NotFound(f"hall {hall!r} is not known; halls: {', '.join(listed_halls)}")
            return current
        remaining_halls = tuple(
            drained_hall for drained_hall in current.halls if drained_hall != hall
        )
        return await self._write(current, revision, remaining_halls, operator)

    async def _read(self) -> tuple[DrainedHalls, int]:
        key = halls_key(self._scope)
        row = (await settle.read(self._table, key)).get(key)
        if row is None:
            return UNREAD_HALLS, ABSENT
        return decode(HallsRow, row.content).drained, row.revision

    async def _write(
        self, current: DrainedHalls, revision: int, halls: tuple[HallId, ...], operator: str
    ) -> DrainedHalls:
        drained = DrainedHalls(current.version + 1, tuple(sorted(halls)))
        change = settle.new_change(operator)
        content = encode(HallsRow(self._scope, drained, operator, change))
        key = halls_key(self._scope)
        record_key = halls_change_key(self._scope, drained.version)
        transaction = Transaction(
            change,
            (Condition(key, revision), Condition(record_key, ABSENT)),
            {key: content, record_key: content},
        )
        try:
            await settle.commit(self._table, transaction, record_key)
        except RaceLost as error:
            raise RaceLost(await self._describe_winner()) from error
        return drained

    async def _describe_winner(self) -> str:
        key = halls_key(self._scope)
        row = (await settle.read(self._table, key)).get(key)
        if row is None:
            return "another change to the halls came first"
        winning_row = decode(HallsRow, row.content)
        halls = ", ".join(winning_row.drained.halls) or "none"
        return f"a change of {winning_row.operator} came first; drained now: {halls}"


__all__ = ["HallProgress", "Halls", "hall_progress"]
