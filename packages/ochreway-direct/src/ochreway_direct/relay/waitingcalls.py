# SPDX-License-Identifier: Apache-2.0
"""Calls that wait for a place, those that have to be answered first before others."""

import contextlib
from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from ochreway_core.ids import HallId
from ochreway_direct.ids import ModelName, ServiceName
from ochreway_direct.relay.call import Call


class WaitingKey(NamedTuple):
    """Name what calls wait for: any place that serves a model, in some halls or in any."""

    service: ServiceName
    model: ModelName | None
    within: frozenset[HallId] | None


def waiting_key(call: Call) -> WaitingKey:
    """Return what a call waits for."""
    return WaitingKey(call.service, call.terms.model, call.within)


class WaitingCalls:
    """Order the waiting calls of each kind by the end of their time."""

    def __init__(self) -> None:
        self._waiting: dict[WaitingKey, dict[int, float]] = defaultdict(dict)

    @contextlib.contextmanager
    def entered(self, call: Call) -> Iterator[None]:
        """Have a call wait."""
        key = waiting_key(call)
        self._waiting[key][id(call)] = call.end_s
        try:
            yield
        finally:
            del self._waiting[key][id(call)]

    def ahead(self, call: Call) -> int:
        """Return how many calls that wait for the same have to be answered sooner."""
        others = self._waiting[waiting_key(call)]
        return sum(1 for end_s in others.values() if end_s < call.end_s)


__all__ = ["WaitingCalls", "WaitingKey", "waiting_key"]
