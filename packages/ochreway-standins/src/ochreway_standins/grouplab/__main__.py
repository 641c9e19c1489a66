# SPDX-License-Identifier: Apache-2.0
"""Play an experiment over seeds, each way of deciding on the same days.

``python -m ochreway_standins.grouplab small-model-heavy --way crowding=0.8 --way trading=false``
"""

import math
import statistics
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import fields, replace
from typing import Any

import click

from ochreway_direct.coordinator import CoordinatorTuning
from ochreway_standins.grouplab.day import DayResult, play
from ochreway_standins.grouplab.errors import ExperimentError
from ochreway_standins.grouplab.experiment import Experiment
from ochreway_standins.grouplab.reader import experiment_names, read_experiment

STANDING = "as it stands"
CONFIDENCE = 1.96
"""How many standard errors an interval of 95 % reaches to each side."""
COLUMNS = tuple(each.name for each in fields(DayResult))


def tuning_of(way: str) -> CoordinatorTuning:
    """Return the tuning of a way: comma-separated settings that differ from the standing ones.

    Raises:
        ExperimentError: when a setting is not known, or its value of a wrong type.
    """
    tuning = CoordinatorTuning()
    if way == STANDING:
        return tuning
    kinds = {each.name: type(getattr(tuning, each.name)) for each in fields(tuning)}
    for setting in way.split(","):
        name, _, text = setting.partition("=")
        if name not in kinds:
            raise ExperimentError(name, "is no setting of the coordinator")
        change: dict[str, Any] = {name: _parsed(name, kinds[name], text)}
        tuning = replace(tuning, **change)
    return tuning


def _parsed(name: str, kind: type, text: str) -> object:
    if kind is bool:
        if text not in ("true", "false"):
            raise ExperimentError(name, "has to be true or false")
        return text == "true"
    try:
        return kind(text)
    except ValueError as fault:
        raise ExperimentError(name, f"{text!r} is no {kind.__name__}") from fault


def _played(
    pool: ProcessPoolExecutor, experiment: Experiment, way: str, seeds: Sequence[int]
) -> list[DayResult]:
    number = len(seeds)
    return list(pool.map(play, [experiment] * number, seeds, [tuning_of(way)] * number))


def _line(label: str, cells: Iterable[str]) -> str:
    return f"{label:44}" + "".join(f"{cell:>17}" for cell in cells)


def _mean(results: list[DayResult], column: str) -> str:
    return f"{statistics.fmean(getattr(each, column) for each in results):.3f}"


def _difference(results: list[DayResult], standing: list[DayResult], column: str) -> str:
    """Return the mean difference on the same days, and its interval of 95 %."""
    pairs = zip(results, standing, strict=True)
    found = [getattr(new, column) - getattr(old, column) for new, old in pairs]
    error = statistics.stdev(found) / math.sqrt(len(found)) if len(found) > 1 else math.nan
    return f"{statistics.fmean(found):+.3f}±{CONFIDENCE * error:.3f}"


@click.command()
@click.argument("names", nargs=-1)
@click.option("--way", "ways", multiple=True, help="Settings to compare with the standing ones.")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=24, show_default=True)
@click.option("--jobs", default=4, show_default=True)
def main(names: tuple[str, ...], ways: tuple[str, ...], seed: int, runs: int, jobs: int) -> None:
    """Print means of experiments (all, if none is named) and paired differences of ways."""
    seeds = range(seed, seed + runs)
    try:
        experiments = [read_experiment(name) for name in names or experiment_names()]
        for way in ways:
            tuning_of(way)
    except ExperimentError as fault:
        raise click.ClickException(str(fault)) from fault
    with ProcessPoolExecutor(jobs) as pool:
        for experiment in experiments:
            click.echo(_line(f"{experiment.name} (seed {seed}, {runs} days)", COLUMNS))
            standing = _played(pool, experiment, STANDING, seeds)
            click.echo(_line(STANDING, [_mean(standing, column) for column in COLUMNS]))
            instant = _played(pool, experiment.with_instant_weights(), STANDING, seeds)
            click.echo(_line("with weights at once", [_mean(instant, c) for c in COLUMNS]))
            for way in ways:
                results = _played(pool, experiment, way, seeds)
                differences = [_difference(results, standing, column) for column in COLUMNS]
                click.echo(_line(way, differences))


if __name__ == "__main__":
    main()
