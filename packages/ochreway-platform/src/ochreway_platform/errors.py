# SPDX-License-Identifier: Apache-2.0
"""Errors of the platform layer."""

from ochreway_core.drainedhalls import UNREAD_HALLS, DrainedHalls
from ochreway_core.errors import OchrewayError
from ochreway_core.targetnotice import TargetNotice


class PlatformError(OchrewayError):
    """A request to the platform or to a target failed."""


class TableUnavailable(PlatformError):
    """A read of the table failed."""


class ObjectMissing(PlatformError):
    """The object store has no object of that name."""


class ObjectStoreUnavailable(PlatformError):
    """A request to the object store failed."""


class ConfigurationUnavailable(PlatformError):
    """The configuration source is unavailable."""


class ConfigurationUnreadable(ConfigurationUnavailable):
    """A version of the configuration cannot be decoded.

    ``drained`` holds the drained halls of the same reading, which are valid nevertheless.
    """

    def __init__(self, cause: str, drained: DrainedHalls = UNREAD_HALLS) -> None:
        super().__init__(cause)
        self.drained = drained


class ListUnavailable(PlatformError):
    """The list of instances could not be read."""


class TargetUnreachable(PlatformError):
    """The target could not be reached, so it cannot have started the request."""


class HandOverRefused(PlatformError):
    """The hand-over was no longer allowed, so the target did not receive the request."""


class TargetBroke(PlatformError):
    """The target failed after it was reached."""


class ReportUnreadable(TargetBroke):
    """A target's report of its state cannot be decoded."""


class TargetTurnedAway(PlatformError):
    """The target rejected a request without starting it and may request a backoff."""

    def __init__(self, notice: TargetNotice) -> None:
        super().__init__(f"asks to be left alone for {notice.backoff_s} s")
        self.notice = notice


__all__ = [
    "ConfigurationUnavailable",
    "ConfigurationUnreadable",
    "HandOverRefused",
    "ListUnavailable",
    "ObjectMissing",
    "ObjectStoreUnavailable",
    "PlatformError",
    "ReportUnreadable",
    "TableUnavailable",
    "TargetBroke",
    "TargetTurnedAway",
    "TargetUnreachable",
]
