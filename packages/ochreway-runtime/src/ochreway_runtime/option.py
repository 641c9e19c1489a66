# SPDX-License-Identifier: Apache-2.0
"""Declaration of settings as flags and environment variables of a command."""

from collections.abc import Callable
from typing import Any, TypeVar

import click

F = TypeVar("F", bound=Callable[..., Any])


def option(flag: str, default: Any, text: str, **extra_options: Any) -> Callable[[F], F]:
    """Declare a setting as a flag and an environment variable."""
    variable = "OCHREWAY_" + flag.removeprefix("--").replace("-", "_").upper()
    return click.option(
        flag,
        default=default,
        envvar=variable,
        show_envvar=True,
        show_default=True,
        help=text,
        **extra_options,
    )


__all__ = ["option"]
