# SPDX-License-Identifier: Apache-2.0
"""Options shared by all commands, and the clients that they use."""

import asyncio
import dataclasses
import json
import sys
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, TypeVar

import aiohttp
import click

from ochreway_cli.entries import EntryClients
from ochreway_cli.errors import CommandError
from ochreway_cli.halls import Halls
from ochreway_cli.porcelain import Porcelain
from ochreway_core.ids import ScopeId
from ochreway_platform.httpobjectstore import HttpObjectStore
from ochreway_platform.httptable import HttpTable
from ochreway_platform.instancelist import HttpInstanceList

PLATFORM_TIMEOUT_S = 3.0
WATCH_INTERVAL_S = 0.5
EXIT_NOT_COMPLETE = 9

T = TypeVar("T")
Content = dict[str, Any]


@dataclasses.dataclass(slots=True)
class Context:
    """Options shared by all commands."""

    platform_url: str
    entries: tuple[str, ...]
    operator_token: str
    operator: str
    scope: str
    as_json: bool

    def show(self, content: Content, text: str) -> None:
        """Print content, as JSON or as text."""
        click.echo(json.dumps(content, sort_keys=True) if self.as_json else text)

    def run(self, operation: Callable[[Porcelain, EntryClients], Coroutine[None, None, T]]) -> T:
        """Run a coroutine with clients of the platform and of the entries."""
        try:
            return asyncio.run(self._run(operation))
        except CommandError as error:
            self.fail(error)

    async def _run(
        self, operation: Callable[[Porcelain, EntryClients], Coroutine[None, None, T]]
    ) -> T:
        async with aiohttp.ClientSession() as session:
            table = HttpTable(session, self.platform_url, PLATFORM_TIMEOUT_S)
            objects = HttpObjectStore(session, self.platform_url, PLATFORM_TIMEOUT_S)
            porcelain = Porcelain(table, objects, ScopeId(self.scope))
            return await operation(
                porcelain, EntryClients(session, self.entries, self.operator_token)
            )

    def run_with_halls(
        self, operation: Callable[[Halls, EntryClients], Coroutine[None, None, T]]
    ) -> T:
        """Run a coroutine with access to the drained halls and clients of the entries."""
        try:
            return asyncio.run(self._run_with_halls(operation))
        except CommandError as error:
            self.fail(error)

    async def _run_with_halls(
        self, operation: Callable[[Halls, EntryClients], Coroutine[None, None, T]]
    ) -> T:
        async with aiohttp.ClientSession() as session:
            table = HttpTable(session, self.platform_url, PLATFORM_TIMEOUT_S)
            instances = HttpInstanceList(session, self.platform_url, PLATFORM_TIMEOUT_S)
            halls = Halls(table, instances, ScopeId(self.scope))
            return await operation(halls, EntryClients(session, self.entries, self.operator_token))

    def fail(self, error: CommandError) -> NoReturn:
        """Print an error and exit with its exit code."""
        if self.as_json:
            click.echo(json.dumps({"error": type(error).__name__, "message": str(error)}))
        else:
            click.echo(f"{type(error).__name__}: {error}", err=True)
        sys.exit(error.exit_code)


def require_operator(context: Context) -> str:
    """Return the operator's name; raise a usage error if it was not given."""
    if not context.operator:
        raise click.UsageError("give your name with --operator or OCHREWAY_OPERATOR")
    return context.operator


__all__ = ["EXIT_NOT_COMPLETE", "WATCH_INTERVAL_S", "Content", "Context", "require_operator"]
