# SPDX-License-Identifier: Apache-2.0
"""The state that a target reports."""

from dataclasses import dataclass

from ochreway_core.ids import NO_EPOCH, Epoch


@dataclass(frozen=True, slots=True)
class TargetState:
    """A target's reply to a state poll, and the time of the reply (``seen_s``)."""

    epoch: Epoch = NO_EPOCH
    artifact: str = ""
    loaded: bool = False
    seen_s: float = -1.0e9
    leaving: bool = False


__all__ = ["TargetState"]
