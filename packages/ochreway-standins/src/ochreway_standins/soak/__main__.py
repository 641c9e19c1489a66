# SPDX-License-Identifier: Apache-2.0
"""Run many seeds: ``python -m ochreway_standins.soak --seed 1 --runs 500``."""

import multiprocessing
import sys
import time

import click

from ochreway_standins.soak.run import Run, RunResult

MAX_RUNS_SHOWN = 20


def run_seed(seed: int) -> RunResult:
    """Run one seed."""
    return Run(seed).go()


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--runs", default=500, show_default=True, help="How many seeds.")
@click.option("--jobs", default=4, show_default=True, help="Processes that run them.")
def main(seed: int, runs: int, jobs: int) -> None:
    """Run seeds and exit 1 on a violation."""
    began_s = time.monotonic()
    with multiprocessing.get_context("fork").Pool(jobs) as pool:
        results = list(pool.imap(run_seed, range(seed, seed + runs), chunksize=4))
    failed_results = [result for result in results if result.violations]
    for result in failed_results[:MAX_RUNS_SHOWN]:
        for violation in result.violations[:3]:
            print(f"violation seed={result.seed} {violation}")
    print(f"runs_with_violations={len(failed_results)} seconds={time.monotonic() - began_s:.1f}")
    print(
        f"seed={seed} runs={runs} faults={sum(each.faults for each in results)}"
        f" requests={sum(each.requests for each in results)}"
        f" answered={sum(each.answered for each in results)}"
        f" violations={sum(len(each.violations) for each in results)}"
    )
    sys.exit(1 if failed_results else 0)


if __name__ == "__main__":
    main()
