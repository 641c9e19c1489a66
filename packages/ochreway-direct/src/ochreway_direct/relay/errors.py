# SPDX-License-Identifier: Apache-2.0
"""Errors of the relay."""

from ochreway_core.errors import OchrewayError
from ochreway_core.reason import Reason


class Refused(OchrewayError):
    """The entry answers a request itself; it has not run unless the status says otherwise."""

    def __init__(self, status: int, reason: Reason, retry_after_s: float | None = None) -> None:
        super().__init__(f"{status} {reason.value}")
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class AnswerBroken(OchrewayError):
    """An answer broke off after a part of it was forwarded, so the connection must be closed."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class CallerGone(OchrewayError):
    """The caller no longer accepts the answer."""


__all__ = ["AnswerBroken", "CallerGone", "Refused"]
