# SPDX-License-Identifier: Apache-2.0
"""For how long a call waits for a place before it is refused."""

from ochreway_direct.fleet import Fleet
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.freedplaces import FreedPlaces
from ochreway_direct.relay.tuning import RelayTuning
from ochreway_direct.relay.usualdeadline import UsualDeadline
from ochreway_direct.relay.waitingcalls import WaitingCalls, waiting_key


class Patience:
    """Refuse a first try soon, and have a caller that came back wait where a place is expected.

    A first refusal costs its caller a second try, a later one the answer. Who came back waits only
    while the places that are freed, shared among those before it, let it have one in time.
    """

    def __init__(self, tuning: RelayTuning, fleet: Fleet) -> None:
        self._tuning = tuning
        self._fleet = fleet
        self.waiting = WaitingCalls()
        self.freed = FreedPlaces()
        self.usual = UsualDeadline()

    def until_s(self, call: Call, begun_s: float, now_s: float) -> float:
        """Return until when a call that began to wait then may wait, by what is known now."""
        tuning = self._tuning
        if call.answer is not None or call.runs:
            return min(call.end_s, begun_s + tuning.resume_patience_s)
        short_s = min(call.end_s, begun_s + tuning.patience_share * call.route.objective_s)
        if not self.usual.returned(call):
            return short_s
        long_s = begun_s + tuning.returned_patience_share * call.left_s(begun_s)
        if not self._serves(call):
            return max(short_s, min(long_s, begun_s + tuning.regroup_after_s))
        rate = self.freed.per_s(waiting_key(call), now_s)
        in_time = (1 + self.waiting.ahead(call)) <= rate * (long_s - now_s)
        return max(short_s, long_s) if in_time else short_s

    def _serves(self, call: Call) -> bool:
        if call.engine is None:
            return True
        return self._fleet.has_group(call.service, call.terms.model, call.within)


__all__ = ["Patience"]
