# SPDX-License-Identifier: Apache-2.0
"""What can be wrong with an experiment file."""


class ExperimentError(ValueError):
    """Tell which field of an experiment file is wrong, and why."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


__all__ = ["ExperimentError"]
