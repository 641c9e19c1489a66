# SPDX-License-Identifier: Apache-2.0
"""Errors of the ``ochreway`` command, each with its exit code."""

from ochreway_core.errors import OchrewayError


class CommandError(OchrewayError):
    """The command failed."""

    exit_code = 1


class BundleRefused(CommandError):
    """The bundle is not acceptable."""

    exit_code = 3

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))


class NotFound(CommandError):
    """There is no such bundle, version or hall."""

    exit_code = 4


class RaceLost(CommandError):
    """Another operator's change was committed first."""

    exit_code = 5


class NotApproved(CommandError):
    """The bundle has not been signed off."""

    exit_code = 6


class PlatformDown(CommandError):
    """The platform did not answer, and nothing is known to have changed."""

    exit_code = 7


class FateUnknown(CommandError):
    """The change was sent to the platform, but its outcome could not be determined."""

    exit_code = 8


__all__ = [
    "BundleRefused",
    "CommandError",
    "FateUnknown",
    "NotApproved",
    "NotFound",
    "PlatformDown",
    "RaceLost",
]
