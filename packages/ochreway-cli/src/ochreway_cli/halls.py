# SPDX-License-Identifier: Apache-2.0
"""Draining halls and giving them back, as operators ask for it."""

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
    """Count what still runs in a hall, as the entries that were asked know it."""

    hall: HallId
    version: int
    groups: int
    in_flight: int
    entries_told: int
    entries: int

    @property
    def empty(self) -> bool:
        """Tell whether every entry knows of the drain and nothing runs in the hall."""
        told = self.entries > 0 and self.entries_told == self.entries
        return told and not self.groups and not self.in_flight


def hall_progress(hall: HallId, version: int, statuses: list[dict[str, Any]]) -> HallProgress:
    """Return how far a hall's drain has come, by the entry that knows of most.

    An entry that says nothing of halls, as older builds do, counts as one not told.
    """
    halls = [status["halls"] for status in statuses if "halls" in status]
    return HallProgress(
        hall=hall,
        version=version,
        groups=max((each["groups"].get(hall, 0) for each in halls), default=0),
        in_flight=max((each["in_flight"].get(hall, 0) for each in halls), default=0),
        entries_told=sum(each["version"] >= version for each in halls),
        entries=len(statuses),
    )


class Halls:
    """Change the row that holds a scope's drained halls."""

    def __init__(self, table: Table, instances: InstanceList, scope: ScopeId) -> None:
        self._table = table
        self._instances = instances
        self._scope = scope

    async def drained(self) -> DrainedHalls:
        """Return the halls that are drained.

        Raises:
            PlatformDown: when the table does not answer.
        """
        return (await self._read())[0]

    async def known(self) -> list[HallId]:
        """Return the halls that listed instances are in.

        Raises:
            PlatformDown: when the list cannot be read.
        """
        for left in reversed(range(settle.TRIES)):
            try:
                return sorted({each.hall for each in await self._instances.read()})
            except ListUnavailable as fault:
                if not left:
                    raise PlatformDown(f"the list of instances does not answer: {fault}") from fault
                await asyncio.sleep(settle.PAUSE_S)
        raise AssertionError

    async def drain(self, hall: HallId, operator: str) -> DrainedHalls:
        """Drain a hall, and return what is drained then.

        Raises:
            NotFound: when no listed instance is in such a hall.
            RaceLost: when another change came first.
            FateUnknown: when the table does not say.
        """
        known = await self.known()
        if hall not in known:
            raise NotFound(f"no listed instance is in hall {hall!r}; halls: {', '.join(known)}")
        standing, revision = await self._read()
        if hall in standing.halls:
            return standing
        return await self._write(standing, revision, (*standing.halls, hall), operator)

    async def restore(self, hall: HallId, operator: str) -> DrainedHalls:
        """Give a drained hall back, and return what is drained then.

        Raises:
            NotFound: when it is neither drained nor known.
            RaceLost: when another change came first.
            FateUnknown: when the table does not say.
        """
        standing, revision = await self._read()
        if hall not in standing.halls:
            known = await self.known()
            if hall not in known:
                raise NotFound(f"hall {hall!r} is not known; halls: {', '.join(known)}")
            return standing
        left = tuple(each for each in standing.halls if each != hall)
        return await self._write(standing, revision, left, operator)

    async def _read(self) -> tuple[DrainedHalls, int]:
        key = halls_key(self._scope)
        row = (await settle.read(self._table, key)).get(key)
        if row is None:
            return UNREAD_HALLS, ABSENT
        return decode(HallsRow, row.content).drained, row.revision

    async def _write(
        self, standing: DrainedHalls, revision: int, halls: tuple[HallId, ...], operator: str
    ) -> DrainedHalls:
        drained = DrainedHalls(standing.version + 1, tuple(sorted(halls)))
        change = settle.new_change(operator)
        content = encode(HallsRow(self._scope, drained, operator, change))
        key = halls_key(self._scope)
        record = halls_change_key(self._scope, drained.version)
        transaction = Transaction(
            change,
            (Condition(key, revision), Condition(record, ABSENT)),
            {key: content, record: content},
        )
        try:
            await settle.commit(self._table, transaction, record)
        except RaceLost as fault:
            raise RaceLost(await self._who_won()) from fault
        return drained

    async def _who_won(self) -> str:
        key = halls_key(self._scope)
        row = (await settle.read(self._table, key)).get(key)
        if row is None:
            return "another change to the halls came first"
        won = decode(HallsRow, row.content)
        halls = ", ".join(won.drained.halls) or "none"
        return f"a change of {won.operator} came first; drained now: {halls}"


__all__ = ["HallProgress", "Halls", "hall_progress"]
