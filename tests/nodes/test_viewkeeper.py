# SPDX-License-Identifier: Apache-2.0
"""A read of groups that gets no reply leaves the known groups as they are.

Guards against taking the reply to the next read, which holds other rows, for the lost one.
"""

import random

import testtools

from ochreway_core.codec import encode
from ochreway_core.effects import TableRead
from ochreway_core.ids import Epoch, NodeId, ScopeId
from ochreway_core.rows import GroupRow, LeaseRow, group_key, lease_key
from ochreway_core.table import ReadReply, Row
from ochreway_core.timing import Timing
from ochreway_core.view import View
from ochreway_nodes.drainstate import DrainState
from ochreway_nodes.entry.viewkeeper import ViewKeeper
from ochreway_nodes.outbox import Outbox
from ochreway_nodes.viewsync import ViewSync
from tests.nodes.leadercase import DOMAIN, row

COUNTER = Epoch(7)


class GroupReadingTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timing = Timing()
        self.outbox = Outbox()
        view_sync = ViewSync(View({}, 60.0), self.outbox)
        calls = iter(range(1, 100))
        self.keeper = ViewKeeper(
            *(ScopeId("main"), self.timing, view_sync, DrainState(5.0, 0.0), self.outbox),
            *(random.Random(1), lambda: next(calls)),
        )

    def next_read(self, now_s: float) -> TableRead:
        self.keeper.tick(now_s)
        (table_read,) = [effect for effect in self.outbox.take() if isinstance(effect, TableRead)]
        return table_read

    def answer(self, read: TableRead, rows: dict[str, Row], now_s: float) -> list[TableRead]:
        matching = {k: v for k, v in rows.items() if k.startswith(read.prefixes)}
        self.keeper.on_read(read.call, ReadReply(matching), now_s)
        return [effect for effect in self.outbox.take() if isinstance(effect, TableRead)]

    def rows(self) -> dict[str, Row]:
        group: GroupRow = row("abc")
        lease = self.lease()
        return {
            lease_key(DOMAIN): Row(1, encode(lease)),
            group_key(DOMAIN, group.group): Row(2, encode(group)),
        }

    def lease(self) -> LeaseRow:
        return LeaseRow(holder=NodeId("e"), term=1, beat=1, counter=COUNTER)  # type: ignore[arg-type]

    def test_the_reply_after_a_lost_one_is_not_mistaken_for_it(self) -> None:
        rows = self.rows()
        (group_read,) = self.answer(self.next_read(100.0), rows, 100.0)
        self.assertIn(group_key(DOMAIN, ""), group_read.prefixes)
        self.keeper.tick(101.0 + self.timing.table_timeout_s)
        self.outbox.take()
        later_s = 200.0
        repeated_reads = self.answer(self.next_read(later_s), rows, later_s)
        self.assertEqual([], self.keeper.groups())
        (repeated_read,) = repeated_reads
        self.answer(repeated_read, rows, later_s)
        self.assertEqual(["g"], [known.group for known in self.keeper.groups()])
