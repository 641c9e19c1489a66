# SPDX-License-Identifier: Apache-2.0
"""The kinds of target."""

from enum import Enum


class TargetKind(Enum):
    """Tell a model's engine from a plain service."""

    MODEL = "model"
    SERVICE = "service"
