# SPDX-License-Identifier: Apache-2.0
"""Limits of one organisation at one entry."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ochreway_core.bundle import Organisation
from ochreway_core.reason import Reason
from ochreway_routing.refused import Refused
from ochreway_routing.retrybudget import RetryBudget

BURST_S = 1.0


@dataclass(slots=True)
class _Use:
    in_flight: int = 0
    tokens_in_flight: int = 0
    rate_balance: float | None = None
    refilled_s: float = 0.0


class Limits:
    """Admit requests up to this entry's part of each organisation's limits."""

    def __init__(self) -> None:
        self._organisations: dict[str, Organisation] = {}
        self._entries = 1
        self._use: dict[str, _Use] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, organisations: list[Organisation], entries: int) -> None:
        """Take the limits in force and the number of entries that share them."""
        self._organisations = {item.name: item for item in organisations}
        self._entries = max(entries, 1)

    def budget(self, organisation: str) -> RetryBudget:
        """Return the organisation's retry budget."""
        return self._budgets.setdefault(organisation, RetryBudget())

    def admit(self, organisation: str, tokens: int, now_s: float) -> Result[None, Refused]:
        """Count a request in, or say which limit it would pass."""
        limit = self._organisations.get(organisation)
        if limit is None:
            return Err(Refused(Reason.UNAUTHORISED, 0.0))
        use = self._use.setdefault(organisation, _Use())
        self._refill(use, limit, now_s)
        if use.in_flight >= self._part(limit.max_in_flight):
            return Err(Refused(Reason.ORGANISATION_IN_FLIGHT, 1.0))
        if use.tokens_in_flight and use.tokens_in_flight + tokens > self._part(
            limit.max_tokens_in_flight
        ):
            return Err(Refused(Reason.ORGANISATION_IN_FLIGHT, 1.0))
        assert use.rate_balance is not None
        if use.rate_balance < 1.0:
            wait_s = (1.0 - use.rate_balance) * self._entries / limit.requests_per_s
            return Err(Refused(Reason.ORGANISATION_RATE, wait_s))
        use.rate_balance -= 1.0
        use.in_flight += 1
        use.tokens_in_flight += tokens
        self.budget(organisation).requested()
        return Ok(None)

    def ended(self, organisation: str, tokens: int) -> None:
        """Count a request out."""
        use = self._use.get(organisation)
        if use is not None:
            use.in_flight -= 1
            use.tokens_in_flight -= tokens

    def _part(self, limit: int) -> int:
        return max(1, -(-limit // self._entries))

    def _refill(self, use: _Use, limit: Organisation, now_s: float) -> None:
        rate = limit.requests_per_s / self._entries
        burst = max(1.0, rate * BURST_S)
        if use.rate_balance is None:
            use.rate_balance = burst
        else:
            use.rate_balance = min(burst, use.rate_balance + (now_s - use.refilled_s) * rate)
        use.refilled_s = now_s


__all__ = ["Limits"]
