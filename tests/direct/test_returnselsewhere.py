# SPDX-License-Identifier: Apache-2.0
"""Refused callers who return to another entry, under virtual time.

Each test has the sum of meters that count every try as its baseline.
"""

import random
from collections.abc import Callable

import testtools

from ochreway_core.codec import decode, encode, from_fields, to_fields
from ochreway_core.ids import NodeId
from ochreway_direct.demand.demandmeter import DemandMeter
from ochreway_direct.demand.refusalqueue import MAX_REFUSALS, MAX_WAIT_S
from ochreway_direct.demand.refusals import NO_REFUSALS, Refusals
from ochreway_direct.messages import Heartbeat
from ochreway_direct.work import Work, subtract_work, sum_work
from ochreway_standins.spreadworld import SpreadEntry, SpreadWorld, virtually
from tests.direct.test_firsttries import DEADLINE_S, MODEL, RATE_PER_S, WORK_S, fingerprint

SETTLE_S = 3.0
LOAD_S = 15.0
REFUSED_AFTER_S = 0.05


class Load:
    """Callers who are refused some times, and return to another entry after a delay."""

    def __init__(self, world: SpreadWorld, refusals: int, returns_after_s: float) -> None:
        self.world = world
        self.refusals = refusals
        self.rate_per_s = RATE_PER_S
        self.refused_share = 1.0
        self.equal = False
        self.returns_after_s = returns_after_s
        self.first_tries, self.every_try = DemandMeter(), DemandMeter()
        self._random = random.Random(5)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._callers = 0

    def run(self, duration_s: float) -> None:
        arrives_s = self.world.now_s
        end_s = arrives_s + duration_s
        while self.world.now_s < end_s:
            while arrives_s <= self.world.now_s:
                self._callers += 1
                self._try(0 if self.equal else self._callers, 0, None)
                arrives_s += self._random.expovariate(self.rate_per_s)
            self.world.run(self.world.step_s)
            due = [each for each in self._events if each[0] <= self.world.now_s + 1e-6]
            self._events = [each for each in self._events if each not in due]
            for _, _, happen in sorted(due, key=lambda each: each[:2]):
                happen()

    def _try(self, caller: int, again: int, before: NodeId | None) -> None:
        node = self._random.choice([each for each in self.world.entries if each != before])
        entry, now_s = self.world.entries[node], self.world.now_s
        entry.first_tries.record_arrival(fingerprint(caller), MODEL, WORK_S, now_s)
        self.every_try.record_work(MODEL, WORK_S, now_s)
        if not again:
            self.first_tries.record_work(MODEL, WORK_S, now_s)
        if again < self.refusals and self._random.random() < self.refused_share:
            self._at(REFUSED_AFTER_S, lambda: self._refuse(caller, again, node, entry))

    def _refuse(self, caller: int, again: int, node: NodeId, entry: SpreadEntry) -> None:
        entry.first_tries.record_refusal(fingerprint(caller), DEADLINE_S, self.world.now_s)
        self._at(self.returns_after_s, lambda: self._try(caller, again + 1, node))

    def _at(self, after_s: float, happen: Callable[[], None]) -> None:
        self._events.append((self.world.now_s + after_s, len(self._events), happen))

    def shares(self) -> tuple[float, float]:
        """Return the measured demand and that of every try, as multiples of the truth."""
        now_s = self.world.now_s
        truth = self.first_tries.offered(now_s)[MODEL]
        measured = sum(
            each.meter.offered(now_s).get(MODEL, 0.0) for each in self.world.entries.values()
        )
        return measured / truth, self.every_try.offered(now_s)[MODEL] / truth


def shares_under_load(
    entries: int,
    refusals: int,
    returns_after_s: float,
    prepare: Callable[[Load], None] = lambda load: None,
) -> tuple[float, float]:
    shares: list[tuple[float, float]] = []

    def run(loop: object) -> None:
        world = SpreadWorld(loop, entries, min(entries, 3))  # type: ignore[arg-type]
        world.run(SETTLE_S)
        load = Load(world, refusals, returns_after_s)
        prepare(load)
        load.run(LOAD_S)
        shares.append(load.shares())

    virtually(run)
    return shares[0]


class ReturnsElsewhereTests(testtools.TestCase):
    def test_callers_who_return_elsewhere_are_counted_once(self) -> None:
        """Guards against demand that grows while callers go from one entry to the next.

        They return before the next heartbeat, so that their work is taken back, and after it.
        """
        for entries, refusals, returns_after_s in (
            *((2, 1, 0.05), (2, 2, 0.7), (15, 1, 0.15), (15, 2, 0.05), (15, 2, 0.7)),
            (24, 2, 0.15),
        ):
            measured, every_try = shares_under_load(entries, refusals, returns_after_s)
            self.assertLess(abs(measured - 1.0), 0.1)
            self.assertGreater(every_try, 1.0 + 0.8 * refusals)

    def test_equal_requests_of_different_callers_stay_demand_while_some_are_refused(self) -> None:
        """Guards against a refusal that excuses a caller at each entry that hears of it."""

        def send_equal(load: Load) -> None:
            load.equal, load.refused_share = True, 0.2

        measured, every_try = shares_under_load(15, 1, 0.3, send_equal)
        self.assertGreater(measured, 0.9)
        self.assertLess(measured, every_try)

    def test_above_a_mesh_demand_is_never_below_the_truth(self) -> None:
        """Guards against callers that are not counted at all where refusals are known to some."""
        measured, every_try = shares_under_load(36, 1, 0.5)
        self.assertGreater(measured, 0.95)
        self.assertLess(measured, every_try)

    def test_an_entry_cut_off_counts_returns_as_new(self) -> None:
        def cut_all(load: Load) -> None:
            load.world.cut = lambda sender, receiver: True

        measured, every_try = shares_under_load(5, 1, 0.5, cut_all)
        self.assertLess(abs(measured / every_try - 1.0), 0.05)

    def test_refusals_that_do_not_fit_go_with_the_next_heartbeat_or_are_dropped(self) -> None:
        """Guards against heartbeats that grow with the rate of refusals."""

        def run(loop: object) -> None:
            world = SpreadWorld(loop, 2, 1)  # type: ignore[arg-type]
            world.run(SETTLE_S)
            first, second = world.entries.values()
            for number in range(MAX_REFUSALS + 10):
                first.first_tries.record_refusal(fingerprint(number), DEADLINE_S, world.now_s)
            refusals = first.first_tries.take_refusals(world.now_s, 1)
            self.assertEqual(MAX_REFUSALS, len(refusals.fingerprints))
            world.run(0.6)
            for number in range(MAX_REFUSALS, MAX_REFUSALS + 10):
                second.first_tries.record_arrival(fingerprint(number), MODEL, WORK_S, world.now_s)
            self.assertEqual(10, second.metrics.counters["demand.returned"])
            first.first_tries.record_refusal(fingerprint(1), DEADLINE_S, world.now_s)
            later = first.first_tries.take_refusals(world.now_s + MAX_WAIT_S + 0.1, 1)
            self.assertEqual(NO_REFUSALS, later)
            self.assertEqual(1, first.metrics.counters["demand.returns_dropped"])

        virtually(run)


class RefusalMessageTests(testtools.TestCase):
    def test_a_sum_of_work_has_no_refusals_and_the_longest_measurement(self) -> None:
        refusals = Refusals((b"1",), (0,), (4000,))
        own, other = Work(measured_s=2.0, refusals=refusals), Work(measured_s=7.0)
        both = sum_work((own, other))
        self.assertEqual((7.0, NO_REFUSALS), (both.measured_s, both.refusals))
        self.assertEqual(7.0, subtract_work(both, own).measured_s)
        self.assertEqual(0.0, subtract_work(both, other).measured_s)

    def test_builds_without_refusals_and_with_them_read_each_other(self) -> None:
        """Guards against heartbeats that the other build of a rolling upgrade rejects."""
        sent: list[Heartbeat] = []

        def run(loop: object) -> None:
            world = SpreadWorld(loop, 2, 1)  # type: ignore[arg-type]
            first, second = world.entries.values()
            sent.append(first.heartbeats._heartbeat(second.me.peer, Work(), (), False, world.now_s))

        virtually(run)
        fields = to_fields(sent[0])
        self.assertEqual(18, len(fields))
        work = next(each for each in fields if isinstance(each, dict) and "under_way" in each)
        names = ["under_way", "unread", "offered", "measured_s", "refusals", "waiting", "served_by"]
        self.assertEqual(names, list(work))
        del work["measured_s"], work["refusals"], work["waiting"], work["served_by"]
        self.assertEqual(Work(), from_fields(Heartbeat, fields).work)
        self.assertEqual(NO_REFUSALS, from_fields(Heartbeat, fields).work.refusals)
        work["field_of_a_later_build"] = 1
        self.assertEqual({}, from_fields(Heartbeat, fields).work.offered)
        self.assertEqual(sent[0], decode(Heartbeat, encode(sent[0])))
