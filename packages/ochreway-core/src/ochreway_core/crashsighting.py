# SPDX-License-Identifier: Apache-2.0
"""What processes exchange about the targets that crashed under a request."""

from dataclasses import dataclass

from ochreway_core.ids import Fingerprint, InstanceId


@dataclass(frozen=True, slots=True)
class SeenCrash:
    """Name a target that crashed under a request, and how long ago."""

    target: InstanceId
    age_s: float


@dataclass(frozen=True, slots=True)
class CrashSighting:
    """Describe what is known about one request.

    ``asked_age_s`` is how long ago it was last received, or last crashed a target.
    ``cleared_age_s`` is how long ago a target last completed it and survived, if any did.
    """

    fingerprint: Fingerprint
    crashes: tuple[SeenCrash, ...]
    asked_age_s: float
    cleared_age_s: float | None = None


__all__ = ["CrashSighting", "SeenCrash"]
