# SPDX-License-Identifier: Apache-2.0
"""Settings of the daemons and their validation; all faults are reported together."""

import base64
import binascii
from dataclasses import dataclass, field
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_core.targetkind import TargetKind
from ochreway_runtime import checks
from ochreway_runtime.errors import SettingsInvalid


@dataclass(frozen=True, slots=True)
class CommonSettings:
    """Settings shared by all daemons."""

    name: str
    hall: str
    domain: str
    scope: str
    link_listen: str
    http_listen: str
    platform_url: str
    link_key: str = field(metadata={"secret": True})
    operator_key: tuple[str, ...]
    statsd: str
    log_level: str
    drain_timeout_s: float
    link_tick_s: float
    key_memory_s: float
    tls_certificate: str
    tls_key: str
    tls_authority: str
    memory_mb: float
    descriptors: int


@dataclass(frozen=True, slots=True)
class EntrySettings(CommonSettings):
    """Settings of an entry."""

    peer: tuple[str, ...]
    operator_token: str = field(metadata={"secret": True})
    routing_policy: str
    repair_policy: str
    body_bytes_at_most: int
    default_deadline_s: float
    load_s: float


@dataclass(frozen=True, slots=True)
class AgentSettings(CommonSettings):
    """Settings of an agent."""

    target_url: str
    target_kind: str


def _check_operator_keys(values: tuple[str, ...]) -> str | None:
    try:
        return None if decode_operator_keys(values) else "at least one NAME=BASE64 public key"
    except ValueError:
        return "NAME=BASE64 of 32 bytes, as `ochreway keys new` prints it"


def _check_peers(values: tuple[str, ...]) -> str | None:
    valid = all(
        name and checks.address(address) is None for name, address in map(_split_name, values)
    )
    return None if valid else "NAME=HOST:PORT of another entry's links"


def _split_name(value: str) -> tuple[str, str]:
    name, _, rest = value.partition("=")
    return name, rest


def seed_peers(values: tuple[str, ...]) -> list[Peer]:
    """Return the entries to contact while the platform's list cannot be read."""
    return [Peer(NodeId(name), address) for name, address in map(_split_name, values)]


def _check_file(value: str) -> str | None:
    return None if not value or Path(value).is_file() else "a file that can be read"


CHECKS: dict[str, checks.Check] = {
    "name": checks.non_empty,
    "hall": checks.non_empty,
    "domain": checks.non_empty,
    "scope": checks.non_empty,
    "link_listen": checks.address,
    "http_listen": checks.address,
    "platform_url": checks.url,
    "link_key": checks.link_key,
    "operator_key": _check_operator_keys,
    "peer": _check_peers,
    "statsd": checks.optional_address,
    "log_level": checks.one_of(*checks.LOG_LEVELS),
    "drain_timeout_s": checks.positive,
    "link_tick_s": checks.positive,
    "key_memory_s": checks.positive,
    "tls_certificate": _check_file,
    "tls_key": _check_file,
    "tls_authority": _check_file,
    "memory_mb": checks.not_negative,
    "descriptors": checks.not_negative,
    "body_bytes_at_most": checks.positive,
    "default_deadline_s": checks.positive,
    "load_s": checks.positive,
    "target_url": checks.url,
    "target_kind": checks.one_of(*(kind.value for kind in TargetKind)),
}


def check_settings(settings: CommonSettings) -> None:
    """Validate all settings.

    Raises:
        SettingsInvalid: if any are invalid, with flag, value and allowed values for each.
    """
    faults = checks.find_faults(settings, CHECKS)
    tls = (settings.tls_certificate, settings.tls_key, settings.tls_authority)
    if any(tls) and not all(tls):
        faults.append("--tls-certificate, --tls-key, --tls-authority: give all three or none")
    if faults:
        raise SettingsInvalid(faults)


def decode_operator_keys(values: tuple[str, ...]) -> dict[str, Ed25519PublicKey]:
    """Decode the public keys of the operators, by name.

    Raises:
        ValueError: if one is not NAME=BASE64 of 32 bytes.
    """
    keys = {}
    for value in values:
        name, _, text = value.partition("=")
        try:
            keys[name] = Ed25519PublicKey.from_public_bytes(base64.b64decode(text, validate=True))
        except binascii.Error as error:
            raise ValueError(str(error)) from error
    return keys


__all__ = [
    "AgentSettings",
    "CommonSettings",
    "EntrySettings",
    "check_settings",
    "seed_peers",
    "decode_operator_keys",
]
