# SPDX-License-Identifier: Apache-2.0
import asyncio
from collections.abc import Mapping

import testtools
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from ochreway_cli import settle
from ochreway_cli.errors import BundleRefused, FateUnknown, NotApproved, NotFound, RaceLost
from ochreway_cli.porcelain import Porcelain
from ochreway_core.ids import ScopeId
from ochreway_core.rows import head_key
from ochreway_core.table import CommitReply, CommitStatus, Row, Transaction
from ochreway_core.view import View
from ochreway_platform.memoryobjectstore import MemoryObjectStore
from ochreway_platform.memorytable import MemoryTable
from ochreway_standins.site import bundle_text

KEY = Ed25519PrivateKey.generate()
BODY = bundle_text(["a", "b", "c"], ["s"], 1, "1").encode()
SECOND = bundle_text(["a", "b", "c"], ["s"], 1, "2").encode()


class FlakyTable(MemoryTable):
    """Loses commit replies; each item of ``losses`` says whether that commit is applied first."""

    def __init__(self) -> None:
        super().__init__()
        self.losses: list[bool] = []

    async def commit(self, transaction: Transaction) -> CommitReply:
        if not self.losses:
            return self.commit_now(transaction)
        if self.losses.pop(0):
            self.commit_now(transaction)
        return CommitReply(CommitStatus.LOST)

    async def read(self, prefixes: tuple[str, ...]) -> Mapping[str, Row]:
        return self.read_now(prefixes)


class PorcelainTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = FlakyTable()
        self.porcelain = Porcelain(self.table, MemoryObjectStore(), ScopeId("main"))
        self.patch(settle, "RETRY_DELAY_S", 0.0)

    def approved(self, body: bytes = BODY) -> str:
        async def submit_and_approve() -> str:
            row = await self.porcelain.submit(body, "ann")
            await self.porcelain.approve(row.bundle, "bo", KEY)
            return row.bundle

        return asyncio.run(submit_and_approve())

    def roll(self, digest: str, seen: int | None = None) -> int:
        return asyncio.run(self.porcelain.roll(digest, "ann", seen)).roll.version

    def test_rolling_back_creates_a_new_version(self) -> None:
        first, second = self.approved(), self.approved(SECOND)
        self.assertEqual([1, 2, 3], [self.roll(first), self.roll(second), self.roll(first)])

    def test_rolled_version_can_be_applied(self) -> None:
        snapshot = asyncio.run(self.porcelain.roll(self.approved(), "ann", None))
        view = View({"bo": KEY.public_key()}, 60.0)
        self.assertTrue(view.apply(snapshot, 0.0).unwrap())
        self.assertFalse(view.apply(snapshot, 0.0).unwrap())

    def test_unsigned_bundle_is_not_rolled(self) -> None:
        row = asyncio.run(self.porcelain.submit(BODY, "ann"))
        self.assertRaises(NotApproved, self.roll, row.bundle)

    def test_author_may_not_sign_off(self) -> None:
        row = asyncio.run(self.porcelain.submit(BODY, "ann"))
        approve = self.porcelain.approve(row.bundle, "ann", KEY)
        self.assertRaises(NotApproved, asyncio.run, approve)

    def test_unknown_bundle(self) -> None:
        self.assertRaises(NotFound, self.roll, "feed")

    def test_bundle_of_another_scope(self) -> None:
        body = BODY.replace(b'name = "care"', b'name = "care"\nscope = "other"', 1)
        self.assertRaises(BundleRefused, asyncio.run, self.porcelain.submit(body, "ann"))

    def test_operator_who_saw_another_version_is_told_which(self) -> None:
        digest = self.approved()
        self.roll(digest)
        lost = self.assertRaises(RaceLost, self.roll, digest, 0)
        self.assertIn("version 1 is in force", str(lost))

    def test_lost_answer_of_a_roll_that_landed(self) -> None:
        digest = self.approved()
        self.table.losses = [True]
        self.assertEqual(1, self.roll(digest))
        self.assertEqual(2, self.roll(digest))

    def test_lost_answer_of_a_roll_that_did_not_land(self) -> None:
        digest = self.approved()
        self.table.losses = [False, False]
        self.assertEqual(1, self.roll(digest))
        rolls = [key for key in self.table.rows if key.startswith("roll/")]
        self.assertEqual(1, len(rolls))

    def test_roll_with_unknown_outcome_raises_fate_unknown(self) -> None:
        digest = self.approved()
        self.table.losses = [False] * 20
        self.assertRaises(FateUnknown, self.roll, digest)
        self.assertNotIn(head_key("main"), self.table.rows)
