# SPDX-License-Identifier: Apache-2.0
"""What one process tells another of the targets that ended under a request."""

from dataclasses import dataclass

from ochreway_core.ids import Fingerprint, InstanceId


@dataclass(frozen=True, slots=True)
class SeenCrash:
    """Name a target that ended under a request, and how long ago."""

    target: InstanceId
    age_s: float


@dataclass(frozen=True, slots=True)
class CrashSighting:
    """Tell what is known of one request.

    ``asked_age_s`` is how long ago it was last asked for, or a target last ended under it.
    ``cleared_age_s`` is how long ago a target last ran it to its end and went on, if any did.
    """

    fingerprint: Fingerprint
    crashes: tuple[SeenCrash, ...]
    asked_age_s: float
    cleared_age_s: float | None = None


__all__ = ["CrashSighting", "SeenCrash"]
