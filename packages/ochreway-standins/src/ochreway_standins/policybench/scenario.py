# SPDX-License-Identifier: Apache-2.0
"""What a run is put under."""

from dataclasses import dataclass

from ochreway_core.timing import Timing


@dataclass(frozen=True, slots=True)
class Scenario:
    """Name a load and the faults beside it."""

    name: str
    load: float
    slow_replicas: int = 0
    failing_share: float = 0.0
    report_lag_s: float = 0.1
    report_every_s: float = Timing().load_report_s


SCENARIOS = (
    Scenario("calm", 0.5),
    Scenario("busy", 0.9),
    Scenario("full", 1.0),
    Scenario("overload", 1.3),
    Scenario("one_slow", 0.7, slow_replicas=1),
    Scenario("third_failing", 0.5, failing_share=1 / 3),
    Scenario("stale_load", 0.9, report_lag_s=5.0),
)

__all__ = ["SCENARIOS", "Scenario"]
