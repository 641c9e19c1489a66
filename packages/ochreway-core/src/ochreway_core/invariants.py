# SPDX-License-Identifier: Apache-2.0
"""The invariants, as named checks that daemons and tests share.

A check returns nothing when it holds. Daemons install a reporter that counts and logs and
then fail closed; tests leave the default, which raises.
"""

from collections.abc import Callable
from enum import Enum

from ochreway_core.errors import InvariantViolation

Reporter = Callable[["Invariant", str], None]


class Invariant(Enum):
    """Name each thing that must always hold."""

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
    BACKOFF_QUIET = "backoff_quiet"
    LIMIT_KEPT = "limit_kept"


def _raise(invariant: Invariant, detail: str) -> None:
    raise InvariantViolation(f"{invariant.value}: {detail}")


_reporter: list[Reporter] = [_raise]


def set_reporter(reporter: Reporter) -> None:
    """Install what is told of a violation in place of raising."""
    _reporter[0] = reporter


def hold(invariant: Invariant, condition: bool, detail: str) -> bool:
    """Report a violation unless the condition holds, and return the condition.

    Raises:
        InvariantViolation: with the default reporter, when the condition is false.
    """
    if not condition:
        _reporter[0](invariant, detail)
    return condition


def version_moves_forward(seen: int, applied: int) -> bool:
    """Check that no lower version is applied than was seen."""
    return hold(Invariant.VERSION_FORWARD, applied >= seen, f"seen={seen} applied={applied}")


def group_is_complete(open_gate: bool, detail: str) -> bool:
    """Check that work is handed over only through an open gate."""
    return hold(Invariant.GROUP_COMPLETE, open_gate, detail)


def answer_is_whole(received: int, total: int, detail: str) -> bool:
    """Check that what was delivered is as long as the answer's stated total."""
    return hold(Invariant.WHOLE_ANSWER, received == total, f"{detail} {received}/{total}")


def never_handed_over(handed_over: bool, detail: str) -> bool:
    """Check that what is called not run was never handed over."""
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
