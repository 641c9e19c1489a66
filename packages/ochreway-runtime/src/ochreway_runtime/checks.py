# SPDX-License-Identifier: Apache-2.0
"""Validation of settings at startup; all faults are reported together."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from ochreway_runtime.errors import SettingsInvalid

HIDDEN_VALUE = "(hidden)"
MIN_LINK_KEY_BYTES = 16
LOG_LEVELS = ("debug", "info", "warning", "error")

Check = Callable[[Any], str | None]
"""Return a description of the allowed values, or None if the value is valid."""


def address(value: str) -> str | None:
    """Check a host and port."""
    host, _, port = value.rpartition(":")
    if host and port.isdigit() and int(port) < 65536:
        return None
    return "host:port with a port from 0 to 65535"


def optional_address(value: str) -> str | None:
    """Check a host and port that may be empty."""
    return address(value) if value else None


def url(value: str) -> str | None:
    """Check a base URL."""
    return None if value.startswith(("http://", "https://")) else "an http:// or https:// URL"


def non_empty(value: str) -> str | None:
    """Check that a name is not empty."""
    return None if value else "a name"


def link_key(value: str) -> str | None:
    """Check the length of the key of links between processes."""
    long_enough = len(value.encode()) >= MIN_LINK_KEY_BYTES
    return None if long_enough else f"at least {MIN_LINK_KEY_BYTES} bytes"


def positive(value: float) -> str | None:
    """Check a number above 0."""
    return None if value > 0 else "a number above 0"


def not_negative(value: float) -> str | None:
    """Check a number of 0 or more."""
    return None if value >= 0 else "a number of 0 or more"


def one_of(*allowed: str) -> Check:
    """Return a check that a value is one of those allowed."""
    return lambda value: None if value in allowed else "one of " + ", ".join(allowed)


def find_faults(settings: Any, checks: Mapping[str, Check]) -> list[str]:
    """Return a line for each invalid setting with its flag, value and allowed values."""
    faults = []
    for item in dataclasses.fields(settings):
        value = getattr(settings, item.name)
        allowed = checks[item.name](value) if item.name in checks else None
        if allowed is not None:
            shown_value = HIDDEN_VALUE if item.metadata.get("secret") else repr(value)
            faults.append(f"--{item.name.replace('_', '-')}: {shown_value} is not {allowed}")
    return faults


def check_all(settings: Any, checks: Mapping[str, Check]) -> None:
    """Validate all settings.

    Raises:
        SettingsInvalid: if any are invalid, with a line for each fault.
    """
    faults = find_faults(settings, checks)
    if faults:
        raise SettingsInvalid(faults)


def format_settings(settings: Any) -> list[str]:
    """Return the effective settings as key=value lines with secrets hidden."""
    lines = []
    for item in dataclasses.fields(settings):
        value = HIDDEN_VALUE if item.metadata.get("secret") else getattr(settings, item.name)
        lines.append(f"{item.name}={value}")
    return lines


__all__ = [
    "LOG_LEVELS",
    "Check",
    "address",
    "check_all",
    "find_faults",
    "non_empty",
    "link_key",
    "not_negative",
    "one_of",
    "optional_address",
    "positive",
    "format_settings",
    "url",
]
