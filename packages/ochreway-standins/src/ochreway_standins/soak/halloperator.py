# SPDX-License-Identifier: Apache-2.0
"""An operator under virtual time who drains and restores halls."""

from ochreway_core.codec import decode, encode
from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.ids import ChangeId, HallId
from ochreway_core.rows import HallsRow, halls_change_key, halls_key
from ochreway_core.table import ABSENT, Condition, ReadReply, Transaction
from ochreway_standins.soak.world import SCOPE, World

POLL_INTERVAL_S = 0.5


class HallOperator:
    """Write the wanted set, if the row is unchanged since it was read, until a read shows it."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._wanted: tuple[HallId, ...] = ()
        self._changes = 0
        self._polling = False

    def set_drained(self, *halls: HallId) -> None:
        """Drain exactly these halls from now on, and restore all others."""
        self._wanted = halls
        if not self._polling:
            self._polling = True
            self._poll()

    def _poll(self) -> None:
        self._world.platform.read((halls_key(SCOPE),), self._on_read)
        self._world.clock.after(POLL_INTERVAL_S, self._poll)

    def _on_read(self, reply: ReadReply) -> None:
        if reply.rows is None:
            return
        row = reply.rows.get(halls_key(SCOPE))
        current = decode(HallsRow, row.content).drained if row else UNREAD_HALLS
        if current.halls != self._wanted:
            self._write(current, row.revision if row else ABSENT)

    def _write(self, current: DrainedHalls, revision: int) -> None:
        self._changes += 1
        drained = DrainedHalls(current.version + 1, self._wanted)
        change = ChangeId(f"hal.{self._changes}")
        content = encode(HallsRow(SCOPE, drained, "hal", change))
        key, record = halls_key(SCOPE), halls_change_key(SCOPE, drained.version)
        conditions = (Condition(key, revision), Condition(record, ABSENT))
        transaction = Transaction(change, conditions, {key: content, record: content})
        self._world.platform.commit(transaction, lambda reply: None)


__all__ = ["HallOperator"]
