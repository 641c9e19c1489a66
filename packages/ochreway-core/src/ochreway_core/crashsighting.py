# SPDX-License-Identifier: Apache-2.0
"""What processes exchange about the targets that crashed under requests with one cause."""

from dataclasses import dataclass

from ochreway_core.ids import CauseId, InstanceId


@dataclass(frozen=True, slots=True)
class SeenCrash:
    """Name a target that crashed under a request, and how long ago.

    Attributes:
        approximate: whether it is only known that the crash was before a row was written.
        under_trial: whether the request was sent on trial.
    """

    target: InstanceId
    age_s: float
    approximate: bool = False
    under_trial: bool = False


@dataclass(frozen=True, slots=True)
class CrashSighting:
    """Describe what is known about one possible cause of crashes.

    Attributes:
        fingerprint: the cause. The field keeps its name for entries of earlier builds, which know
            only requests as a whole.
        asked_age_s: how long ago it was last received while it was held, or last crashed a target.
        cleared_age_s: how long ago a target last ran it and survived, if any did.
        trial_age_s: how long ago it was last sent on trial, if it was.
    """

    fingerprint: CauseId
    crashes: tuple[SeenCrash, ...]
    asked_age_s: float
    cleared_age_s: float | None = None
    trial_age_s: float | None = None

    @property
    def cause(self) -> CauseId:
        """Return the cause that this is about."""
        return self.fingerprint


__all__ = ["CrashSighting", "SeenCrash"]
