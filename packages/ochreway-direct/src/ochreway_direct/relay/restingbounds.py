# SPDX-License-Identifier: Apache-2.0
"""How many idle connections to targets may rest."""

from dataclasses import dataclass


@dataclass(slots=True)
class RestingBounds:
    """Bound resting connections, in all and at one target; ``None``: any number."""

    in_all: int | None = None
    at_one: int | None = None

    def allow(self, in_all: int, at_one: int) -> bool:
        """Tell whether one more may rest beside those that do."""
        return _below(in_all, self.in_all) and _below(at_one, self.at_one)


def _below(number: int, bound: int | None) -> bool:
    return bound is None or number < bound


__all__ = ["RestingBounds"]
