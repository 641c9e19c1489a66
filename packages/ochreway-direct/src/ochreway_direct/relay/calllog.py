# SPDX-License-Identifier: Apache-2.0
"""Log lines about requests: failed attempts, refusals and answers."""

import asyncio
import traceback

from ochreway_core.reason import Reason
from ochreway_direct.delivery.stage import Stage
from ochreway_direct.fleets.fleet import Fleet
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.ending import Ending
from ochreway_direct.relay.errors import Refused
from ochreway_direct.serving import Serving
from ochreway_runtime.logs import EventLog

DURATION_DIGITS = 3
"""Durations are logged in seconds with this many decimals."""

CALLER_ENDS = frozenset({Reason.CALLER_GONE, Reason.CALLER_STALLED, Reason.CONNECTIONS_FULL})
"""Ends that a caller brought about; before it is known, it could cause any number of them."""


class CallLog:
    """Log failed attempts and the result of each request.

    Failures and late answers have a line budget of their own; of answers in time only some are
    logged. A connection that ends without a complete answer always has its line, unless its
    caller ended it before the request was admitted.
    """

    def __init__(self, log: EventLog, serving: Serving) -> None:
        self._log = log
        self._serving = serving
        self._fleet: Fleet = serving.fleet

    def attempt_failed(self, call: Call, attempt: Attempt, ending: Ending, begun_s: float) -> None:
        """Log how an attempt ended, and the state by which its target was chosen."""
        now_s = asyncio.get_running_loop().time()
        self._log.failure(
            "attempt",
            request=call.terms.request,
            fingerprint=call.fingerprint,
            parts=",".join(call.terms.parts),
            send=call.sends,
            target=attempt.instance,
            group=attempt.group or "",
            epoch=attempt.epoch or "",
            view=self._fleet.view_name,
            version=self._serving.version,
            load=attempt.load,
            pace=attempt.pace,
            outcome=ending.outcome.value,
            reason=ending.reason.value,
            status=attempt.status or "",
            backoff_s="" if attempt.notice.backoff_s is None else attempt.notice.backoff_s,
            limit_per_s=attempt.notice.limit_per_s or "",
            leaving=attempt.notice.leaving,
            lost=attempt.lost,
            took_s=round(now_s - begun_s, DURATION_DIGITS),
            left_s=round(call.left_s(now_s), DURATION_DIGITS),
        )

    def refused(self, request: str, call: Call | None, refused: Refused) -> None:
        """Log that a request was refused; ``call`` is None if it was not admitted."""
        now_s = asyncio.get_running_loop().time()
        fields: dict[str, object] = {
            "request": request,
            "status": refused.status,
            "reason": refused.reason.value,
            "version": self._serving.version,
            "proof_age_s": round(self._serving.freshness.age_s(now_s), DURATION_DIGITS),
            "view": self._fleet.view_name,
        }
        if call is not None:
            fields |= self._call_fields(call, now_s)
            fields["places"] = len(
                self._fleet.eligible_groups(call.service, call.terms.model, call.allowed_halls)
            )
            if call.forecast_s is not None:
                fields["rank"] = call.queue_rank
                fields["forecast_s"] = round(call.forecast_s, DURATION_DIGITS)
        self._log.failure("refused", **fields)

    def broken(
        self,
        call: Call | None,
        request: str,
        reason: Reason,
        stage: Stage,
        written_bytes: int,
        unsent_bytes: int,
    ) -> None:
        """Log that a caller's connection ends without a complete answer; ``call`` as above."""
        now_s = asyncio.get_running_loop().time()
        fields: dict[str, object] = {
            "request": request,
            "reason": reason.value,
            "stage": stage.value,
            "written_bytes": written_bytes,
            "unsent_bytes": unsent_bytes,
            "stopping": self._serving.stopping,
        }
        if call is not None:
            fields["left_s"] = round(call.left_s(now_s), DURATION_DIGITS)
            fields |= self._call_fields(call, now_s)
        write = self._log.failure if call is None and reason in CALLER_ENDS else self._log.loss
        write("broken", **fields)

    def failed(self, request: str, error: Exception) -> None:
        """Log an error that no part of the relay handles."""
        where = traceback.extract_tb(error.__traceback__)[-1]
        self._log.fault(
            "call_failed",
            request=request,
            cause=f"{type(error).__name__}: {error}",
            at=f"{where.name}:{where.lineno}",
        )

    def failover_refused(self, request: str, reason: Reason) -> None:
        """Log that no other target has a place yet for a call whose target is silent."""
        self._log.detail("failover_refused", request=request, reason=reason.value)

    def answered(self, call: Call, status: int) -> None:
        """Log that a request was answered, and whether in time."""
        now_s = asyncio.get_running_loop().time()
        first_s = (call.first_part_s or now_s) - call.started_s
        late = first_s > call.route.objective_s
        write = self._log.failure if late or status >= 500 else self._log.success
        write(
            "answered",
            request=call.terms.request,
            status=status,
            late=late,
            first_s=round(first_s, DURATION_DIGITS),
            objective_s=call.route.objective_s,
            **self._call_fields(call, now_s),
        )

    def _call_fields(self, call: Call, now_s: float) -> dict[str, object]:
        return {
            "fingerprint": call.fingerprint,
            "parts": ",".join(call.terms.parts),
            "route": call.route.name,
            "service": call.service,
            "model": call.terms.model or "",
            "given_s": call.terms.deadline_s or "",
            "took_s": round(now_s - call.started_s, DURATION_DIGITS),
            "waited_s": round(call.waited_s, DURATION_DIGITS),
            "sends": call.sends,
            "runs": call.runs,
            "target": call.target or "",
            "tried": ",".join(call.tried),
        }


__all__ = ["CallLog"]
