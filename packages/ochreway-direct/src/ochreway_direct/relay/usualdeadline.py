# SPDX-License-Identifier: Apache-2.0
"""Telling a caller that comes back from one that comes first."""

from ochreway_direct.relay.call import Call

RETURNED_SHARE = 0.93
"""Whoever has less than this share of the usual time has spent the rest on an earlier try.

A first try differs by what its connection took, some ms; a return by the time it was told to wait.
"""
FORGETTING = 0.999
"""By how much the usual time falls with each call, so that callers may come to ask for less."""


class UsualDeadline:
    """Know how long first callers of each route are ready to wait."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def note(self, call: Call) -> None:
        """Take what a new call says."""
        given_s = call.terms.deadline_s
        if given_s is not None:
            before_s = self._usual_s.get(call.route.name, 0.0)
            self._usual_s[call.route.name] = max(given_s, FORGETTING * before_s)

    def returned(self, call: Call) -> bool:
        """Tell whether a caller seems to have tried before."""
        given_s = call.terms.deadline_s
        usual_s = self._usual_s.get(call.route.name)
        return given_s is not None and usual_s is not None and given_s < RETURNED_SHARE * usual_s


__all__ = ["UsualDeadline"]
