# SPDX-License-Identifier: Apache-2.0
"""Error for a call that is given up."""

from ochreway_core.reason import Reason
from ochreway_direct.relay.call import Call
from ochreway_direct.relay.errors import AnswerBroken, Refused

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504


def refusal_of(call: Call, reason: Reason, retry_after_s: float) -> Refused | AnswerBroken:
    """Return the error for a call that is given up, depending on whether it may have run."""
    if call.answer is not None:
        return AnswerBroken(reason)
    if not call.runs:
        return Refused(NOT_RUN_STATUS, reason, retry_after_s)
    late = reason is Reason.DEADLINE_PASSED
    return Refused(TIMEOUT_STATUS if late else UNKNOWN_STATUS, reason)


__all__ = ["NOT_RUN_STATUS", "refusal_of"]
