# SPDX-License-Identifier: Apache-2.0
"""What is remembered of requests with one fingerprint."""

from dataclasses import dataclass

from ochreway_direct.demand.countedwork import CountedWork


@dataclass(slots=True)
class RecentRequest:
    """Hold the newest counted request with a fingerprint, and the returns that are expected.

    Attributes:
        touched_s: when it was last changed.
        unrefused: requests that came here, less those that were refused here. One caller has one
            at most, as it returns only after a refusal.
        counted: the newest work that was counted and not taken back.
        returns: refusals whose return has not been seen.
        returns_until_s: until when a later request counts as a return.
    """

    touched_s: float
    unrefused: int = 0
    counted: CountedWork | None = None
    returns: int = 0
    returns_until_s: float = 0.0


__all__ = ["RecentRequest"]
