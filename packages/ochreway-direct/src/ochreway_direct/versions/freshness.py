# SPDX-License-Identifier: Apache-2.0
"""How recently the configuration in force is known to have been the newest."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

NEVER_S = -1.0e9


class KeyTrust(Enum):
    """Define how keys are treated without a recent proof that the configuration is the newest."""

    WHILE_PROVED = "while_proved"
    LAST_KNOWN = "last_known"


TrustCheck = Callable[[float, float], bool]
"""Return whether keys are trusted, from the age of the newest proof and its maximum, in seconds."""

KEY_TRUST_CHECKS: dict[KeyTrust, TrustCheck] = {}


def register_key_trust(name: KeyTrust) -> Callable[[TrustCheck], TrustCheck]:
    """Register the check for a kind of key trust."""

    def register(trusts: TrustCheck) -> TrustCheck:
        KEY_TRUST_CHECKS[name] = trusts
        return trusts

    return register


@register_key_trust(KeyTrust.WHILE_PROVED)
def _while_proved(age_s: float, max_age_s: float) -> bool:
    """Refuse all keys after the maximum age, as any may have been revoked."""
    return age_s < max_age_s


@register_key_trust(KeyTrust.LAST_KNOWN)
def _last_known(age_s: float, max_age_s: float) -> bool:
    """Accept the keys of the last known configuration, however old it is."""
    return True


@dataclass(slots=True)
class Freshness:
    """Hold the steady time of the poll that last proved the configuration to be the newest.

    The time of the poll counts, not that of its answer, so a slow or paused process only makes
    the configuration look older than it is.
    """

    max_age_s: float
    trust: KeyTrust = KeyTrust.WHILE_PROVED
    proved_s: float = NEVER_S

    def prove(self, polled_s: float) -> None:
        """Record that a poll sent at ``polled_s`` found nothing newer than the current version."""
        self.proved_s = max(self.proved_s, polled_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest proof."""
        return now_s - self.proved_s

    def proved(self, now_s: float) -> bool:
        """Return whether the configuration was recently proved to be the newest."""
        return self.age_s(now_s) < self.max_age_s

    def keys_trusted(self, now_s: float) -> bool:
        """Return whether known keys may be accepted."""
        return KEY_TRUST_CHECKS[self.trust](self.age_s(now_s), self.max_age_s)


__all__ = ["KEY_TRUST_CHECKS", "Freshness", "KeyTrust", "register_key_trust"]
