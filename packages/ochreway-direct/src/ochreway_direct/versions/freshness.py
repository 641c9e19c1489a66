# SPDX-License-Identifier: Apache-2.0
"""How recently the configuration in force is known to have been the newest."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

NEVER_S = -1.0e9


class KeyTrust(Enum):
    """Say what becomes of keys while nothing proves that they are still the newest."""

    WHILE_PROVED = "while_proved"
    LAST_KNOWN = "last_known"


Trusts = Callable[[float, float], bool]
"""Tell from the age of the newest proof and its bound, in seconds, whether keys are trusted."""

KEY_TRUSTS: dict[KeyTrust, Trusts] = {}


def key_trust(name: KeyTrust) -> Callable[[Trusts], Trusts]:
    """Register a way to trust keys."""

    def register(trusts: Trusts) -> Trusts:
        KEY_TRUSTS[name] = trusts
        return trusts

    return register


@key_trust(KeyTrust.WHILE_PROVED)
def _while_proved(age_s: float, bound_s: float) -> bool:
    """Refuse all keys rather than let one in that may have been taken away."""
    return age_s < bound_s


@key_trust(KeyTrust.LAST_KNOWN)
def _last_known(age_s: float, bound_s: float) -> bool:
    """Serve by the last configuration that was learned, however old it is."""
    return True


@dataclass(slots=True)
class Freshness:
    """Hold the steady time at which the newest proof of freshness was asked for.

    The time of asking counts, not that of the answer, so a slow or paused process only makes
    the configuration look older than it is.
    """

    bound_s: float
    trust: KeyTrust = KeyTrust.WHILE_PROVED
    proved_s: float = NEVER_S

    def prove(self, asked_s: float) -> None:
        """Note that what was asked for at a time found nothing newer than what is in force."""
        self.proved_s = max(self.proved_s, asked_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof."""
        return now_s - self.proved_s

    def proved(self, now_s: float) -> bool:
        """Tell whether the configuration is known to have been the newest lately."""
        return self.age_s(now_s) < self.bound_s

    def keys_trusted(self, now_s: float) -> bool:
        """Tell whether known keys may be let in."""
        return KEY_TRUSTS[self.trust](self.age_s(now_s), self.bound_s)


__all__ = ["KEY_TRUSTS", "Freshness", "KeyTrust", "key_trust"]
