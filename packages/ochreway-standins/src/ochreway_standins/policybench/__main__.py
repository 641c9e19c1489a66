# SPDX-License-Identifier: Apache-2.0
"""Print a table of policies by scenario, and draw it: ``make bench-policy SEED=n``."""

import json
import multiprocessing
import statistics
import time
from pathlib import Path
from typing import Any

import click

from ochreway_routing.policy import POLICIES
from ochreway_standins.policybench.plots import draw
from ochreway_standins.policybench.run import WARM_S, PolicyRun
from ochreway_standins.policybench.scenario import SCENARIOS, Scenario

MEASURED_S = 60.0
LARGE_MEASURED_S = 6.0
LARGE_WARM_S = 6.0

Given = tuple[str, Scenario, int, int, int, float]


def measure(given: Given) -> dict[str, Any]:
    """Run one policy under one scenario and return its row."""
    policy, scenario, seed, replicas, entries, measured_s = given
    warm_s = LARGE_WARM_S if replicas > 24 else WARM_S
    run = PolicyRun(policy, scenario, seed, replicas, entries, measured_s, warm_s)
    score = run.go()
    working = [each for each in run.replicas.values() if not each.failing]
    served = [each.served for each in working]
    prompt = sum(each.prompt_tokens for each in working)
    first = score.first_token_us
    return {
        "replicas": replicas,
        "scenario": scenario.name,
        "policy": policy,
        "asked": score.asked,
        "in_time_percent": round(100 * score.in_time / max(score.asked, 1), 2),
        "goodput_per_s": round(score.in_time / measured_s, 1),
        "p50_ms": round(first.get_value_at_percentile(50) / 1000),
        "p95_ms": round(first.get_value_at_percentile(95) / 1000),
        "p99_ms": round(first.get_value_at_percentile(99) / 1000),
        "cached_percent": round(100 * sum(e.cached_tokens for e in working) / max(prompt, 1), 1),
        "spread": round(statistics.pstdev(served) / max(statistics.mean(served), 1e-9), 2),
        "smallest_percent": round(100 * score.small_in_time / max(score.small_asked, 1), 1),
        "attempts_per_request": round(score.attempts / max(score.asked, 1), 3),
        "reasons": score.reasons,
    }


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--jobs", default=4, show_default=True)
@click.option("--policy", "policies", multiple=True, help="Only these; all by default.")
@click.option("--out", type=click.Path(path_type=Path), default=None, help="Folder for plots.")
@click.option("--large/--no-large", default=True, help="Also measure 525 replicas.")
def main(seed: int, jobs: int, policies: tuple[str, ...], out: Path | None, large: bool) -> None:
    """Measure the policies."""
    began_s = time.monotonic()
    names = list(policies) or sorted(POLICIES)
    given: list[Given] = [
        (name, scenario, seed, 24, 4, MEASURED_S) for scenario in SCENARIOS for name in names
    ]
    if large:
        chosen = [each for each in SCENARIOS if each.name == "busy"]
        given += [
            (name, scenario, seed, 525, 44, LARGE_MEASURED_S)
            for scenario in chosen
            for name in names
        ]
    with multiprocessing.get_context("fork").Pool(jobs) as pool:
        rows = pool.map(measure, given, chunksize=1)
    for row in rows:
        print(" ".join(f"{key}={value}" for key, value in row.items() if key != "reasons"))
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / "policies.json").write_text(json.dumps(rows, indent=1) + "\n")
        draw(rows, out)
    print(f"seed={seed} rows={len(rows)} seconds={time.monotonic() - began_s:.1f}")


if __name__ == "__main__":
    main()
