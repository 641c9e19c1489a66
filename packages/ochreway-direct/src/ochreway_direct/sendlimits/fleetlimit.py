# SPDX-License-Identifier: Apache-2.0
"""This entry's share of the fleet-wide limit on requests to targets that may be cold."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping

from ochreway_core.ids import InstanceId, NodeId
from ochreway_direct.configuration import Service
from ochreway_direct.ids import ServiceName
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.allowance import Allowance
from ochreway_direct.sendlimits.coldtargets import ColdTargets
from ochreway_direct.sendlimits.heldloans import HeldLoans
from ochreway_direct.sendlimits.loan import Loan
from ochreway_direct.sendlimits.sendlimit import SendLimit
from ochreway_direct.sendlimits.sendwindow import WINDOW_S, SendWindow
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_runtime.logs import EventLog
from ochreway_runtime.metrics import Metrics

Services = Callable[[], Iterable[Service]]
"""Return the services of the configuration in force."""


class FleetLimit(SendLimit):
    """Keep requests to each target within a static share and a loan, cold or not.

    A target may turn cold at any moment, and this entry may learn of it late or never. Therefore
    the sum of all entries' shares never exceeds what a cold target can take.
    """

    def __init__(
        self,
        services: Services,
        excess: float,
        slack: float,
        static_share: StaticShare,
        cold: ColdTargets,
        started_s: float,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start without a loan.

        Nothing is sent within the first window, as a former incarnation may just have sent.
        """
        self._services = services
        self._excess = excess
        self._slack = slack
        self._static_share = static_share
        self._cold = cold
        self._send_from_s = started_s + WINDOW_S
        self._log = log
        self._metrics = metrics
        self._started_s = started_s
        self.held = HeldLoans()
        self._has_loan = False
        self._windows: dict[InstanceId, SendWindow] = {}

    # Updates

    def update_entries(
        self,
        names: Iterable[NodeId],
        any_alive: bool,
        now_s: float,
        alive: Collection[NodeId] = (),
    ) -> None:
        """Update the known entries and those that are alive; log a loan that has lapsed."""
        self._static_share.update_entries(names, any_alive, now_s, alive)
        self._windows = {i: w for i, w in self._windows.items() if w.count(now_s)}
        if self._has_loan and not self.held.total(now_s):
            self._has_loan = False
            self._log.event("loan_lapsed")

    def borrow(self, loan: Loan, echo_s: float, now_s: float) -> None:
        """Accept a loan, valid from this entry's time that its heartbeat echoes."""
        if not self.held.accept(loan, echo_s, now_s):
            self._metrics.count("loan.refused")
            return
        if not self._has_loan and self.held.total(now_s):
            self._has_loan = True
            shares = ",".join(f"{name}:{share}" for name, share in sorted(loan.shares.items()))
            self._log.event("loan", shares=shares)

    # Queries

    def allowances(self) -> Mapping[ServiceName, Allowance]:
        """Return the allowance of each service that has a cold start rate configured."""
        return {
            configured.name: Allowance.for_cold_start(
                configured.cold_start, self._excess, self._slack
            )
            for configured in self._services()
            if configured.cold_start is not None
        }

    def lendable(self) -> Mapping[ServiceName, int]:
        """Return how much the holder of the lease may lend for each service."""
        return {name: each.loan_total for name, each in self.allowances().items()}

    def loan_of(self, service: ServiceName, now_s: float) -> int:
        """Return the requests per second this entry has borrowed for each target of a service."""
        return self.held.share_of(service, now_s)

    def borrowed_total(self, now_s: float) -> int:
        """Return the sum of what this entry has borrowed."""
        return self.held.total(now_s)

    def running_s(self, now_s: float) -> float:
        """Return how long this process has run."""
        return now_s - self._started_s

    def allows(self, service: ServiceName, instance: InstanceId, now_s: float) -> bool:
        """Return whether a target may be sent another request now."""
        share = self._share(service, instance, now_s)
        if share is None or self._count(instance, now_s) < share:
            return True
        cold = self._cold.is_cold(instance, now_s)
        self._metrics.count("send_limit.cold" if cold else "send_limit.other")
        return False

    def wait_s(self, service: ServiceName, instance: InstanceId, now_s: float) -> float:
        """Return how soon a target may be sent another request; 0 if it may now."""
        share = self._share(service, instance, now_s)
        if share is None:
            return 0.0
        if now_s < self._send_from_s:
            return self._send_from_s - now_s
        if not share:
            return math.inf
        window = self._windows.get(instance)
        return window.free_in_s(share, now_s) if window is not None else 0.0

    def record_sent(self, attempt: Attempt) -> None:
        """Count a request that is about to be sent to its target."""
        window = self._windows.get(attempt.instance)
        if window is None:
            if not self.allowances():
                return
            window = self._windows[attempt.instance] = SendWindow()
        window.add(attempt)

    def _share(self, service: ServiceName, instance: InstanceId, now_s: float) -> int | None:
        """Return the limit on requests per second to a target; None if there is none."""
        allowance = self._allowance(service)
        if allowance is None:
            return None
        if now_s < self._send_from_s:
            return 0
        static = self._static_share.requests_for(allowance.static, instance, now_s)
        return static + self.loan_of(service, now_s)

    def _allowance(self, service: ServiceName) -> Allowance | None:
        for configured in self._services():
            if configured.name == service and configured.cold_start is not None:
                return Allowance.for_cold_start(configured.cold_start, self._excess, self._slack)
        return None

    def _count(self, instance: InstanceId, now_s: float) -> int:
        window = self._windows.get(instance)
        return window.count(now_s) if window is not None else 0


__all__ = ["FleetLimit", "Services"]
