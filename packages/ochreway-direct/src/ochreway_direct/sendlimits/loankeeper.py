# SPDX-License-Identifier: Apache-2.0
"""Task that keeps the register of borrowers, and finds out what former borrowers hold."""

import asyncio
from collections.abc import Callable, Coroutine

from ochreway_core.ids import NodeId
from ochreway_core.table import ABSENT
from ochreway_direct.leases.lease import Lease
from ochreway_direct.sendlimits.borrower import Borrower
from ochreway_direct.sendlimits.loanregister import LoanRegister
from ochreway_direct.sendlimits.loans import Loans
from ochreway_direct.sendlimits.loansrow import LoansRow
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

REGISTER_READ_INTERVAL_S = 0.3
"""How soon an entry that does not know the other entries yet reads the register again."""
MAX_READ_INTERVAL_S = 3.0
"""Upper limit of that interval, which is doubled while an entry stays without a register."""
WRITE_INTERVAL_S = 0.1
"""Minimum time between two writes, so that entries that start together are written together."""
PROBE_INTERVAL_S = 0.3
"""How often the processes that have not answered are checked for having ended."""
PROBE_TIMEOUT_S = 0.25
"""Maximum wait for a connection, after which it is not known whether the process has ended."""


class LoanKeeper:
    """Register borrowers before they are lent to, and resolve the loans of former holders.

    Args:
        on_ready: called when loans can be made under a lease, to make them at once.
        spawn: runs a task until the process stops.
    """

    def __init__(
        self,
        loans: Loans,
        register: LoanRegister,
        lease: Lease,
        static_share: StaticShare,
        on_ready: Callable[[], None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start without having read the register."""
        self._loans = loans
        self._register = register
        self._lease = lease
        self._static_share = static_share
        self._on_ready = on_ready
        self._spawn = spawn
        self._log = log
        self._metrics = metrics
        self._announced = (0, False, False)
        self._row_read = (0, ABSENT)
        self._entries_read_s = -REGISTER_READ_INTERVAL_S
        self._read_interval_s = REGISTER_READ_INTERVAL_S
        self._checked_s = -WRITE_INTERVAL_S
        self._probed_s = -PROBE_INTERVAL_S

    async def run(self, tick_s: float) -> None:
        """Keep the register until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(tick_s)
            await self.update(loop.time())
            self._probe_unanswered(loop.time())

    async def update(self, now_s: float) -> None:
        """Read or write the register, if that is due."""
        if not self._loans.has_allowances or not self._register.may_retry(now_s):
            return
        if not self._lease.held:
            await self._read_entries(now_s)
            return
        self._loans.on_lease(now_s)
        if self._register.unread and not await self._read_register(now_s):
            return
        await self._write_register(now_s)
        self._announce_loans(now_s)

    def _announce_loans(self, now_s: float) -> None:
        """Make loans at once when they can be made, and again when none is withheld any more."""
        state = (
            self._lease.acquired_revision,
            self._loans.may_lend(now_s),
            self._loans.lends_all(now_s),
        )
        if state == self._announced:
            return
        self._announced = state
        _, lending, lending_all = state
        if lending_all:
            self._log.event("loans_known", lease=self._lease.acquired_revision)
        if lending:
            self._on_ready()

    async def _read_entries(self, now_s: float) -> None:
        """Read which other entries are registered, until this one knows them."""
        share = self._static_share
        if share.has_register or share.is_settled(now_s):
            self._read_interval_s = REGISTER_READ_INTERVAL_S
            return
        if now_s - self._entries_read_s < self._read_interval_s:
            return
        self._entries_read_s = now_s
        self._read_interval_s = min(2 * self._read_interval_s, MAX_READ_INTERVAL_S)
        self._metrics.count("loan.register_read")
        row = await self._register.read_in_force(now_s)
        if row is not None:
            self._use_entries(row, now_s)

    def _use_entries(self, row: LoansRow, now_s: float) -> None:
        share = self._static_share
        if not share.has_register and not share.is_settled(now_s):
            share.on_register([each.node for each in row.borrowers], row.entries, now_s)

    async def _read_register(self, now_s: float) -> bool:
        """Read the row after the lease was acquired, or after a write of unknown outcome."""
        lease = self._lease.acquired_revision
        self._metrics.count("loan.register_read")
        if not await self._register.read(now_s) or self._lease.acquired_revision != lease:
            return False
        row = self._register.row
        is_own = row is not None and row.term == self._lease.term
        if not is_own and self._row_read != (lease, self._register.revision):
            # A read may not show the last write of the former holder. A write of this holder then
            # fails, as it requires the row as it was read.
            self._row_read = lease, self._register.revision
            self._take_over(now_s)
        return True

    def _take_over(self, now_s: float) -> None:
        """Use the row of the former holder, if that was written under its last lease."""
        row, former_term = self._register.row, self._lease.former_term
        lease = self._lease.acquired_revision
        if row is None or not former_term or row.term != former_term:
            self._log.event("loans_unknown", lease=lease)
            return
        self._loans.take_over(row.bounds())
        self._use_entries(row, now_s)
        self._log.event("loans_registered", lease=lease, borrowers=len(row.borrowers))

    async def _write_register(self, now_s: float) -> None:
        if not self._lease.held or not self._loans.lender.knows_former(now_s):
            return
        if now_s - self._checked_s < WRITE_INTERVAL_S:
            return
        self._checked_s = now_s
        bounds = self._loans.bounds_to_register(now_s)
        registered = self._register.registered if bounds is None else bounds
        entries = self._static_share.known_entries | {each.node for each in registered}
        if bounds is None and self._names_all(entries):
            return
        if await self._register.write(registered, entries, now_s):
            self._metrics.count("loan.register_written")
        else:
            self._metrics.count("loan.register_unavailable")

    def _names_all(self, entries: frozenset[NodeId]) -> bool:
        row = self._register.row
        return row is not None and entries <= set(row.entries)

    def _probe_unanswered(self, now_s: float) -> None:
        """Find out which borrowers that have not answered have ended."""
        if now_s - self._probed_s < PROBE_INTERVAL_S:
            return
        self._probed_s = now_s
        for borrower in self._loans.unanswered(now_s):
            if borrower.address:
                self._spawn(self._probe(borrower))

    async def _probe(self, borrower: Borrower) -> None:
        if self._loans.is_ended(borrower) or not await _refuses_connections(borrower.address):
            return
        if not self._loans.is_ended(borrower):
            self._loans.on_ended(borrower, asyncio.get_running_loop().time())
            self._log.event("borrower_ended", borrower=borrower.node)

    def on_link_down(self, node: NodeId) -> None:
        """Find out whether a process has ended, in case this entry acquires the lease."""
        process = self._loans.process_of(node)
        if process is not None and self._loans.has_allowances:
            self._spawn(self._probe(process))


async def _refuses_connections(address: str) -> bool:
    """Return whether nothing listens at an address, so that the process has ended."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        pass
    return False


__all__ = ["LoanKeeper"]
