# SPDX-License-Identifier: Apache-2.0
"""Parsing of the notice about a target in the status and headers of its answer."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from ochreway_core.targetnotice import NO_NOTICE, TargetNotice

RETRY_AFTER = "Retry-After"
REJECTION_STATUSES = frozenset({429, 503})
"""Statuses with which Retry-After requests a backoff; with others it concerns the resource."""
UNREADABLE_BACKOFF_S = 1.0
"""Backoff of a target whose Retry-After cannot be parsed.

It did request a backoff, so none at all would ignore that; a long one would deprive callers of a
target because of a malformed header.
"""
MAX_BACKOFF_S = 3600.0
"""Bounds the backoff that a target may request.

A longer one is a mistake, such as ms for seconds, and would remove the target for good.
"""
_NOT_LEAVING_VALUES = frozenset({"", "0"})
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


@dataclass(frozen=True, slots=True)
class NoticeHeaders:
    """Names of the headers with which a kind of target announces its leaving and its limit."""

    leaving: str
    limit: str


def parse_notice(status: int, headers: Mapping[str, str], names: NoticeHeaders) -> TargetNotice:
    """Parse the notice about a target from the head of its answer.

    Args:
        status: The HTTP status of the answer.
        headers: The headers of the answer.
        names: The names of the headers that this kind of target uses.
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
    """Return the limit in a header, or None if it is not a number above 0.

    With a limit of 0 nobody would send requests, so nobody could learn from an answer that it has
    ended; a target that wants no requests requests a backoff instead.
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
