# SPDX-License-Identifier: Apache-2.0
"""Bounds on the loans of processes."""

from collections.abc import Mapping

from ochreway_direct.ids import ServiceName
from ochreway_direct.sendlimits.borrower import Borrower

Shares = Mapping[ServiceName, int]
"""Requests a second for each target of a service."""
Bounds = Mapping[Borrower, Shares]
"""The most that each process may hold."""


def highest_bounds(bounds: Bounds, others: Bounds) -> Bounds:
    """Return the larger of the bounds for each process that either names."""
    return {
        borrower: _highest_shares(bounds.get(borrower, {}), others.get(borrower, {}))
        for borrower in {**bounds, **others}
    }


def lowest_bounds(bounds: Bounds, others: Bounds | None) -> Bounds:
    """Return what both allow; None allows everything."""
    if others is None:
        return bounds
    return {
        borrower: {
            service: min(share, others[borrower].get(service, 0))
            for service, share in shares.items()
        }
        for borrower, shares in bounds.items()
        if borrower in others
    }


def _highest_shares(shares: Shares, others: Shares) -> Shares:
    return {
        service: max(shares.get(service, 0), others.get(service, 0))
        for service in {**shares, **others}
    }


__all__ = ["Bounds", "highest_bounds", "lowest_bounds"]
