# SPDX-License-Identifier: Apache-2.0
"""HTTP responses for refused requests."""

import math
from collections.abc import Mapping

from aiohttp import web

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason

DEFAULT_STATUS = 503
MAX_DETAIL_CHARACTERS = 200

STATUS_BY_REASON: Mapping[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORISED: 401,
    Reason.UNKNOWN_TARGET: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_TAKEN: 409,
    Reason.KEY_ANSWERED: 409,
    Reason.ORGANISATION_IN_FLIGHT: 429,
    Reason.ORGANISATION_RATE: 429,
    Reason.OVER_SHARE: 429,
    Reason.QUEUE_FULL: 429,
    Reason.DEADLINE_PASSED: 504,
}


def refusal_content(
    outcome: Outcome, reason: Reason, detail: str, request: str
) -> dict[str, object]:
    """Return the JSON content of a refusal."""
    return {
        "error": {
            "outcome": outcome.value,
            "reason": reason.value,
            "message": detail or reason.value.replace("_", " "),
            "request_id": request,
        }
    }


def refusal(
    outcome: Outcome,
    reason: Reason,
    retry_after_s: float = 0.0,
    detail: str = "",
    request: str = "",
) -> web.Response:
    """Return a refusal; without a retry time, as when a retry is useless, no ``Retry-After``."""
    headers = {"X-Request-Id": request} if request else {}
    if retry_after_s > 0:
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
    return web.json_response(
        refusal_content(outcome, reason, detail, request),
        status=STATUS_BY_REASON.get(reason, DEFAULT_STATUS),
        headers=headers,
    )


def request_error(reason: Reason, detail: str) -> web.Response:
    """Return the refusal of a request that is itself invalid.

    ``detail`` may name what the request holds, of which it shows only so much.
    """
    return refusal(Outcome.NOT_RUN, reason, detail=detail[:MAX_DETAIL_CHARACTERS])


__all__ = ["MAX_DETAIL_CHARACTERS", "refusal_content", "request_error", "refusal"]
