# SPDX-License-Identifier: Apache-2.0
"""Deciding which engines form groups, and which orders bring that about."""

from ochreway_direct.coordinator.assignment import Assignment
from ochreway_direct.coordinator.coordinator import Coordinator
from ochreway_direct.coordinator.tuning import CoordinatorTuning

__all__ = ["Assignment", "Coordinator", "CoordinatorTuning"]
