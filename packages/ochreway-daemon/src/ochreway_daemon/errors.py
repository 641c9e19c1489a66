# SPDX-License-Identifier: Apache-2.0
"""Errors of the daemon layer."""

from ochreway_core.errors import OchrewayError


class SettingsInvalid(OchrewayError):
    """One or more settings are not acceptable."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class CallerFault(OchrewayError):
    """A caller's request is not acceptable as it stands."""


__all__ = ["CallerFault", "SettingsInvalid"]
