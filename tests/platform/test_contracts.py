# SPDX-License-Identifier: Apache-2.0
"""Contract tests of each port, run on its implementations in memory and over HTTP."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import testtools
from aiohttp import web

from ochreway_core.ids import ChangeId, DomainId, HallId, NodeId
from ochreway_core.listing import InstanceKind, ListedInstance
from ochreway_core.table import ABSENT, CommitStatus, Condition, Transaction
from ochreway_platform.errors import ListUnavailable, ObjectMissing, TableUnavailable
from ochreway_platform.httpobjectstore import HttpObjectStore
from ochreway_platform.httptable import HttpTable
from ochreway_platform.instancelist import HttpInstanceList, InstanceList, MemoryInstanceList
from ochreway_platform.memoryobjectstore import MemoryObjectStore
from ochreway_platform.memorytable import MemoryTable
from ochreway_platform.objectstore import ObjectStore
from ochreway_platform.table import Table
from ochreway_standins.platformserver import PlatformServer

T = TypeVar("T")
LISTED = ListedInstance(
    NodeId("a"), "127.0.0.1:1", InstanceKind.TARGET, HallId("h"), DomainId("d"), leaving=True
)


def change(key: str, revision: int, content: bytes | None) -> Transaction:
    return Transaction(ChangeId("c"), (Condition(key, revision),), {key: content})


def over_http(work: Callable[[aiohttp.ClientSession, str, PlatformServer], Awaitable[T]]) -> T:
    async def run() -> T:
        server = PlatformServer()
        runner = web.AppRunner(server.application())
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        try:
            async with aiohttp.ClientSession() as session:
                return await work(session, f"http://127.0.0.1:{port}", server)
        finally:
            await runner.cleanup()

    return asyncio.run(run())


class TableContract:
    def on_table(self, work: Callable[[Table], Awaitable[None]]) -> None:
        raise NotImplementedError

    def test_written_rows_are_read_by_prefix(self) -> None:
        async def work(table: Table) -> None:
            await table.commit(change("a/1", ABSENT, b"x"))
            await table.commit(change("b/1", ABSENT, b"y"))
            rows = await table.read(("a/",))
            self.assertEqual({"a/1": b"x"}, {key: row.content for key, row in rows.items()})  # type: ignore[attr-defined]

        self.on_table(work)

    def test_condition_on_an_old_revision_conflicts_and_writes_nothing(self) -> None:
        async def work(table: Table) -> None:
            first = await table.commit(change("k", ABSENT, b"1"))
            again = await table.commit(change("k", ABSENT, b"2"))
            then = await table.commit(change("k", first.revision, b"3"))
            statuses = [first.status, again.status, then.status]
            self.assertEqual(  # type: ignore[attr-defined]
                [CommitStatus.COMMITTED, CommitStatus.CONFLICT, CommitStatus.COMMITTED], statuses
            )
            self.assertEqual(b"3", (await table.read(("k",)))["k"].content)  # type: ignore[attr-defined]

        self.on_table(work)

    def test_deleted_row_is_absent(self) -> None:
        async def work(table: Table) -> None:
            written = await table.commit(change("k", ABSENT, b"1"))
            await table.commit(change("k", written.revision, None))
            self.assertEqual({}, dict(await table.read(("k",))))  # type: ignore[attr-defined]
            anew = await table.commit(change("k", ABSENT, b"2"))
            self.assertEqual(CommitStatus.COMMITTED, anew.status)  # type: ignore[attr-defined]

        self.on_table(work)


class MemoryTableTests(TableContract, testtools.TestCase):
    def on_table(self, work: Callable[[Table], Awaitable[None]]) -> None:
        async def run() -> None:
            await work(MemoryTable())

        asyncio.run(run())


class HttpTableTests(TableContract, testtools.TestCase):
    def on_table(self, work: Callable[[Table], Awaitable[None]]) -> None:
        over_http(lambda session, url, server: work(HttpTable(session, url, 2.0)))

    def test_down_reads_fail_and_commits_are_lost(self) -> None:
        async def work(session: aiohttp.ClientSession, url: str, server: PlatformServer) -> None:
            table = HttpTable(session, url, 2.0)
            server.mode = "down"
            self.assertEqual(CommitStatus.LOST, (await table.commit(change("k", 0, b"1"))).status)
            with self.assertRaises(TableUnavailable):
                await table.read(("k",))

        over_http(work)

    def test_lost_answer_after_the_change_landed(self) -> None:
        async def work(session: aiohttp.ClientSession, url: str, server: PlatformServer) -> None:
            table = HttpTable(session, url, 2.0)
            server.mode = "lossy"
            self.assertEqual(CommitStatus.LOST, (await table.commit(change("k", 0, b"1"))).status)
            self.assertEqual(b"1", (await table.read(("k",)))["k"].content)

        over_http(work)


class ObjectStoreContract:
    def on_store(self, work: Callable[[ObjectStore], Awaitable[None]]) -> None:
        raise NotImplementedError

    def test_put_and_get(self) -> None:
        async def work(store: ObjectStore) -> None:
            await store.put("bundles/x", b"body")
            self.assertEqual(b"body", await store.get("bundles/x"))  # type: ignore[attr-defined]

        self.on_store(work)

    def test_missing(self) -> None:
        async def work(store: ObjectStore) -> None:
            with self.assertRaises(ObjectMissing):  # type: ignore[attr-defined]
                await store.get("bundles/none")

        self.on_store(work)


class MemoryObjectStoreTests(ObjectStoreContract, testtools.TestCase):
    def on_store(self, work: Callable[[ObjectStore], Awaitable[None]]) -> None:
        async def run() -> None:
            await work(MemoryObjectStore())

        asyncio.run(run())


class HttpObjectStoreTests(ObjectStoreContract, testtools.TestCase):
    def on_store(self, work: Callable[[ObjectStore], Awaitable[None]]) -> None:
        over_http(lambda session, url, server: work(HttpObjectStore(session, url, 2.0)))


class InstanceListContract:
    def with_listed(self, work: Callable[[InstanceList], Awaitable[None]]) -> None:
        raise NotImplementedError

    def test_listed_instance_is_read_whole_and_again(self) -> None:
        async def work(instances: InstanceList) -> None:
            self.assertEqual([LISTED], await instances.read())  # type: ignore[attr-defined]
            self.assertEqual([LISTED], await instances.read())  # type: ignore[attr-defined]

        self.with_listed(work)


class MemoryInstanceListTests(InstanceListContract, testtools.TestCase):
    def with_listed(self, work: Callable[[InstanceList], Awaitable[None]]) -> None:
        async def run() -> None:
            instances = MemoryInstanceList()
            instances.instances[LISTED.node] = LISTED
            await work(instances)

        asyncio.run(run())


class HttpInstanceListTests(InstanceListContract, testtools.TestCase):
    def with_listed(self, work: Callable[[InstanceList], Awaitable[None]]) -> None:
        async def run(session: aiohttp.ClientSession, url: str, server: PlatformServer) -> None:
            server.instances.instances[LISTED.node] = LISTED
            await work(HttpInstanceList(session, url, 2.0))

        over_http(run)

    def test_unreachable(self) -> None:
        async def run(session: aiohttp.ClientSession, url: str, server: PlatformServer) -> None:
            with self.assertRaises(ListUnavailable):
                await HttpInstanceList(session, "http://127.0.0.1:1", 2.0).read()

        over_http(run)
