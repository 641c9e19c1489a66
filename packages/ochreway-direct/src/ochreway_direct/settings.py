# SPDX-License-Identifier: Apache-2.0
"""The settings of a direct entry."""

from dataclasses import dataclass, field

from ochreway_core.ids import HallId, RegionId
from ochreway_direct.mechanism import Mechanism
from ochreway_direct.versions.freshness import KeyTrust
from ochreway_runtime import checks

BYTES_PER_MB = 1e6
KEY_TRUST_SHARE = 0.9
"""Share of the time allowed for revoking a key in which keys are trusted without a new proof."""
LIST_TRUST_SHARE = 0.7
"""Share of a leaving target's drain time for which a list is used.

The rest is for reading a newer list and for requests on their way.
"""
RETRY_SHARE = 0.75
"""Share of the bound on retries that entries use, as each knows only its own."""


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
    keys_fail_closed: bool = True
    drain_ms: int = 2000
    retry_ratio: float = 0.2
    retry_slack: float = 200.0
    grace_s: float = 8.0
    loads_window_s: float = 5.0
    loads_excess: float = 1.1
    first_start: bool = False
    processor_share: float = 1.0
    processor_speed: float = 1.0
    hall_drain_ms: int = 5000
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    region: str = ""
    hall_regions: tuple[str, ...] = ()
    descriptors: int = 0
    memory_mb: float = 0.0
    max_answer_mb: float = 32.0
    link_mbps: float = 0.0
    min_groups: int = 0
    without: tuple[str, ...] = ()

    def has(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism.value not in self.without

    @property
    def strength(self) -> float:
        """Return the processor capacity of this entry, in cores of usual speed."""
        return self.processor_share * self.processor_speed

    @property
    def hall_drain_s(self) -> float:
        """Return how soon after its drain was accepted a hall must get no new requests."""
        return self.hall_drain_ms / 1000.0

    @property
    def region_of(self) -> dict[HallId, RegionId]:
        """Return the region of each hall whose region is known."""
        pairs = (each.partition("=") for each in self.hall_regions)
        known = {HallId(hall): RegionId(region) for hall, _, region in pairs}
        if self.region:
            known.setdefault(HallId(self.hall), RegionId(self.region))
        return known

    @property
    def key_trust_s(self) -> float:
        """Return how long keys are trusted after a proof that the configuration is the newest."""
        return self.key_revoke_ms / 1000.0 * KEY_TRUST_SHARE

    @property
    def key_trust(self) -> KeyTrust:
        """Return how keys are treated while the configuration is not proved to be the newest."""
        return KeyTrust.WHILE_PROVED if self.keys_fail_closed else KeyTrust.LAST_KNOWN

    @property
    def list_trust_s(self) -> float:
        """Return the maximum age of a list of targets that requests are routed by."""
        return self.drain_ms / 1000.0 * LIST_TRUST_SHARE

    @property
    def max_answer_bytes(self) -> int:
        """Return the longest answer that is read whole."""
        return int(self.max_answer_mb * BYTES_PER_MB)

    @property
    def retries_per_request(self) -> float:
        """Return the number of retries that a request adds to the budget."""
        return self.retry_ratio * RETRY_SHARE

    @property
    def retries_at_once(self) -> float:
        """Return the number of retries that all entries together may make beyond that share."""
        return self.retry_slack * RETRY_SHARE


def _check_peers(values: tuple[str, ...]) -> str | None:
    if all(checks.address(value) is None for value in values):
        return None
    return "comma-separated host:port of other entries' links"


def _check_hall_regions(values: tuple[str, ...]) -> str | None:
    pairs = [each.partition("=") for each in values]
    halls_unique = len({hall for hall, _, _ in pairs}) == len(pairs)
    if halls_unique and all(hall and region for hall, _, region in pairs):
        return None
    return "comma-separated hall=region pairs, each hall once"


def _check_mechanisms(values: tuple[str, ...]) -> str | None:
    known = [each.value for each in Mechanism]
    return None if set(values) <= set(known) else "among " + ", ".join(known)


CHECKS: dict[str, checks.Check] = {
    "name": checks.non_empty,
    "hall": checks.non_empty,
    "adapter": checks.non_empty,
    "caller_listen": checks.address,
    "ready_listen": checks.address,
    "link_listen": checks.address,
    "platform_url": checks.url,
    "peer": _check_peers,
    "link_key": checks.link_key,
    "statsd": checks.optional_address,
    "metrics_listen": checks.optional_address,
    "log_level": checks.one_of(*checks.LOG_LEVELS),
    "key_revoke_ms": checks.positive,
    "drain_ms": checks.positive,
    "retry_ratio": checks.positive,
    "retry_slack": checks.positive,
    "grace_s": checks.positive,
    "loads_window_s": checks.positive,
    "loads_excess": checks.positive,
    "processor_share": checks.positive,
    "processor_speed": checks.positive,
    "hall_drain_ms": checks.positive,
    "cold_excess": checks.positive,
    "cold_slack": checks.not_negative,
    "hall_regions": _check_hall_regions,
    "descriptors": checks.not_negative,
    "memory_mb": checks.not_negative,
    "max_answer_mb": checks.positive,
    "link_mbps": checks.not_negative,
    "min_groups": checks.not_negative,
    "without": _check_mechanisms,
}


def check(settings: DirectSettings) -> None:
    """Check every setting.

    Raises:
        SettingsInvalid: with a line for each fault.
    """
    checks.check_all(settings, CHECKS)


__all__ = ["DirectSettings", "check"]
