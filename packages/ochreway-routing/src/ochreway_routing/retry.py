# SPDX-License-Identifier: Apache-2.0
"""The decision whether to retry after an attempt."""

from enum import Enum

from ochreway_core.outcome import Outcome
from ochreway_core.reason import Reason


class Action(Enum):
    """Name what is done with a request whose attempt ended."""

    ANSWER = "answer"
    RETRY = "retry"


_ACTIONS: dict[tuple[Outcome, bool, bool], Action] = {
    # (outcome, repeatable, already streamed to the caller)
    (Outcome.ANSWERED, False, False): Action.ANSWER,
    (Outcome.ANSWERED, False, True): Action.ANSWER,
    (Outcome.ANSWERED, True, False): Action.ANSWER,
    (Outcome.ANSWERED, True, True): Action.ANSWER,
    (Outcome.NOT_RUN, False, False): Action.RETRY,
    (Outcome.NOT_RUN, False, True): Action.ANSWER,
    (Outcome.NOT_RUN, True, False): Action.RETRY,
    (Outcome.NOT_RUN, True, True): Action.ANSWER,
    (Outcome.UNKNOWN, False, False): Action.ANSWER,
    (Outcome.UNKNOWN, False, True): Action.ANSWER,
    (Outcome.UNKNOWN, True, False): Action.RETRY,
    (Outcome.UNKNOWN, True, True): Action.ANSWER,
}

_FINAL_REASONS = frozenset(
    {
        Reason.OVER_SHARE,
        Reason.DEADLINE_TOO_SHORT,
        Reason.DEADLINE_PASSED,
        Reason.CALLER_GONE,
        Reason.STOPPING,
        Reason.INVARIANT,
    }
)


def next_action(outcome: Outcome, reason: Reason, repeatable: bool, streamed: bool) -> Action:
    """Return what to do after an attempt ended."""
    if reason in _FINAL_REASONS:
        return Action.ANSWER
    return _ACTIONS[outcome, repeatable, streamed]


__all__ = ["Action", "next_action"]
