# SPDX-License-Identifier: Apache-2.0
import asyncio
import random

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.ids import NodeId
from ochreway_core.table import CommitReply, CommitStatus, Transaction
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_platform.memorytable import MemoryTable


class LossyTable(MemoryTable):
    """Do what is asked, and lose the answer when told to."""

    def __init__(self) -> None:
        super().__init__()
        self.lose = False

    async def commit(self, transaction: Transaction) -> CommitReply:
        reply = await super().commit(transaction)
        return CommitReply(CommitStatus.LOST) if self.lose else reply


def lease(table: MemoryTable, name: str, life: str = "1") -> Lease:
    return Lease(table, Holder(NodeId(name), life), 1.0, Backoff(0.1, 1.0, random.Random(1)))


class SilentTable(MemoryTable):
    """Never answer once told to be silent."""

    def __init__(self) -> None:
        super().__init__()
        self.silent = False

    async def commit(self, transaction: Transaction) -> CommitReply:
        if self.silent:
            await asyncio.Event().wait()
        return await super().commit(transaction)


class LeaseTests(testtools.TestCase):
    def test_a_release_that_is_not_answered_is_not_waited_for(self) -> None:
        async def work() -> None:
            table = SilentTable()
            held = lease(table, "one")
            await held.observe(1.0)
            self.assertTrue(await held.take(1.0))
            table.silent = True
            async with asyncio.timeout(8.0):
                self.assertFalse(await held.release(2.0))
            self.assertFalse(held.held)

        asyncio.run(work())

    def test_one_of_two_takes_a_free_lease(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await other.observe(1.0)
            self.assertEqual([True, False], [await one.take(1.0), await other.take(1.0)])

        asyncio.run(work())

    def test_a_renewed_lease_is_not_free(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.take(1.0)
            await other.observe(1.5)
            await one.renew(2.0)
            await other.observe(2.6)
            self.assertFalse(other.free(2.6, 1.0))
            self.assertTrue(other.free(3.7, 1.0))

        asyncio.run(work())

    def test_the_lease_of_a_life_that_has_ended_is_free_at_once(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, again, other = lease(table, "one"), lease(table, "one", "2"), lease(table, "two")
            await one.observe(1.0)
            await one.take(1.0)
            for each in (again, other):
                await each.observe(1.2)
            self.assertEqual([True, False], [each.free(1.2, 1.0) for each in (again, other)])
            other.note_alive(Holder(NodeId("one"), "2"))
            self.assertTrue(other.free(1.2, 1.0))

        asyncio.run(work())

    def test_the_lease_of_a_process_that_has_ended_is_free_until_it_speaks_again(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.take(1.0)
            await other.observe(1.2)
            other.note_ended(NodeId("one"))
            self.assertTrue(other.free(1.2, 1.0))
            other.note_alive(Holder(NodeId("one"), "1"))
            self.assertFalse(other.free(1.2, 1.0))

        asyncio.run(work())

    def test_a_released_lease_is_free_at_once(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.take(1.0)
            await one.release(1.1)
            await other.observe(1.2)
            self.assertTrue(other.free(1.2, 1.0))

        asyncio.run(work())

    def test_an_answer_that_is_lost_is_settled_by_reading_back(self) -> None:
        async def work() -> None:
            table = LossyTable()
            one = lease(table, "one")
            await one.observe(1.0)
            table.lose = True
            self.assertTrue(await one.take(1.0))
            await one.renew(2.0)
            self.assertTrue(one.held)

        asyncio.run(work())

    def test_a_holder_that_slept_finds_its_lease_lost(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.take(1.0)
            await other.observe(1.2)
            await other.take(5.0)
            await one.renew(6.0)
            self.assertEqual([False, True], [one.held, other.held])

        asyncio.run(work())

    def test_a_later_holder_gets_a_higher_revision(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.take(1.0)
            await one.renew(2.0)
            await other.observe(2.2)
            await other.take(5.0)
            self.assertGreater(other.taken_at, one.taken_at)

        asyncio.run(work())
