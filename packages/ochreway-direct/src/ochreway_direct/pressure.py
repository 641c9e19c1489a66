# SPDX-License-Identifier: Apache-2.0
"""Whether a resource is near its bound, without turning to and fro."""

from dataclasses import dataclass


@dataclass(slots=True)
class Pressure:
    """Begin at one share of a bound and end only below a smaller one."""

    begins_share: float
    ends_share: float
    near: bool = False

    def update(self, share: float) -> bool:
        """Take the share that is used now; return whether ``near`` has changed."""
        before = self.near
        self.near = share >= (self.ends_share if before else self.begins_share)
        return self.near is not before


__all__ = ["Pressure"]
