# SPDX-License-Identifier: Apache-2.0
"""The ``ochreway hall`` commands."""

import dataclasses
import sys
import time
from typing import Any

import click

from ochreway_cli.context import EXIT_NOT_COMPLETE, WATCH_INTERVAL_S, Context, require_operator
from ochreway_cli.entries import EntryClients
from ochreway_cli.halls import HallProgress, Halls, hall_progress
from ochreway_core.drainedhalls import DrainedHalls
from ochreway_core.ids import HallId


@click.group()
def hall() -> None:
    """Drain data halls and give them back."""


@hall.command("drain")
@click.argument("name")
@click.option("--wait", is_flag=True, help="Show progress until nothing runs there.")
@click.option("--timeout-s", default=600.0, show_default=True, help="How long to wait.")
@click.pass_obj
def hall_drain(context: Context, name: str, wait: bool, timeout_s: float) -> None:
    """Let nothing new run in a hall; what runs there goes elsewhere."""
    operator = require_operator(context)
    drained = context.run_with_halls(lambda halls, _: halls.drain(HallId(name), operator))
    _show_drained(context, drained)
    if wait:
        _wait_until_empty(context, HallId(name), drained, timeout_s)


@hall.command("restore")
@click.argument("name")
@click.pass_obj
def hall_restore(context: Context, name: str) -> None:
    """Use a drained hall again."""
    operator = require_operator(context)
    _show_drained(
        context, context.run_with_halls(lambda halls, _: halls.restore(HallId(name), operator))
    )


@hall.command("list")
@click.pass_obj
def hall_list(context: Context) -> None:
    """List the halls that instances are in or that are drained, and what runs there."""

    async def load_progress(
        halls: Halls, entries: EntryClients
    ) -> tuple[DrainedHalls, list[HallProgress]]:
        drained = await halls.drained()
        names = sorted({*await halls.listed_halls(), *drained.halls})
        statuses = await entries.statuses()
        return drained, [hall_progress(name, drained.version, statuses) for name in names]

    drained, progresses = context.run_with_halls(load_progress)
    content = [
        {**_progress_content(state), "drained": state.hall in drained.halls} for state in progresses
    ]
    lines = [" ".join(f"{key}={value}" for key, value in fields.items()) for fields in content]
    context.show({"version": drained.version, "halls": content}, "\n".join(lines) or "none")


def _progress_content(progress: HallProgress) -> dict[str, Any]:
    return {**dataclasses.asdict(progress), "empty": progress.empty}


def _show_drained(context: Context, drained: DrainedHalls) -> None:
    halls = ", ".join(drained.halls) or "none"
    content = {"version": drained.version, "drained": list(drained.halls)}
    context.show(content, f"drained: {halls} (version {drained.version})")


def _wait_until_empty(
    context: Context, name: HallId, drained: DrainedHalls, timeout_s: float
) -> None:
    """Show progress whenever it changes, until nothing runs in the hall or time runs out."""
    end_s = time.monotonic() + timeout_s
    last_shown: dict[str, Any] = {}
    while True:
        statuses = context.run_with_halls(lambda _, entries: entries.statuses())
        progress = hall_progress(name, drained.version, statuses)
        shown = _progress_content(progress)
        if shown != last_shown:
            context.show(shown, " ".join(f"{key}={value}" for key, value in shown.items()))
            last_shown = shown
        if progress.empty:
            return
        if time.monotonic() >= end_s:
            sys.exit(EXIT_NOT_COMPLETE)
        time.sleep(WATCH_INTERVAL_S)


__all__ = ["hall"]
