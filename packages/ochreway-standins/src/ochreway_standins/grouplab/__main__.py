# SPDX-License-Identifier: Apache-2.0
"""Simulate experiments over a range of seeds and compare coordinator settings on the same days.

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

CURRENT_WAY = "as it stands"
Z_95_PERCENT = 1.96
"""Half-width of a 95 % confidence interval, in standard errors."""
COLUMNS = tuple(each.name for each in fields(DayResult))


def tuning_of(way: str) -> CoordinatorTuning:
    """Return the tuning of a way: comma-separated ``name=value`` overrides of the defaults.

    Raises:
        ExperimentError: if a setting is unknown or its value has the wrong type.
    """
    tuning = CoordinatorTuning()
    if way == CURRENT_WAY:
        return tuning
    kinds = {each.name: type(getattr(tuning, each.name)) for each in fields(tuning)}
    for setting in way.split(","):
        name, _, text = setting.partition("=")
        if name not in kinds:
            raise ExperimentError(name, "is not a coordinator setting")
        change: dict[str, Any] = {name: _parse_setting(name, kinds[name], text)}
        tuning = replace(tuning, **change)
    return tuning


def _parse_setting(name: str, kind: type, text: str) -> object:
    if kind is bool:
        if text not in ("true", "false"):
            raise ExperimentError(name, "must be true or false")
        return text == "true"
    try:
        return kind(text)
    except ValueError as error:
        raise ExperimentError(name, f"{text!r} is not a valid {kind.__name__}") from error


def _play_days(
    pool: ProcessPoolExecutor, experiment: Experiment, way: str, seeds: Sequence[int]
) -> list[DayResult]:
    number = len(seeds)
    return list(pool.map(play, [experiment] * number, seeds, [tuning_of(way)] * number))


def _format_line(label: str, cells: Iterable[str]) -> str:
    return f"{label:44}" + "".join(f"{cell:>17}" for cell in cells)


def _format_mean(results: list[DayResult], column: str) -> str:
    return f"{statistics.fmean(getattr(each, column) for each in results):.3f}"


def _format_difference(results: list[DayResult], baseline: list[DayResult], column: str) -> str:
    """Format the mean paired difference to the baseline with its 95 % confidence interval."""
    pairs = zip(results, baseline, strict=True)
    deltas = [getattr(new, column) - getattr(old, column) for new, old in pairs]
    standard_error = (
        statistics.stdev(deltas) / math.sqrt(len(deltas)) if len(deltas) > 1 else math.nan
    )
    return f"{statistics.fmean(deltas):+.3f}±{Z_95_PERCENT * standard_error:.3f}"


@click.command()
@click.argument("names", nargs=-1)
@click.option("--way", "ways", multiple=True, help="Settings to compare with the current ones.")
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=24, show_default=True)
@click.option("--jobs", default=4, show_default=True)
def main(names: tuple[str, ...], ways: tuple[str, ...], seed: int, runs: int, jobs: int) -> None:
    """Print the means of experiments (default: all) and the paired differences of each way."""
    seeds = range(seed, seed + runs)
    try:
        experiments = [read_experiment(name) for name in names or experiment_names()]
        for way in ways:
            tuning_of(way)
    except ExperimentError as error:
        raise click.ClickException(str(error)) from error
    with ProcessPoolExecutor(jobs) as pool:
        for experiment in experiments:
            click.echo(_format_line(f"{experiment.name} (seed {seed}, {runs} days)", COLUMNS))
            baseline = _play_days(pool, experiment, CURRENT_WAY, seeds)
            click.echo(
                _format_line(CURRENT_WAY, [_format_mean(baseline, column) for column in COLUMNS])
            )
            instant = _play_days(pool, experiment.with_instant_weights(), CURRENT_WAY, seeds)
            click.echo(
                _format_line("with weights at once", [_format_mean(instant, c) for c in COLUMNS])
            )
            for way in ways:
                results = _play_days(pool, experiment, way, seeds)
                differences = [_format_difference(results, baseline, column) for column in COLUMNS]
                click.echo(_format_line(way, differences))


if __name__ == "__main__":
    main()
