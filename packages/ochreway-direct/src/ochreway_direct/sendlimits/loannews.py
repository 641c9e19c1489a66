# SPDX-License-Identifier: Apache-2.0
"""What an entry reports of the loans that it holds."""

from dataclasses import dataclass

from ochreway_direct.sendlimits.heldloan import HeldLoan


@dataclass(frozen=True, slots=True)
class LoanNews:
    """Report the newest lease that the sender heard of, and the loans that it still holds.

    From the time of the report on, the sender accepts no loan of a lease older than ``lease``.
    ``running_s`` is how long its process has run; any former process of its name ended earlier.
    """

    lease: int = 0
    held: tuple[HeldLoan, ...] = ()
    running_s: float = 0.0


__all__ = ["LoanNews"]
