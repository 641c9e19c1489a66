# SPDX-License-Identifier: Apache-2.0
"""Part of an allowance that the holder of the lease lends to an entry."""

from dataclasses import dataclass, field

from ochreway_direct.ids import ServiceName

LOAN_DURATION_S = 2.0
"""How long a loan is valid: several heartbeats, as some may be lost."""


@dataclass(frozen=True, slots=True)
class Loan:
    """Hold how many requests per second a service's targets may get beyond the static share.

    It is valid from the time that its heartbeat echoes, on the borrower's clock. ``lease`` is the
    acquired revision of the lease under which it was made, and ``incarnation`` the borrower's
    process; a process of the previous build states neither.
    """

    shares: dict[ServiceName, int] = field(default_factory=dict)
    lease: int = 0
    incarnation: str = ""


__all__ = ["LOAN_DURATION_S", "Loan"]
