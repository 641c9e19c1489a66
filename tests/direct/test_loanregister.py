# SPDX-License-Identifier: Apache-2.0
"""Register of borrowers, and what is known of the loans of former holders."""

import random

import testtools

from ochreway_core.backoff import Backoff
from ochreway_core.codec import from_fields, to_fields
from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_core.reading import reader
from ochreway_direct.leases.lease import Holder, Lease
from ochreway_direct.messages import LeaseSighting
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.formerloans import FormerLoans
from ochreway_direct.sendlimits.heldloan import HeldLoan
from ochreway_direct.sendlimits.heldloans import SENT_LAPSE_S, HeldLoans
from ochreway_direct.sendlimits.lender import NEW_HOLDER_DELAY_S, Lender
from ochreway_direct.sendlimits.loan import LOAN_DURATION_S, Loan
from ochreway_direct.sendlimits.loannews import LoanNews
from ochreway_direct.sendlimits.loanregister import LoanRegister
from ochreway_platform.memorytable import MemoryTable
from tests.direct.sendworld import SERVICE, UnreliableTable, run_synchronously

ONE, TWO, THREE = (Borrower(NodeId(f"e{n}"), f"i{n}") for n in range(3))
LEASE = 7
AMOUNT = {SERVICE: 12}


class LoanRegisterTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.shared = MemoryTable()
        self.table = UnreliableTable(self.shared)
        self.lease = self.take_lease("e0", 1.0)
        self.register = self.register_of(self.lease, self.table)

    def take_lease(self, name: str, now_s: float) -> Lease:
        table = self.table if name == "e0" else self.shared
        lease = Lease(table, Holder(NodeId(name), "1"), 2.0, self.backoff())
        run_synchronously(lease.observe(now_s))
        self.assertTrue(run_synchronously(lease.acquire(now_s)))
        return lease

    def backoff(self) -> Backoff:
        return Backoff(0.1, 1.0, random.Random(1))

    def register_of(self, lease: Lease, table: MemoryTable) -> LoanRegister:
        register = LoanRegister(table, lease, self.backoff())
        self.assertTrue(run_synchronously(register.read(1.0)))
        return register

    def write(self, *borrowers: Borrower, share: int = 2) -> bool:
        bounds = {each: {SERVICE: share} for each in borrowers}
        return run_synchronously(self.register.write(bounds, frozenset((NodeId("e9"),)), 2.0))

    def names(self) -> set[Borrower]:
        return set(self.register.registered)

    def test_written_borrowers_are_registered_for_the_next_holder(self) -> None:
        self.assertTrue(self.write(ONE, TWO))
        self.assertEqual({ONE, TWO}, self.names())
        row = self.register_of(self.take_lease("e1", 5.0), self.shared).row
        assert row is not None
        self.assertEqual(self.lease.term, row.term)
        self.assertEqual({ONE: {SERVICE: 2}, TWO: {SERVICE: 2}}, row.bounds())
        self.assertEqual((NodeId("e9"),), row.entries)

    def test_a_former_holder_registers_nobody(self) -> None:
        """Guards against a borrower that the next holder has not read."""
        self.write(ONE)
        self.take_lease("e1", 5.0)
        self.assertFalse(self.write(ONE, TWO))
        self.assertNotIn(TWO, self.names())

    def test_a_row_of_a_former_lease_registers_nobody(self) -> None:
        self.write(ONE)
        self.assertEqual({}, self.register_of(self.take_lease("e1", 5.0), self.shared).registered)

    def test_a_lost_reply_is_resolved_by_reading_back(self) -> None:
        self.table.answers_lost = True
        self.assertFalse(self.write(ONE))
        self.assertEqual((set(), True), (self.names(), self.register.unread))
        self.table.answers_lost = False
        run_synchronously(self.register.read(3.0))
        self.assertEqual({ONE}, self.names())

    def test_only_what_a_write_of_unknown_outcome_allows_too_is_registered(self) -> None:
        self.write(ONE, TWO, share=4)
        self.table.unreachable = True
        self.write(ONE, share=3)
        self.table.unreachable = False
        run_synchronously(self.register.read(3.0))
        self.assertEqual({ONE: {SERVICE: 3}}, self.register.registered)
        self.assertTrue(self.write(ONE, TWO))
        self.assertEqual({ONE, TWO}, self.names())

    def test_a_read_that_shows_an_older_row_is_not_used(self) -> None:
        """Guards against lending to a borrower that the last write left out."""
        self.write(ONE, TWO)
        before = dict(self.shared.rows)
        self.write(ONE)
        self.table.unreachable = True
        self.write(ONE)
        self.table.unreachable = False
        current, self.shared.rows = self.shared.rows, before
        self.assertFalse(run_synchronously(self.register.read(3.0)))
        self.assertEqual(({ONE}, True), (self.names(), self.register.unread))
        self.shared.rows = current
        self.assertTrue(run_synchronously(self.register.read(4.0)))
        self.assertEqual({ONE}, self.names())

    def test_the_entries_are_read_only_from_the_row_of_the_lease_in_force(self) -> None:
        self.write(ONE)
        row = run_synchronously(self.register.read_in_force(3.0))
        self.assertEqual((ONE,), row.borrowers if row is not None else ())
        self.take_lease("e1", 5.0)
        self.assertIsNone(run_synchronously(self.register.read_in_force(6.0)))


class FormerLoansTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.former = FormerLoans()
        self.former.on_register_read({ONE: {SERVICE: 3}, TWO: {SERVICE: 2}})

    def unknown(self, now_s: float) -> int:
        return self.former.unknown_share(SERVICE, now_s)

    def test_a_borrower_counts_in_full_until_it_answers(self) -> None:
        self.assertEqual(5, self.unknown(100.0))
        self.assertTrue(self.former.on_answer(ONE, 50.0, 100.0))
        self.assertEqual(2, self.unknown(100.0))

    def test_a_process_that_ended_counts_until_its_requests_do_not(self) -> None:
        self.former.on_ended(ONE, 100.0)
        self.assertEqual(5, self.unknown(100.0 + SENT_LAPSE_S - 0.1))
        self.assertEqual(2, self.unknown(100.0 + SENT_LAPSE_S))

    def test_an_answer_of_a_process_that_seemed_to_have_ended_counts(self) -> None:
        self.former.on_ended(ONE, 100.0)
        self.assertTrue(self.former.on_answer(ONE, 50.0, 100.1))
        self.assertEqual(2, self.unknown(100.1))

    def test_a_new_incarnation_shows_that_a_process_ended_earlier_than_noticed(self) -> None:
        self.former.on_ended(ONE, 100.0)
        self.former.on_answer(Borrower(ONE.node, "later"), 3.0, 100.5)
        self.assertEqual(2, self.unknown(100.5))

    def test_a_new_incarnation_shows_when_the_former_one_ended_at_the_latest(self) -> None:
        self.assertFalse(self.former.on_answer(Borrower(ONE.node, "later"), 1.0, 100.0))
        self.assertEqual(5, self.unknown(99.0 + SENT_LAPSE_S - 0.1))
        self.assertEqual(2, self.unknown(99.0 + SENT_LAPSE_S))


class HeldLoansTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.held = HeldLoans()

    def test_a_loan_of_an_older_lease_is_refused(self) -> None:
        self.held.observe_lease(LEASE)
        self.assertFalse(self.held.accept(Loan({SERVICE: 3}, LEASE - 1), 10.0, 10.0))
        self.assertTrue(self.held.accept(Loan({SERVICE: 2}, LEASE), 10.0, 10.0))
        self.assertEqual(2, self.held.share_of(SERVICE, 10.0))

    def test_a_loan_of_the_previous_build_is_accepted(self) -> None:
        self.held.observe_lease(LEASE)
        self.assertTrue(self.held.accept(Loan({SERVICE: 3}), 10.0, 10.0))

    def test_a_report_names_each_loan_while_its_requests_count(self) -> None:
        self.held.accept(Loan({SERVICE: 3}, 1), 10.0, 10.0)
        self.held.accept(Loan({SERVICE: 1}, 1), 10.9, 11.0)
        now = HeldLoan({SERVICE: 1}, LOAN_DURATION_S - 0.6, 1)
        self.assertEqual([HeldLoan({SERVICE: 3}, -0.5, 1), now], self.rounded(11.5))
        self.assertEqual(1, len(self.rounded(11.0 + SENT_LAPSE_S)))
        self.assertEqual([], self.rounded(10.9 + LOAN_DURATION_S + SENT_LAPSE_S))

    def rounded(self, now_s: float) -> list[HeldLoan]:
        report = self.held.report(now_s)
        return [HeldLoan(each.shares, round(each.ends_in_s, 6), each.lease) for each in report]


class NewHolderTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lender = Lender()
        self.lender.on_lease_taken(100.0)
        self.weights = {each.node: 0.0 for each in (ONE, TWO, THREE)}

    def lend(self, borrower: Borrower, now_s: float) -> int:
        loan = self.lender.lend(borrower.node, AMOUNT, self.weights, now_s, AMOUNT)
        return loan.shares.get(SERVICE, 0)

    def read(self) -> None:
        self.lender.on_register_read({ONE: {SERVICE: 5}, TWO: {SERVICE: 4}})

    def news(self, lease: int, share: int, ends_in_s: float) -> LoanNews:
        return LoanNews(lease, (HeldLoan({SERVICE: share}, ends_in_s),), 50.0)

    def test_nothing_is_lent_before_the_register_was_read(self) -> None:
        self.assertFalse(self.lender.may_lend(100.5, 100.5))
        self.read()
        self.assertTrue(self.lender.may_lend(100.5, 100.5))

    def test_the_bounds_of_borrowers_without_an_answer_are_not_lent(self) -> None:
        self.read()
        self.assertEqual(3, self.lend(THREE, 100.1))

    def test_the_wait_ends_without_answers(self) -> None:
        self.read()
        self.assertEqual(4, self.lend(THREE, 100.1 + NEW_HOLDER_DELAY_S))

    def test_what_a_borrower_still_holds_is_not_lent_until_it_lapses(self) -> None:
        self.read()
        self.lender.on_news(ONE, self.news(LEASE, 9, 1.0), LEASE, 100.1)
        self.lender.on_news(TWO, LoanNews(LEASE, (), 50.0), LEASE, 100.1)
        self.assertEqual(3, self.lend(THREE, 101.1 + SENT_LAPSE_S - 0.1))
        self.assertEqual(4, self.lend(THREE, 101.1 + SENT_LAPSE_S))

    def test_a_report_without_this_lease_is_no_answer(self) -> None:
        self.read()
        self.lender.on_news(ONE, self.news(LEASE - 1, 1, 1.0), LEASE, 100.1)
        self.assertIn(ONE, self.lender.former.unanswered())

    def test_an_answer_before_the_register_was_read_counts_from_its_receipt(self) -> None:
        self.lender.on_news(ONE, self.news(LEASE, 9, 1.0), LEASE, 100.1)
        self.lender.on_news(TWO, LoanNews(LEASE, (), 50.0), LEASE, 100.1)
        self.read()
        self.assertEqual(3, self.lend(THREE, 100.5))
        self.assertEqual(4, self.lend(THREE, 101.1 + SENT_LAPSE_S))


class PreviousBuildTests(testtools.TestCase):
    """A process of the previous build ignores new fields, and sends none."""

    def test_a_loan_without_a_lease(self) -> None:
        plain = {"shares": {"s": 2}}
        self.assertEqual(Loan({SERVICE: 2}), reader(Loan)(plain))

    def test_a_sighting_without_a_report_of_loans(self) -> None:
        sighting = LeaseSighting(Peer(NodeId("e0"), "x:1"), 3)
        fields = to_fields(sighting)[:3]
        names = ("peer", "revision", "silent_s")
        plain = dict(zip(names, fields, strict=True))
        self.assertEqual(sighting, reader(LeaseSighting)(plain))

    def test_a_report_of_loans_is_carried(self) -> None:
        news = LoanNews(LEASE, (HeldLoan({SERVICE: 2}, 1.5, LEASE),), 9.0)
        sighting = LeaseSighting(Peer(NodeId("e0"), "x:1"), 3, loans=news)
        self.assertEqual(sighting, from_fields(LeaseSighting, to_fields(sighting)))
