# SPDX-License-Identifier: Apache-2.0
"""The kinds of target."""

from enum import Enum


class TargetKind(Enum):
    """Whether a target is a model's engine or a plain service."""

    MODEL = "model"
    SERVICE = "service"
