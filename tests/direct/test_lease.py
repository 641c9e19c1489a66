# SPDX-License-Identifier: Apache-2.0
import asyncio
import random

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.codec import from_fields, to_fields
from ochreway_core.ids import NodeId
from ochreway_core.table import CommitReply, CommitStatus, Transaction
from ochreway_direct.leases.lease import Holder, Lease, LeaseRow
from ochreway_platform.memorytable import MemoryTable


class LossyTable(MemoryTable):
    """Commit transactions, and lose the replies if ``lose_replies`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.lose_replies = False

    async def commit(self, transaction: Transaction) -> CommitReply:
        reply = await super().commit(transaction)
        return CommitReply(CommitStatus.LOST) if self.lose_replies else reply


def lease(table: MemoryTable, name: str, incarnation: str = "1") -> Lease:
    return Lease(table, Holder(NodeId(name), incarnation), 1.0, Backoff(0.1, 1.0, random.Random(1)))


class SilentTable(MemoryTable):
    """Never reply to a commit while ``silent`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.silent = False

    async def commit(self, transaction: Transaction) -> CommitReply:
        if self.silent:
            await asyncio.Event().wait()
        return await super().commit(transaction)


class LeaseTests(testtools.TestCase):
    def test_a_release_without_a_reply_is_not_waited_for(self) -> None:
        async def work() -> None:
            table = SilentTable()
            held = lease(table, "one")
            await held.observe(1.0)
            self.assertTrue(await held.acquire(1.0))
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
            self.assertEqual([True, False], [await one.acquire(1.0), await other.acquire(1.0)])

        asyncio.run(work())

    def test_a_renewed_lease_is_not_free(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.acquire(1.0)
            await other.observe(1.5)
            await one.renew(2.0)
            await other.observe(2.6)
            self.assertFalse(other.is_available(2.6, 1.0))
            self.assertTrue(other.is_available(3.7, 1.0))

        asyncio.run(work())

    def test_the_lease_of_an_ended_incarnation_is_free_at_once(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, restarted, other = (
                lease(table, "one"),
                lease(table, "one", "2"),
                lease(table, "two"),
            )
            await one.observe(1.0)
            await one.acquire(1.0)
            for each in (restarted, other):
                await each.observe(1.2)
            self.assertEqual(
                [True, False], [each.is_available(1.2, 1.0) for each in (restarted, other)]
            )
            other.record_incarnation(Holder(NodeId("one"), "2"))
            self.assertTrue(other.is_available(1.2, 1.0))

        asyncio.run(work())

    def test_the_lease_of_an_ended_process_is_free_until_it_is_seen_again(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.acquire(1.0)
            await other.observe(1.2)
            other.record_ended(NodeId("one"))
            self.assertTrue(other.is_available(1.2, 1.0))
            other.record_incarnation(Holder(NodeId("one"), "1"))
            self.assertFalse(other.is_available(1.2, 1.0))

        asyncio.run(work())

    def test_a_released_lease_is_free_at_once(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.acquire(1.0)
            await one.release(1.1)
            await other.observe(1.2)
            self.assertTrue(other.is_available(1.2, 1.0))

        asyncio.run(work())

    def test_a_lost_reply_is_resolved_by_reading_back(self) -> None:
        async def work() -> None:
            table = LossyTable()
            one = lease(table, "one")
            await one.observe(1.0)
            table.lose_replies = True
            self.assertTrue(await one.acquire(1.0))
            await one.renew(2.0)
            self.assertTrue(one.held)

        asyncio.run(work())

    def test_a_suspended_holder_finds_its_lease_lost(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.acquire(1.0)
            await other.observe(1.2)
            await other.acquire(5.0)
            await one.renew(6.0)
            self.assertEqual([False, True], [one.held, other.held])

        asyncio.run(work())

    def test_news_of_a_later_holder_ends_the_lease_while_the_table_is_dark(self) -> None:
        """Guards against two holders that give orders because the table cannot be asked."""

        async def work() -> None:
            table = MemoryTable()
            former, later = lease(table, "one"), lease(table, "two")
            await former.observe(1.0)
            self.assertTrue(await former.acquire(1.0))
            await later.observe(9.0)
            self.assertTrue(await later.acquire(9.0))
            self.assertTrue(former.held)
            later.record_revision(NodeId("one"), former.revision, 9.0)
            self.assertTrue(later.held)
            former.record_revision(NodeId("one"), later.revision, 9.0)
            self.assertTrue(former.held)
            former.record_revision(NodeId("two"), later.revision, 9.0)
            self.assertFalse(former.held)

        asyncio.run(work())

    def test_a_later_holder_gets_a_higher_revision(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.acquire(1.0)
            await one.renew(2.0)
            await other.observe(2.2)
            await other.acquire(5.0)
            self.assertGreater(other.acquired_revision, one.acquired_revision)

        asyncio.run(work())

    def test_a_later_holder_knows_the_term_of_the_former_one(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.acquire(1.0)
            await one.renew(2.0)
            await other.observe(2.2)
            await other.acquire(5.0)
            self.assertEqual([one.term, ""], [other.former_term, one.former_term])
            self.assertNotEqual(one.term, other.term)

        asyncio.run(work())

    def test_a_holder_that_acquires_its_lease_again_begins_another_term(self) -> None:
        async def work() -> None:
            held = lease(MemoryTable(), "one")
            await held.observe(1.0)
            await held.acquire(1.0)
            first_term = held.term
            await held.release(2.0)
            await held.observe(2.1)
            await held.acquire(2.1)
            self.assertEqual(first_term, held.former_term)
            self.assertNotEqual(first_term, held.term)

        asyncio.run(work())

    def test_the_term_is_unknown_if_the_row_changed_since_it_was_read(self) -> None:
        async def work() -> None:
            table = MemoryTable()
            one, other = lease(table, "one"), lease(table, "other")
            await one.observe(1.0)
            await one.acquire(1.0)
            await other.observe(1.2)
            await one.renew(2.0)
            other.record_revision(NodeId("one"), one.revision, 2.1)
            self.assertTrue(await other.acquire(5.0))
            self.assertEqual("", other.former_term)

        asyncio.run(work())

    def test_a_row_of_the_previous_build_has_no_term(self) -> None:
        row = LeaseRow(Holder(NodeId("one"), "1"), "c", False)
        plain = to_fields(row)
        del plain[0]["term"]
        self.assertEqual(row, from_fields(LeaseRow, plain))
