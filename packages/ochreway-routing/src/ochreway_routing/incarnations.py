# SPDX-License-Identifier: Apache-2.0
"""Telling lives of a target apart, by when each was born."""


def is_older_incarnation(born_ms: int | None, than_ms: int | None) -> bool:
    """Tell whether one life is over by another; one of which the birth is not known may be any."""
    return born_ms is not None and than_ms is not None and born_ms < than_ms


__all__ = ["is_older_incarnation"]
