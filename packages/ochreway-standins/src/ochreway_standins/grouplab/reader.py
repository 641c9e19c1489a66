# SPDX-License-Identifier: Apache-2.0
"""Read experiments from TOML files; errors name the invalid field."""

import tomllib
import types
from dataclasses import MISSING, fields, is_dataclass
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

from ochreway_standins.grouplab.errors import ExperimentError
from ochreway_standins.grouplab.experiment import Experiment

T = TypeVar("T")
EXPERIMENTS_DIR = Path(__file__).parent / "experiments"
"""Directory of the experiments that are shipped with this package."""
ACCEPTED_NUMBER_TYPES = {int: (int,), float: (int, float)}


def read_experiment(name: str) -> Experiment:
    """Read an experiment, given its name or the path of its ``.toml`` file.

    Raises:
        ExperimentError: if the file cannot be read, or a field is missing, unknown or invalid.
    """
    path = Path(name) if name.endswith(".toml") else EXPERIMENTS_DIR / f"{name}.toml"
    try:
        content = tomllib.loads(path.read_text())
    except OSError as error:
        raise ExperimentError(str(path), f"cannot be read: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(str(path), f"is not valid TOML: {error}") from error
    experiment = _parse_table(Experiment, content, "")
    _check_references(experiment)
    return experiment


def experiment_names() -> list[str]:
    """Return the names of the experiments that are shipped with this package."""
    return sorted(path.stem for path in EXPERIMENTS_DIR.glob("*.toml"))


def _parse_table(kind: type[T], content: Any, where: str) -> T:
    """Convert a table to an instance of the dataclass ``kind``."""
    if not isinstance(content, dict):
        raise ExperimentError(where, "must be a table")
    hints = get_type_hints(kind)
    known = {each.name: each for each in fields(kind)}  # type: ignore[arg-type]
    for name in content:
        if name not in known:
            raise ExperimentError(_field_path(where, name), "is unknown")
    values = {}
    for name, each in known.items():
        if name in content:
            values[name] = _parse_value(hints[name], content[name], _field_path(where, name))
        elif each.default is MISSING:
            raise ExperimentError(_field_path(where, name), "is missing")
    return kind(**values)


def _parse_value(kind: Any, content: Any, where: str) -> Any:
    if is_dataclass(kind):
        return _parse_table(kind, content, where)  # type: ignore[arg-type]
    if get_origin(kind) is tuple or isinstance(kind, types.GenericAlias):
        if not isinstance(content, list):
            raise ExperimentError(where, "must be a list")
        element = get_args(kind)[0]
        return tuple(_parse_value(element, each, f"{where}[{n}]") for n, each in enumerate(content))
    if kind in ACCEPTED_NUMBER_TYPES:
        return _parse_number(kind, content, where)
    if not isinstance(content, str):
        raise ExperimentError(where, "must be a string")
    return content


def _parse_number(kind: type[int] | type[float], content: Any, where: str) -> float:
    if isinstance(content, bool) or not isinstance(content, ACCEPTED_NUMBER_TYPES[kind]):
        raise ExperimentError(where, f"must be a number ({kind.__name__})")
    if content < 0:
        raise ExperimentError(where, "must not be below 0")
    return kind(content)


def _check_references(experiment: Experiment) -> None:
    """Check constraints between fields: names of models and requests, and group sizes."""
    models = {model.name for model in experiment.models}
    if not models:
        raise ExperimentError("models", "must not be empty")
    for n, request in enumerate(experiment.requests):
        if request.model not in models:
            raise ExperimentError(f"requests[{n}].model", f"{request.model!r} is not a model")
    requests = {request.name for request in experiment.requests}
    for n, burst in enumerate(experiment.bursts):
        if burst.request not in requests:
            raise ExperimentError(f"bursts[{n}].request", f"{burst.request!r} is not a request")
    for n, model in enumerate(experiment.models):
        if not 0 < model.size <= experiment.fleet.engines_per_domain:
            raise ExperimentError(f"models[{n}].size", "must be positive and fit into a domain")


def _field_path(where: str, name: str) -> str:
    return f"{where}.{name}" if where else name


__all__ = ["EXPERIMENTS_DIR", "experiment_names", "read_experiment"]
