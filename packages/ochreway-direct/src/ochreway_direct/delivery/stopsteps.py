# SPDX-License-Identifier: Apache-2.0
"""How long each step of a planned stop takes."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

DURATION_DIGITS = 3


class StopSteps:
    """Measure the steps of a stop."""

    def __init__(self, now_s: Callable[[], float], begun_s: float) -> None:
        self._now_s = now_s
        self.begun_s = begun_s
        self._durations_s: dict[str, float] = {}

    @contextmanager
    def step(self, name: str) -> Iterator[None]:
        """Measure one step."""
        since_s = self._now_s()
        try:
            yield
        finally:
            self._durations_s[name] = self._now_s() - since_s

    def fields(self) -> dict[str, object]:
        """Return the durations as fields of a log line."""
        fields: dict[str, object] = {
            f"{name}_s": round(duration_s, DURATION_DIGITS)
            for name, duration_s in self._durations_s.items()
        }
        return fields | {"took_s": round(self._now_s() - self.begun_s, DURATION_DIGITS)}


__all__ = ["StopSteps"]
