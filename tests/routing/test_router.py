# SPDX-License-Identifier: Apache-2.0
import random

import testtools

from ochreway_core.ids import Epoch, GroupId, HallId, Incarnation, NodeId
from ochreway_core.messages import LoadReport
from ochreway_core.peer import Peer
from ochreway_core.priority import Priority
from ochreway_core.reason import Reason
from ochreway_routing.policy import POLICIES
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView
from ochreway_routing.router import Router


def report(group: str, gate: Reason = Reason.NONE, backlog_s: float = 0.0) -> LoadReport:
    return LoadReport(
        GroupId(group), Epoch(1), Incarnation(1), gate, 0, 0, backlog_s, backlog_s, 0, 8, (), ()
    )


def query(
    blocks: tuple[int, ...] = (), deadline_s: float = 100.0, adapter: str = "", share: str = "k"
) -> RouteQuery:
    return RouteQuery("m", "caller", blocks, 640, 10, Priority.NORMAL, deadline_s, adapter, share)


class RouterTests(testtools.TestCase):
    def make(self, policy: str = "cost", groups: str = "abc") -> Router:
        router = Router("h1", random.Random(1), policy=policy)
        router.set_replicas(
            ReplicaView(GroupId(name), "m", Peer(NodeId(name), ""), HallId("h1")) for name in groups
        )
        for name in groups:
            router.on_load_report(report(name), 0.0)
        return router

    def chosen(self, router: Router, route_query: RouteQuery, now_s: float = 0.1) -> str:
        return router.choose(route_query, frozenset(), now_s).unwrap().group

    def test_every_policy_chooses_one_that_takes_work(self) -> None:
        for policy in POLICIES:
            router = self.make(policy)
            router.on_load_report(report("a", Reason.DRAINING), 0.1)
            router.on_load_report(report("b", Reason.GROUP_INCOMPLETE), 0.1)
            self.assertEqual("c", self.chosen(router, query()))

    def test_old_reports_are_not_trusted(self) -> None:
        refused = self.make().choose(query(), frozenset(), 60.0).unwrap_err()
        self.assertEqual(Reason.GROUP_INCOMPLETE, refused.reason)

    def test_unknown_target(self) -> None:
        router = Router("h1", random.Random(1))
        refused = router.choose(query(), frozenset(), 0.0).unwrap_err()
        self.assertEqual(Reason.NO_GROUP, refused.reason)

    def test_cached_prefix_attracts_requests(self) -> None:
        router = self.make()
        blocks = tuple(range(10))
        router.record_sent(router.replicas[GroupId("b")], "x", 1, query(blocks), 0.0)
        router.record_answer(GroupId("b"), "x")
        self.assertEqual("b", self.chosen(router, query(blocks)))

    def test_load_outweighs_a_cached_prefix(self) -> None:
        router = self.make(groups="ab")
        blocks = tuple(range(10))
        router.record_sent(router.replicas[GroupId("b")], "x", 1, query(blocks), 0.0)
        router.on_load_report(report("b", backlog_s=2.0), 0.1)
        self.assertEqual("a", self.chosen(router, query(blocks)))

    def test_leaving_and_tried_are_left_out(self) -> None:
        router = self.make()
        router.replicas[GroupId("a")].leaving = True
        chosen = router.choose(query(), frozenset({GroupId("b")}), 0.1).unwrap()
        self.assertEqual("c", chosen.group)

    def test_unmeetable_deadline_is_refused_with_a_retry_time(self) -> None:
        router = self.make(groups="a")
        router.on_load_report(report("a", backlog_s=5.0), 0.0)
        refused = router.choose(query(deadline_s=1.0), frozenset(), 0.0).unwrap_err()
        self.assertEqual(Reason.DEADLINE_TOO_SHORT, refused.reason)
        self.assertGreaterEqual(refused.retry_after_s, 4.0)

    def test_failing_replica_is_ejected_and_returns(self) -> None:
        router = self.make(groups="ab")
        for _ in range(4):
            router.record_failure(GroupId("a"), "x", True, 0.1)
        self.assertEqual({"b"}, {self.chosen(router, query()) for _ in range(10)})
        self.assertFalse(router.replicas[GroupId("a")].ejection.is_ejected(6.0))

    def test_no_more_than_the_stated_share_is_ejected(self) -> None:
        router = self.make(groups="ab")
        for name in "ab":
            for _ in range(4):
                router.record_failure(GroupId(name), "x", True, 0.1)
        self.assertTrue(router.choose(query(), frozenset(), 0.2).is_ok())

    def test_missing_adapter_costs(self) -> None:
        router = self.make(groups="ab")
        router.replicas[GroupId("b")].adapters = frozenset({"swap"})
        self.assertEqual("b", self.chosen(router, query(adapter="swap")))

    def test_legacy_share(self) -> None:
        router = self.make(groups="a")
        legacy = ReplicaView(GroupId("legacy:m"), "m", Peer(NodeId("legacy:m"), "http://x"))
        legacy.legacy_percent = 30
        router.set_replicas([*router.replicas.values(), legacy])
        chosen = [self.chosen(router, query(share=str(index))) for index in range(1000)]
        self.assertTrue(250 < chosen.count("legacy:m") < 350)
        self.assertEqual(chosen[0], self.chosen(router, query(share="0")))

    def test_legacy_share_of_zero_and_of_all(self) -> None:
        router = self.make(groups="a")
        legacy = ReplicaView(GroupId("legacy:m"), "m", Peer(NodeId("legacy:m"), "http://x"))
        for percent, expected in ((0, "a"), (100, "legacy:m")):
            legacy.legacy_percent = percent
            replicas = [router.replicas[GroupId("a")], *([legacy] if percent else [])]
            router.set_replicas(replicas)
            chosen_groups = {self.chosen(router, query(share=str(index))) for index in range(50)}
            self.assertEqual({expected}, chosen_groups)
