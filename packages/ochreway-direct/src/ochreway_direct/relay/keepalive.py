# SPDX-License-Identifier: Apache-2.0
"""How long an idle connection to a target may rest before it is used again."""

import re

DEFAULT_KEEP_ALIVE_S = 3.0
"""For a target that does not say how long it keeps idle connections."""
MAX_KEEP_ALIVE_S = 15.0
"""Upper bound whatever a target announces: one that lost power meanwhile does not answer."""
TRUSTED_SHARE = 0.8
"""Fraction of the announced time that is used; the rest covers latency and clock drift."""

_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*(\d{1,6})(?:$|[,;\s])", re.IGNORECASE)


def keep_alive_s(keep_alive: str | None) -> float:
    """Return how long a connection may stay idle after an answer with this ``Keep-Alive``."""
    match = _TIMEOUT.search(keep_alive) if keep_alive else None
    if match is None:
        return DEFAULT_KEEP_ALIVE_S
    return min(MAX_KEEP_ALIVE_S, TRUSTED_SHARE * int(match[1]))


__all__ = ["DEFAULT_KEEP_ALIVE_S", "MAX_KEEP_ALIVE_S", "keep_alive_s"]
