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


TrustCheck = Callable[[float, float], bool]
"""Tell from the age of the newest proof and its bound, in seconds, whether keys are trusted."""

KEY_TRUST_CHECKS: dict[KeyTrust, TrustCheck] = {}


def register_key_trust(name: KeyTrust) -> Callable[[TrustCheck], TrustCheck]:
    """Register a way to trust keys."""

    def register(trusts: TrustCheck) -> TrustCheck:
        KEY_TRUST_CHECKS[name] = trusts
        return trusts

    return register


@register_key_trust(KeyTrust.WHILE_PROVED)
def _while_proved(age_s: float, max_age_s: float) -> bool:
    """Refuse all keys rather than let one in that may have been taken away."""
    return age_s < max_age_s


@register_key_trust(KeyTrust.LAST_KNOWN)
def _last_known(age_s: float, max_age_s: float) -> bool:
    """Serve by the last configuration that was learned, however old it is."""
    return True


@dataclass(slots=True)
class Freshness:
    """Hold the steady time at which the newest proof of freshness was asked for.

    The time of asking counts, not that of the answer, so a slow or paused process only makes
    the configuration look older than it is.
    """

    max_age_s: float
    trust: KeyTrust = KeyTrust.WHILE_PROVED
    proved_s: float = NEVER_S

    def prove(self, polled_s: float) -> None:
        """Note that what was asked for at a time found nothing newer than what is in force."""
        self.proved_s = max(self.proved_s, polled_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof."""
        return now_s - self.proved_s

    def proved(self, now_s: float) -> bool:
        """Tell whether the configuration is known to have been the newest lately."""
        return self.age_s(now_s) < self.max_age_s

    def keys_trusted(self, now_s: float) -> bool:
        """Tell whether known keys may be let in."""
        return KEY_TRUST_CHECKS[self.trust](self.age_s(now_s), self.max_age_s)


__all__ = ["KEY_TRUST_CHECKS", "Freshness", "KeyTrust", "register_key_trust"]
