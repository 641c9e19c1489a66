# SPDX-License-Identifier: Apache-2.0
"""Errors of the infrastructure shared by all processes."""


class SettingsInvalid(Exception):
    """One or more settings are invalid."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


__all__ = ["SettingsInvalid"]
