# SPDX-License-Identifier: Apache-2.0
"""Priority classes of requests."""

from enum import IntEnum


class Priority(IntEnum):
    """Priority of a request; lower values are served first."""

    VISIT = 0
    NORMAL = 1
    BATCH = 2
