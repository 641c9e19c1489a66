# SPDX-License-Identifier: Apache-2.0
"""A part of an allowance that the holder of the lease lends to an entry."""

from dataclasses import dataclass, field

from ochreway_direct.ids import ServiceName

LOAN_DURATION_S = 2.0
"""How long a loan lasts: several heartbeats, some of which may be lost."""


@dataclass(frozen=True, slots=True)
class Loan:
    """Hold how many requests a second each target of a service may get beyond the standing share.

    It lasts from the time that the heartbeat which brings it echoes, on the borrower's clock.
    """

    shares: dict[ServiceName, int] = field(default_factory=dict)


__all__ = ["LOAN_DURATION_S", "Loan"]
