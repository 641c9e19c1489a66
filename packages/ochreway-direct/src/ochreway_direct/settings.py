# SPDX-License-Identifier: Apache-2.0
"""The settings of a direct entry."""

from dataclasses import dataclass, field

from ochreway_runtime import checks

KEY_TRUST_SHARE = 0.9
"""The share of the time allowed for taking a key away in which it is still trusted unproved."""


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Hold every setting; each is a flag and an environment variable of the command."""

    name: str
    hall: str
    adapter: str
    caller_listen: str
    ready_listen: str
    link_listen: str
    platform_url: str
    peer: tuple[str, ...] = ()
    link_key: str = field(default="", metadata={"secret": True})
    statsd: str = ""
    metrics_listen: str = ""
    log_level: str = "info"
    key_revoke_ms: int = 5000
    grace_s: float = 8.0
    loads_window_s: float = 5.0
    loads_excess: float = 1.1

    @property
    def key_trust_s(self) -> float:
        """Return for how long keys are trusted without proof that they are the newest."""
        return self.key_revoke_ms / 1000.0 * KEY_TRUST_SHARE


def _peers(values: tuple[str, ...]) -> str | None:
    if all(checks.address(value) is None for value in values):
        return None
    return "host:port of other entries' links, with commas between"


CHECKS: dict[str, checks.Check] = {
    "name": checks.filled,
    "hall": checks.filled,
    "adapter": checks.filled,
    "caller_listen": checks.address,
    "ready_listen": checks.address,
    "link_listen": checks.address,
    "platform_url": checks.url,
    "peer": _peers,
    "link_key": checks.link_key,
    "statsd": checks.optional_address,
    "metrics_listen": checks.optional_address,
    "log_level": checks.one_of(*checks.LEVELS),
    "key_revoke_ms": checks.positive,
    "grace_s": checks.positive,
    "loads_window_s": checks.positive,
    "loads_excess": checks.positive,
}


def check(settings: DirectSettings) -> None:
    """Check every setting.

    Raises:
        SettingsInvalid: with a line for each fault.
    """
    checks.check_all(settings, CHECKS)


__all__ = ["DirectSettings", "check"]
