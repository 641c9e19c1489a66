# SPDX-License-Identifier: Apache-2.0
"""Settings, checked at start with every fault reported at once."""

import base64
import binascii
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from ochreway_core.ids import NodeId
from ochreway_core.peer import Peer
from ochreway_core.targetkind import TargetKind
from ochreway_daemon.errors import SettingsInvalid

HIDDEN = "(hidden)"
LINK_KEY_BYTES_AT_LEAST = 16
LEVELS = ("debug", "info", "warning", "error")

Check = Callable[[Any], str | None]


@dataclass(frozen=True, slots=True)
class CommonSettings:
    """Hold what every daemon needs."""

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


@dataclass(frozen=True, slots=True)
class EntrySettings(CommonSettings):
    """Hold what an entry needs."""

    peer: tuple[str, ...]
    operator_token: str = field(metadata={"secret": True})
    routing_policy: str
    repair_policy: str
    body_bytes_at_most: int
    default_deadline_s: float
    load_s: float


@dataclass(frozen=True, slots=True)
class AgentSettings(CommonSettings):
    """Hold what an agent needs."""

    target_url: str
    target_kind: str


def _address(value: str) -> str | None:
    host, _, port = value.rpartition(":")
    if host and port.isdigit() and int(port) < 65536:
        return None
    return "host:port with a port from 0 to 65535"


def _optional_address(value: str) -> str | None:
    return _address(value) if value else None


def _url(value: str) -> str | None:
    return None if value.startswith(("http://", "https://")) else "an http:// or https:// URL"


def _filled(value: str) -> str | None:
    return None if value else "a name"


def _link_key(value: str) -> str | None:
    long_enough = len(value.encode()) >= LINK_KEY_BYTES_AT_LEAST
    return None if long_enough else f"at least {LINK_KEY_BYTES_AT_LEAST} bytes"


def _positive(value: float) -> str | None:
    return None if value > 0 else "a number above 0"


def _one_of(*allowed: str) -> Check:
    return lambda value: None if value in allowed else "one of " + ", ".join(allowed)


def _operator_keys(values: tuple[str, ...]) -> str | None:
    try:
        return None if operator_keys(values) else "at least one NAME=BASE64 public key"
    except ValueError:
        return "NAME=BASE64 of 32 bytes, as `ochreway keys new` prints it"


def _peers(values: tuple[str, ...]) -> str | None:
    shaped = all(name and _address(address) is None for name, address in map(_pair, values))
    return None if shaped else "NAME=HOST:PORT of another entry's links"


def _pair(value: str) -> tuple[str, str]:
    name, _, rest = value.partition("=")
    return name, rest


def first_peers(values: tuple[str, ...]) -> list[Peer]:
    """Return the entries to ask while the platform's list cannot be read."""
    return [Peer(NodeId(name), address) for name, address in map(_pair, values)]


def _file(value: str) -> str | None:
    return None if not value or Path(value).is_file() else "a file that can be read"


CHECKS: dict[str, Check] = {
    "name": _filled,
    "hall": _filled,
    "domain": _filled,
    "scope": _filled,
    "link_listen": _address,
    "http_listen": _address,
    "platform_url": _url,
    "link_key": _link_key,
    "operator_key": _operator_keys,
    "peer": _peers,
    "statsd": _optional_address,
    "log_level": _one_of(*LEVELS),
    "drain_timeout_s": _positive,
    "link_tick_s": _positive,
    "key_memory_s": _positive,
    "tls_certificate": _file,
    "tls_key": _file,
    "tls_authority": _file,
    "body_bytes_at_most": _positive,
    "default_deadline_s": _positive,
    "load_s": _positive,
    "target_url": _url,
    "target_kind": _one_of(*(kind.value for kind in TargetKind)),
}


def check(settings: CommonSettings) -> None:
    """Check every setting.

    Raises:
        SettingsInvalid: with a line for each fault: flag, value, what is allowed.
    """
    faults = []
    for item in dataclasses.fields(settings):
        value = getattr(settings, item.name)
        allowed = CHECKS[item.name](value) if item.name in CHECKS else None
        if allowed is not None:
            shown = HIDDEN if item.metadata.get("secret") else repr(value)
            faults.append(f"--{item.name.replace('_', '-')}: {shown} is not {allowed}")
    tls = (settings.tls_certificate, settings.tls_key, settings.tls_authority)
    if any(tls) and not all(tls):
        faults.append("--tls-certificate, --tls-key, --tls-authority: give all three or none")
    if faults:
        raise SettingsInvalid(faults)


def shown(settings: CommonSettings) -> list[str]:
    """Return the settings in force as key=value lines, secrets hidden."""
    lines = []
    for item in dataclasses.fields(settings):
        value = HIDDEN if item.metadata.get("secret") else getattr(settings, item.name)
        lines.append(f"{item.name}={value}")
    return lines


def operator_keys(values: tuple[str, ...]) -> dict[str, Ed25519PublicKey]:
    """Return each operator's public key.

    Raises:
        ValueError: when one is not NAME=BASE64 of 32 bytes.
    """
    keys = {}
    for value in values:
        name, _, text = value.partition("=")
        try:
            keys[name] = Ed25519PublicKey.from_public_bytes(base64.b64decode(text, validate=True))
        except binascii.Error as fault:
            raise ValueError(str(fault)) from fault
    return keys


__all__ = [
    "AgentSettings",
    "CommonSettings",
    "EntrySettings",
    "check",
    "first_peers",
    "operator_keys",
    "shown",
]
