# SPDX-License-Identifier: Apache-2.0
"""Loan that an entry still has, or had until recently."""

from dataclasses import dataclass

from ochreway_direct.ids import ServiceName


@dataclass(frozen=True, slots=True)
class HeldLoan:
    """Hold the shares of a loan, the lease it was made under, and how soon it ends.

    ``ends_in_s`` is negative for a loan that has ended but may still have requests under way.
    """

    shares: dict[ServiceName, int]
    ends_in_s: float
    lease: int = 0


__all__ = ["HeldLoan"]
