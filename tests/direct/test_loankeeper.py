# SPDX-License-Identifier: Apache-2.0
"""Processes that have ended are told from those that do not answer."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.ids import NodeId
from ochreway_core.table import Row
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.lender import LOAN_LAPSE_S
from ochreway_direct.sendlimits.loankeeper import LoanKeeper
from ochreway_direct.sendlimits.loanregister import LoanRegister
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.loansrow import LOANS_KEY
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_platform.memorytable import MemoryTable
from ochreway_runtime.metrics import Metrics
from tests.direct.sendworld import COLD, EXCESS, LENDABLE, SLACK
from tests.runtime.recordedlog import RecordedLog

ME = Borrower(NodeId("me"), "1")
OTHER = NodeId("other")
NOBODY: frozenset[NodeId] = frozenset()


class Keeper:
    """A keeper for a process that is known at an address."""

    def __init__(
        self,
        address: str,
        services: tuple[object, ...] = (COLD,),
        table: MemoryTable | None = None,
        weights: Mapping[NodeId, float] | None = None,
    ) -> None:
        self.log, metrics = RecordedLog(), Metrics(None, "entry")
        self.table = table or MemoryTable()
        backoff = Backoff(0.1, 1.0, random.Random(1))
        lease = self.lease = Lease(self.table, Holder(ME.node, ME.incarnation), 2.0, backoff)
        share = StaticShare(ME.node, 2, 0.0)
        given = (lambda: services, EXCESS, SLACK, share, ColdTargets(self.log))
        limit = FleetLimit(*given, 0.0, self.log, metrics)  # type: ignore[arg-type]
        register = self.register = LoanRegister(self.table, lease, backoff)
        self.other = Borrower(OTHER, "1", address)
        self.loans = Loans(ME, limit, lease, lambda _: weights or {}, register=register)
        self.loans.on_news(self.other, None, 0.0)
        self.probes: list[asyncio.Task[None]] = []
        self.keeper = LoanKeeper(
            *(self.loans, register, lease, share, lambda: None),
            lambda work: self.probes.append(asyncio.create_task(work)),
            *(self.log, metrics),
        )

    async def break_link(self) -> None:
        self.keeper.on_link_down(OTHER)
        await asyncio.gather(*self.probes)


async def with_listener(work: Callable[[str], Awaitable[None]]) -> str:
    """Run some work with an address that accepts connections; return the address, now closed."""
    server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    await work(f"{host}:{port}")
    server.close()
    await server.wait_closed()
    return f"{host}:{port}"


class LaggingTable(MemoryTable):
    """Answer a read with the rows as they were before, if there are such."""

    def __init__(self) -> None:
        super().__init__()
        self.before: dict[str, Row] = {}

    async def read(self, prefixes: tuple[str, ...]) -> dict[str, Row]:
        before, self.before = self.before, {}
        return before or dict(self.read_now(prefixes))


class SlowTable(MemoryTable):
    """Answer reads only when told to."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: asyncio.Event | None = None

    async def read(self, prefixes: tuple[str, ...]) -> dict[str, Row]:
        rows = dict(self.read_now(prefixes))
        if self.answers is not None:
            await self.answers.wait()
        return rows


class LoanKeeperTests(testtools.TestCase):
    def test_a_process_that_still_listens_has_not_ended(self) -> None:
        async def work(address: str) -> None:
            site = Keeper(address)
            await site.break_link()
            self.assertFalse(site.loans.is_ended(site.other))

        asyncio.run(with_listener(work))

    def test_a_process_whose_address_refuses_connections_has_ended(self) -> None:
        async def nothing(_: str) -> None:
            pass

        async def work() -> None:
            site = Keeper(await with_listener(nothing))
            await site.break_link()
            await site.break_link()
            self.assertTrue(site.loans.is_ended(site.other))
            self.assertEqual(1, site.log.names.count("borrower_ended"))
            site.loans.on_news(site.other, None, 1.0)
            self.assertFalse(site.loans.is_ended(site.other))

        asyncio.run(work())

    def test_a_process_that_has_ended_is_lent_nothing_more(self) -> None:
        """Guards against withholding the portion of an entry that was killed from all others."""

        async def work() -> None:
            site = Keeper("", weights={ME.node: 1.0, OTHER: 1.0})
            await site.lease.acquire(1.0)
            await site.keeper.update(1.0)
            await site.lease.renew(8.0)
            await site.keeper.update(8.0)
            self.assertIsNot(None, site.loans.lend(OTHER, 8.0))
            site.loans.on_ended(site.other, 8.1)
            self.assertIs(None, site.loans.lend(OTHER, 9.0))
            await site.lease.renew(8.1 + LOAN_LAPSE_S)
            await site.keeper.update(8.1 + LOAN_LAPSE_S)
            loan = site.loans.lend(ME.node, 8.1 + LOAN_LAPSE_S)
            self.assertEqual({COLD.name: LENDABLE}, loan.shares if loan else {})

        asyncio.run(work())

    def test_without_a_cold_start_rate_nothing_is_read_or_tried(self) -> None:
        async def work() -> None:
            site = Keeper("127.0.0.1:1", services=())
            await site.break_link()
            await site.keeper.update(1.0)
            self.assertEqual([0, 0, 0], [len(site.probes), site.table.reads, site.table.writes])

        asyncio.run(work())

    def test_a_borrower_that_a_late_read_leaves_out_is_found(self) -> None:
        """Guards against a read that does not show the last write of the former holder."""

        async def work() -> None:
            table = LaggingTable()
            site = Keeper("", table=table)
            first, second = Borrower(NodeId("x"), "1"), Borrower(NodeId("y"), "1")
            backoff = Backoff(0.1, 1.0, random.Random(1))
            former = Lease(table, Holder(OTHER, "1"), 2.0, backoff)
            await former.acquire(0.0)
            register = LoanRegister(table, former, backoff)
            await register.write({first: {COLD.name: 1}}, NOBODY, 0.0)
            before = dict(table.read_now((LOANS_KEY,)))
            await register.write({each: {COLD.name: 1} for each in (first, second)}, NOBODY, 0.0)
            await site.lease.observe(1.0)
            await site.lease.acquire(1.0)
            table.before = before
            for now_s in (1.0, 3.0, 5.0):
                await site.keeper.update(now_s)
            self.assertEqual({first, second}, set(site.register.registered))
            self.assertEqual({first, second}, site.loans.unanswered(5.0))

        asyncio.run(work())

    def test_a_read_begun_under_a_former_lease_is_not_used_under_the_next_one(self) -> None:
        """Guards against a new holder that waits as if it had no register."""

        async def work() -> None:
            table = SlowTable()
            site = Keeper("", table=table)
            await site.lease.acquire(1.0)
            table.answers = asyncio.Event()
            reading = asyncio.create_task(site.keeper.update(1.0))
            await asyncio.sleep(0.0)
            self.assertTrue(await site.lease.release(1.5))
            await site.lease.acquire(2.0)
            site.loans.on_lease(2.0)
            table.answers.set()
            await reading
            self.assertTrue(site.register.unread)

        asyncio.run(work())
