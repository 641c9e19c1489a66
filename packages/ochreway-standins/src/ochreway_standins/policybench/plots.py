# SPDX-License-Identifier: Apache-2.0
"""Plots of the policy table."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt

MEASURES = (
    ("in_time_percent", "served in time, %"),
    ("p95_ms", "first token p95, ms"),
    ("cached_percent", "prompt tokens from cache, %"),
)


def draw(rows: list[dict[str, Any]], folder: Path) -> None:
    """Draw one chart a measure: scenarios across, a bar a policy."""
    for measure, label in MEASURES:
        _chart([row for row in rows if row["replicas"] == 24], measure, label, folder)


def _chart(rows: list[dict[str, Any]], measure: str, label: str, folder: Path) -> None:
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axes = plt.subplots(figsize=(9, 3.6))
    width = 0.8 / len(policies)
    for place, policy in enumerate(policies):
        values = {row["scenario"]: row[measure] for row in rows if row["policy"] == policy}
        positions = [index + place * width for index in range(len(scenarios))]
        axes.bar(positions, [values[name] for name in scenarios], width, label=policy)
    axes.set_xticks([index + 0.4 for index in range(len(scenarios))], scenarios, fontsize=8)
    axes.set_ylabel(label)
    axes.legend(fontsize=7, ncols=len(policies))
    figure.tight_layout()
    figure.savefig(folder / f"policy-{measure}.png", dpi=100, metadata={"Software": None})
    plt.close(figure)


__all__ = ["draw"]
