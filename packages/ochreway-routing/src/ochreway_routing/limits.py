# SPDX-License-Identifier: Apache-2.0
"""Limits of one organisation at one entry."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ochreway_core.bundle import Organisation
from ochreway_core.reason import Reason
from ochreway_routing.refused import Refused
from ochreway_routing.retrybudget import RetryBudget

BURST_S = 1.0
"""How many seconds' worth of requests an organisation may send at once."""


@dataclass(slots=True)
class _Usage:
    in_flight: int = 0
    tokens_in_flight: int = 0
    rate_balance: float | None = None
    refilled_s: float = 0.0


class Limits:
    """Admit requests up to this entry's share of each organisation's limits."""

    def __init__(self) -> None:
        self._organisations: dict[str, Organisation] = {}
        self._entries = 1
        self._usage: dict[str, _Usage] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, organisations: list[Organisation], entries: int) -> None:
        """Set the limits in force and the number of entries that share them."""
        self._organisations = {item.name: item for item in organisations}
        self._entries = max(entries, 1)

    def retry_budget(self, organisation: str) -> RetryBudget:
        """Return the organisation's retry budget."""
        return self._budgets.setdefault(organisation, RetryBudget())

    def admit(self, organisation: str, tokens: int, now_s: float) -> Result[None, Refused]:
        """Count a request as in flight, or return which limit it would exceed."""
        limit = self._organisations.get(organisation)
        if limit is None:
            return Err(Refused(Reason.UNAUTHORISED, 0.0))
        usage = self._usage.setdefault(organisation, _Usage())
        self._refill(usage, limit, now_s)
        if usage.in_flight >= self._entry_share(limit.max_in_flight):
            return Err(Refused(Reason.ORGANISATION_IN_FLIGHT, 1.0))
        if usage.tokens_in_flight and usage.tokens_in_flight + tokens > self._entry_share(
            limit.max_tokens_in_flight
        ):
            return Err(Refused(Reason.ORGANISATION_IN_FLIGHT, 1.0))
        assert usage.rate_balance is not None
        if usage.rate_balance < 1.0:
            wait_s = (1.0 - usage.rate_balance) * self._entries / limit.requests_per_s
            return Err(Refused(Reason.ORGANISATION_RATE, wait_s))
        usage.rate_balance -= 1.0
        usage.in_flight += 1
        usage.tokens_in_flight += tokens
        self.retry_budget(organisation).earn()
        return Ok(None)

    def release(self, organisation: str, tokens: int) -> None:
        """Count a request as ended."""
        usage = self._usage.get(organisation)
        if usage is not None:
            usage.in_flight -= 1
            usage.tokens_in_flight -= tokens

    def _entry_share(self, limit: int) -> int:
        return max(1, -(-limit // self._entries))

    def _refill(self, usage: _Usage, limit: Organisation, now_s: float) -> None:
        rate = limit.requests_per_s / self._entries
        burst = max(1.0, rate * BURST_S)
        if usage.rate_balance is None:
            usage.rate_balance = burst
        else:
            usage.rate_balance = min(burst, usage.rate_balance + (now_s - usage.refilled_s) * rate)
        usage.refilled_s = now_s


__all__ = ["Limits"]
