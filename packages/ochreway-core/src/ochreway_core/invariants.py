# SPDX-License-Identifier: Apache-2.0
"""Named invariant checks shared by daemons and tests.

A check returns whether its condition holds. Daemons install a reporter that counts and logs a
violation, and then fail closed; tests keep the default, which raises.
"""

from collections.abc import Callable
from enum import Enum

from ochreway_core.errors import InvariantViolation

Reporter = Callable[["Invariant", str], None]


class Invariant(Enum):
    """Names of the invariants."""

    GROUP_COMPLETE = "group_complete"
    ONE_GROUP = "one_group"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN_TRUE = "not_run_true"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_QUIET = "leaving_quiet"
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    VERSION_FORWARD = "version_forward"
    DRAINED_QUIET = "drained_quiet"
    FATAL_QUIET = "fatal_quiet"
    SOUND_SERVED = "sound_served"
    BACKOFF_QUIET = "backoff_quiet"
    LIMIT_KEPT = "limit_kept"


def _raise(invariant: Invariant, detail: str) -> None:
    raise InvariantViolation(f"{invariant.value}: {detail}")


_reporter: list[Reporter] = [_raise]


def set_reporter(reporter: Reporter) -> None:
    """Install a reporter that is called on a violation instead of raising."""
    _reporter[0] = reporter


def hold(invariant: Invariant, condition: bool, detail: str) -> bool:
    """Report a violation unless the condition holds, and return the condition.

    Raises:
        InvariantViolation: if the condition is false, with the default reporter.
    """
    if not condition:
        _reporter[0](invariant, detail)
    return condition


def version_moves_forward(seen: int, applied: int) -> bool:
    """Check that the applied version is not lower than one seen before."""
    return hold(Invariant.VERSION_FORWARD, applied >= seen, f"seen={seen} applied={applied}")


def group_is_complete(open_gate: bool, detail: str) -> bool:
    """Check that the gate is open when work is handed over."""
    return hold(Invariant.GROUP_COMPLETE, open_gate, detail)


def answer_is_whole(received: int, total: int, detail: str) -> bool:
    """Check that the delivered length equals the answer's stated total."""
    return hold(Invariant.WHOLE_ANSWER, received == total, f"{detail} {received}/{total}")


def never_handed_over(handed_over: bool, detail: str) -> bool:
    """Check that an attempt reported as not run was never handed over."""
    return hold(Invariant.NOT_RUN_TRUE, not handed_over, detail)


__all__ = [
    "Invariant",
    "Reporter",
    "answer_is_whole",
    "group_is_complete",
    "hold",
    "never_handed_over",
    "set_reporter",
    "version_moves_forward",
]
