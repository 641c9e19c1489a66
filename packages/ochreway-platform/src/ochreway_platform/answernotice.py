# SPDX-License-Identifier: Apache-2.0
"""Reading what a target says of itself from the status and the headers of its answer."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.targetnotice import NO_NOTICE, TargetNotice

RETRY_AFTER = "Retry-After"
REJECTION_STATUSES = frozenset({429, 503})
"""The statuses with which a server may say when to come back; elsewhere the header means a file."""
UNREADABLE_BACKOFF_S = 1.0
"""How long a target is left alone that names a time which cannot be read.

It asked to be left alone; not at all would go against that, and for long would cost callers a
target for a mistake in a header.
"""
MAX_BACKOFF_S = 3600.0
"""The longest time that a target may ask for.

More is a mistake, such as ms for seconds, and would take it out for good.
"""
_NOT_LEAVING_VALUES = frozenset({"", "0"})
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


@dataclass(frozen=True, slots=True)
class NoticeHeaders:
    """Name the headers in which a kind of target says that it leaves, and names a limit."""

    leaving: str
    limit: str


def parse_notice(status: int, headers: Mapping[str, str], names: NoticeHeaders) -> TargetNotice:
    """Return what a target says of itself.

    Args:
        status: the answer's HTTP status.
        headers: the answer's headers.
        names: the names of the headers that such targets use.
    """
    retry_after = headers.get(RETRY_AFTER) if status in REJECTION_STATUSES else None
    leaving = headers.get(names.leaving, "").strip() not in _NOT_LEAVING_VALUES
    limit_per_s = _parse_limit_per_s(headers.get(names.limit))
    if retry_after is None and not leaving and limit_per_s is None:
        return NO_NOTICE
    return TargetNotice(
        _parse_retry_after(retry_after) if retry_after is not None else None, leaving, limit_per_s
    )


def _parse_retry_after(header_value: str) -> float:
    try:
        backoff_s = float(header_value)
    except ValueError:
        return UNREADABLE_BACKOFF_S
    if math.isnan(backoff_s) or backoff_s < 0.0:
        return UNREADABLE_BACKOFF_S
    return min(backoff_s, MAX_BACKOFF_S)


def _parse_limit_per_s(limit_header: str | None) -> float | None:
    """Return the limit that a header names; anything but a number above 0 names none.

    By a limit of 0 nobody would send, so nobody could hear that it is over; a target that wants
    nothing asks to be left alone for a time.
    """
    if limit_header is None or not _DECIMAL_NUMBER.fullmatch(limit_header.strip()):
        return None
    limit_per_s = float(limit_header)
    return limit_per_s if 0.0 < limit_per_s < math.inf else None


__all__ = [
    "MAX_BACKOFF_S",
    "RETRY_AFTER",
    "REJECTION_STATUSES",
    "UNREADABLE_BACKOFF_S",
    "NoticeHeaders",
    "parse_notice",
]
