# SPDX-License-Identifier: Apache-2.0
"""Identifiers used only by direct entries."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
CellId = NewType("CellId", str)

__all__ = ["CellId", "ModelName", "ServiceName"]
