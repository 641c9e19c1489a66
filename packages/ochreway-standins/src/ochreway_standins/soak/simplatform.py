# SPDX-License-Identifier: Apache-2.0
"""The platform under virtual time, which may be down, slow or lose answers."""

import random
from collections.abc import Callable
from enum import Enum

from ochreway_core.ids import BundleHash
from ochreway_core.listing import ListedInstance
from ochreway_core.table import CommitReply, CommitStatus, ReadReply, Transaction
from ochreway_platform.memorytable import MemoryTable
from ochreway_standins.soak.clock import Clock

DELAY_RANGE_S = (0.002, 0.02)
SLOW_DELAY_RANGE_S = (0.5, 6.0)


class Mode(Enum):
    """Failure mode of the platform."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSSY = "lossy"


class SimPlatform:
    """Answer late, report a failure, or commit a change whose answer is lost."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.table = MemoryTable()
        self.bodies: dict[BundleHash, bytes] = {}
        self.listed: dict[str, ListedInstance] = {}
        self.list_lag_s = 1.0
        self.mode = Mode.UP
        self._clock = clock
        self._random = rng

    def _delay_s(self) -> float:
        return self._random.uniform(
            *(SLOW_DELAY_RANGE_S if self.mode is Mode.SLOW else DELAY_RANGE_S)
        )

    def read(self, prefixes: tuple[str, ...], answer: Callable[[ReadReply], None]) -> None:
        """Read rows."""
        if self.mode is Mode.DOWN:
            self._clock.after(self._delay_s(), lambda: answer(ReadReply(None)))
            return

        def land() -> None:
            reply = ReadReply(self.table.read_now(prefixes))
            self._clock.after(self._delay_s(), lambda: answer(reply))

        self._clock.after(self._delay_s(), land)

    def commit(self, transaction: Transaction, answer: Callable[[CommitReply], None]) -> None:
        """Commit a transaction, possibly long after its writer has given up on it."""
        lost = CommitReply(CommitStatus.LOST)
        if self.mode is Mode.DOWN:
            lands = self._random.random() < 0.2
            if lands:
                self._clock.after(self._delay_s(), lambda: self._land_unseen(transaction))
            self._clock.after(self._delay_s(), lambda: answer(lost))
            return
        lossy = self.mode is Mode.LOSSY and self._random.random() < 0.6

        def land() -> None:
            reply = self._land(transaction)
            self._clock.after(self._delay_s(), lambda: answer(lost if lossy else reply))

        self._clock.after(self._delay_s(), land)

    def _land(self, transaction: Transaction) -> CommitReply:
        return self.table.commit_now(transaction)

    def _land_unseen(self, transaction: Transaction) -> None:
        self._land(transaction)

    def body(self, bundle: BundleHash, answer: Callable[[bytes | None], None]) -> None:
        """Read a body from the object store."""
        body = None if self.mode is Mode.DOWN else self.bodies.get(bundle)
        self._clock.after(self._delay_s(), lambda: answer(body))

    def list_now(self, answer: Callable[[list[ListedInstance]], None]) -> None:
        """Read the current list; the answer is delayed in every failure mode of the table."""
        instances = list(self.listed.values())
        self._clock.after(self.list_lag_s, lambda: answer(instances))


__all__ = ["Mode", "SimPlatform"]
