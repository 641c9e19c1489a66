# SPDX-License-Identifier: Apache-2.0
"""Decides which engines form groups and which orders are sent to them."""

from ochreway_direct.coordinator.assignment import Assignment
from ochreway_direct.coordinator.coordinator import Coordinator
from ochreway_direct.coordinator.tuning import CoordinatorTuning

__all__ = ["Assignment", "Coordinator", "CoordinatorTuning"]
