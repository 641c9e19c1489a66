# SPDX-License-Identifier: Apache-2.0
"""Errors of what every process shares."""


class SettingsInvalid(Exception):
    """One or more settings are not acceptable."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


__all__ = ["SettingsInvalid"]
