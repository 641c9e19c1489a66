# SPDX-License-Identifier: Apache-2.0
"""The closed set of ways a request can end."""

from enum import Enum


class Outcome(Enum):
    """What is known about a request that has ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
