# SPDX-License-Identifier: Apache-2.0
"""Errors of experiment files."""


class ExperimentError(ValueError):
    """A field of an experiment file is invalid."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


__all__ = ["ExperimentError"]
