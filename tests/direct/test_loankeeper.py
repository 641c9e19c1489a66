# SPDX-License-Identifier: Apache-2.0
"""Processes that have ended are told from those that do not answer."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.ids import NodeId
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.sendlimits.fleetlimit import FleetLimit
from ochreway_direct.sendlimits.loankeeper import LoanKeeper
from ochreway_direct.sendlimits.loanregister import LoanRegister
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_platform.memorytable import MemoryTable
from ochreway_runtime.metrics import Metrics
from tests.direct.sendworld import COLD, EXCESS, SLACK
from tests.runtime.recordedlog import RecordedLog

ME = Borrower(NodeId("me"), "1")
OTHER = NodeId("other")


class Keeper:
    """A keeper for a process that is known at an address."""

    def __init__(self, address: str, services: tuple[object, ...] = (COLD,)) -> None:
        self.log, metrics = RecordedLog(), Metrics(None, "entry")
        self.table = MemoryTable()
        backoff = Backoff(0.1, 1.0, random.Random(1))
        lease = Lease(self.table, Holder(ME.node, ME.incarnation), 2.0, backoff)
        share = StaticShare(ME.node, 2, 0.0)
        given = (lambda: services, EXCESS, SLACK, share, ColdTargets(self.log))
        limit = FleetLimit(*given, 0.0, self.log, metrics)  # type: ignore[arg-type]
        register = LoanRegister(self.table, lease, backoff)
        self.other = Borrower(OTHER, "1", address)
        self.loans = Loans(ME, limit, lease, lambda _: {}, register=register)
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

    def test_without_a_cold_start_rate_nothing_is_read_or_tried(self) -> None:
        async def work() -> None:
            site = Keeper("127.0.0.1:1", services=())
            await site.break_link()
            await site.keeper.update(1.0)
            self.assertEqual([0, 0, 0], [len(site.probes), site.table.reads, site.table.writes])

        asyncio.run(work())
