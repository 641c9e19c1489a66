# SPDX-License-Identifier: Apache-2.0
"""Order of a target's incarnations, by birth time."""


def is_older_incarnation(born_ms: int | None, than_ms: int | None) -> bool:
    """Return whether one incarnation is known to precede another; None is an unknown birth."""
    return born_ms is not None and than_ms is not None and born_ms < than_ms


__all__ = ["is_older_incarnation"]
