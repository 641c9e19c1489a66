# SPDX-License-Identifier: Apache-2.0
"""Parsing of callers' request headers, with safe defaults."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

from ochreway_core.ids import KeyDigest, OrganisationId
from ochreway_core.priority import Priority
from ochreway_daemon.errors import CallerFault

T = TypeVar("T")

DEADLINE_HEADER = "X-Deadline-Ms"
PRIORITY_HEADER = "X-Priority"
REPEATABLE_HEADER = "X-Repeatable"
KEY_HEADER = "Idempotency-Key"
KEY_ISSUED_HEADER = "X-Key-Issued-Ms"
CALLER_HEADER = "X-Caller"
ADAPTER_HEADER = "X-Adapter"
MAX_KEY_BYTES = 256
MAX_DEADLINE_S = 900.0

_PRIORITIES = {"visit": Priority.VISIT, "normal": Priority.NORMAL, "batch": Priority.BATCH}
_REPEATABLE = {"true": True, "false": False}


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Options of a request that its headers state."""

    deadline_in_s: float
    priority: Priority
    repeatable: bool
    key: KeyDigest | None
    key_issued_wall_s: float
    caller: str
    adapter: str


def parse_headers(
    headers: Mapping[str, str],
    organisation: OrganisationId,
    default_deadline_s: float,
    default_repeatable: bool,
) -> CallerHeaders:
    """Parse the options of a request.

    Raises:
        CallerFault: if the value of a header is invalid.
    """
    return CallerHeaders(
        deadline_in_s=_parse_deadline_s(headers.get(DEADLINE_HEADER), default_deadline_s),
        priority=_parse_choice(headers, PRIORITY_HEADER, _PRIORITIES, Priority.NORMAL),
        repeatable=_parse_choice(headers, REPEATABLE_HEADER, _REPEATABLE, default_repeatable),
        key=_parse_key(headers.get(KEY_HEADER), organisation),
        key_issued_wall_s=_parse_key_issued_s(headers.get(KEY_ISSUED_HEADER)),
        caller=headers.get(CALLER_HEADER, organisation),
        adapter=headers.get(ADAPTER_HEADER, ""),
    )


def _parse_deadline_s(text: str | None, default_s: float) -> float:
    if text is None:
        return default_s
    if not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_S * 1000:
        max_ms = int(MAX_DEADLINE_S * 1000)
        raise CallerFault(f"{DEADLINE_HEADER} must be whole milliseconds from 1 to {max_ms}")
    return int(text) / 1000.0


def _parse_key_issued_s(text: str | None) -> float:
    if text is None:
        return 0.0
    if not text.isdigit():
        raise CallerFault(f"{KEY_ISSUED_HEADER} must be milliseconds since 1970")
    return int(text) / 1000.0


def _parse_choice(headers: Mapping[str, str], name: str, allowed: Mapping[str, T], default: T) -> T:
    text = headers.get(name)
    if text is None:
        return default
    if text.lower() not in allowed:
        raise CallerFault(f"{name} must be one of {', '.join(allowed)}")
    return allowed[text.lower()]


def _parse_key(text: str | None, organisation: OrganisationId) -> KeyDigest | None:
    if text is None:
        return None
    if not text or len(text.encode()) > MAX_KEY_BYTES:
        raise CallerFault(f"{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} bytes")
    return KeyDigest(hashlib.sha256(f"{organisation}\0{text}".encode()).hexdigest()[:32])


__all__ = ["CallerHeaders", "parse_headers"]
