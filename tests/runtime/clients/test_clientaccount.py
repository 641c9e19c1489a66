# SPDX-License-Identifier: Apache-2.0
"""Which connections are ended when all of them together hold too much."""

from dataclasses import dataclass, field

import testtools

from ochreway_runtime.clients.clientaccount import ClientAccount
from ochreway_runtime.clients.listener import Listener
from ochreway_runtime.clients.squeeze import LEAST, squeeze_of
from ochreway_runtime.metrics import Metrics
from tests.runtime.recordedlog import RecordedLog

CALLERS = Listener("callers")
PROBES = Listener("probes", 2)
LIMIT_BYTES = 1000


@dataclass(eq=False)
class FakeConnection:
    name: str
    listener: Listener = CALLERS
    has_requests: bool = False
    opened_s: float = 0.0
    held_bytes: int = 0
    ended: list[str] = field(default_factory=list)
    account: ClientAccount | None = None
    kept_bytes: int | None = None
    """What is left once all that waits is dropped, if an answer is under way."""

    def check(self, now_s: float) -> None:
        del now_s

    def shed(self) -> bool:
        if self.kept_bytes is None or self.account is None:
            return False
        kept_bytes, self.kept_bytes = self.kept_bytes, None
        self.account.update(self, kept_bytes)
        self.ended.append(f"waiting of {self.name}")
        return True

    def end(self) -> None:
        self.ended.append(self.name)


class ClientAccountTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.metrics = Metrics(None, "test")
        self.account = ClientAccount(RecordedLog(), self.metrics, LIMIT_BYTES)
        self.ended: list[str] = []

    def connection(self, name: str, held_bytes: int = 0, **fields: object) -> FakeConnection:
        made = FakeConnection(name, ended=self.ended, account=self.account, **fields)  # type: ignore[arg-type]
        self.account.add(made)
        self.account.update(made, held_bytes)
        return made

    def test_the_largest_without_a_whole_request_goes_first(self) -> None:
        self.connection("whole", 600, has_requests=True)
        self.connection("small", 100)
        self.connection("large", 200)
        self.connection("new", 150)
        self.assertEqual(["large"], self.ended)
        self.assertEqual(850, self.account.total_bytes)

    def test_whole_requests_go_last_and_only_as_far_as_needed(self) -> None:
        self.connection("whole-large", 500, has_requests=True)
        self.connection("whole-small", 300, has_requests=True)
        self.connection("partial", 400)
        self.assertEqual(["partial"], self.ended)
        self.connection("whole-new", 400, has_requests=True)
        self.assertEqual(["partial", "whole-large"], self.ended)

    def test_an_answer_under_way_is_kept_if_what_waits_behind_it_is_enough(self) -> None:
        self.connection("answering", 600, has_requests=True, kept_bytes=50)
        self.connection("whole", 300, has_requests=True)
        self.connection("new", 200, has_requests=True)
        self.assertEqual(["waiting of answering"], self.ended)
        self.assertEqual(550, self.account.total_bytes)

    def test_an_answer_under_way_is_given_up_if_that_is_not_enough(self) -> None:
        self.connection("answering", 900, has_requests=True, kept_bytes=890)
        self.connection("new", 200, has_requests=True, kept_bytes=190)
        self.assertEqual(["waiting of answering", "waiting of new", "answering"], self.ended)

    def test_one_that_grows_too_large_ends_itself(self) -> None:
        grown = self.connection("grown", 10)
        self.account.update(grown, LIMIT_BYTES + 1)
        self.assertEqual(["grown"], self.ended)
        self.assertEqual(0, self.account.total_bytes)
        self.account.update(grown, 500)
        self.assertEqual(0, self.account.total_bytes)

    def test_little_memory_lowers_the_limit(self) -> None:
        self.connection("large", 500)
        self.connection("small", 150)
        self.account.squeeze(LEAST)
        self.assertEqual(["large"], self.ended)
        self.assertEqual((1.0, LEAST), (squeeze_of(0.5), squeeze_of(1.2)))

    def test_an_unused_connection_gives_way_before_a_used_one(self) -> None:
        used = self.connection("used", listener=PROBES, opened_s=1.0)
        busy = self.connection("busy", listener=PROBES, has_requests=True, opened_s=2.0)
        self.connection("unused", listener=PROBES, opened_s=3.0)
        for each in (used, busy):
            self.account.mark_used(each)
        self.assertTrue(self.account.is_full(PROBES))
        self.assertTrue(self.account.make_place(PROBES, 4.0))
        self.assertFalse(self.account.is_full(PROBES))
        self.assertTrue(self.account.make_place(PROBES, 4.0))
        self.assertFalse(self.account.make_place(PROBES, 4.0))
        self.assertEqual(["unused", "used"], self.ended)

    def test_a_kept_connection_of_a_caller_does_not_give_way(self) -> None:
        self.account.mark_used(self.connection("kept", opened_s=0.0))
        self.connection("young", opened_s=9.5)
        self.assertFalse(self.account.make_place(CALLERS, 10.0, only_late=True))
        self.assertTrue(self.account.make_place(CALLERS, 10.6, only_late=True))
        self.assertEqual(["young"], self.ended)
