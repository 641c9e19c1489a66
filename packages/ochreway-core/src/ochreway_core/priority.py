# SPDX-License-Identifier: Apache-2.0
"""Priority classes of requests."""

from enum import IntEnum


class Priority(IntEnum):
    """Order requests; a lower value goes first."""

    VISIT = 0
    NORMAL = 1
    BATCH = 2
