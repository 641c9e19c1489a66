# SPDX-License-Identifier: Apache-2.0
"""The commands ``ochreway hall``."""

import dataclasses
import sys
import time
from typing import Any

import click

from ochreway_cli.context import EXIT_NOT_COMPLETE, WATCH_EVERY_S, Context, named
from ochreway_cli.entries import Entries
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
    operator = named(context)
    drained = context.run_with_halls(lambda halls, _: halls.drain(HallId(name), operator))
    _show(context, drained)
    if wait:
        _wait(context, HallId(name), drained, timeout_s)


@hall.command("restore")
@click.argument("name")
@click.pass_obj
def hall_restore(context: Context, name: str) -> None:
    """Use a drained hall again."""
    operator = named(context)
    _show(context, context.run_with_halls(lambda halls, _: halls.restore(HallId(name), operator)))


@hall.command("list")
@click.pass_obj
def hall_list(context: Context) -> None:
    """List the halls that instances are in or that are drained, and what runs there."""

    async def work(halls: Halls, entries: Entries) -> tuple[DrainedHalls, list[HallProgress]]:
        drained = await halls.drained()
        names = sorted({*await halls.known(), *drained.halls})
        statuses = await entries.statuses()
        return drained, [hall_progress(name, drained.version, statuses) for name in names]

    drained, found = context.run_with_halls(work)
    content = [{**_content(each), "drained": each.hall in drained.halls} for each in found]
    lines = [" ".join(f"{key}={value}" for key, value in each.items()) for each in content]
    context.show({"version": drained.version, "halls": content}, "\n".join(lines) or "none")


def _content(progress: HallProgress) -> dict[str, Any]:
    return {**dataclasses.asdict(progress), "empty": progress.empty}


def _show(context: Context, drained: DrainedHalls) -> None:
    halls = ", ".join(drained.halls) or "none"
    content = {"version": drained.version, "drained": list(drained.halls)}
    context.show(content, f"drained: {halls} (version {drained.version})")


def _wait(context: Context, name: HallId, drained: DrainedHalls, timeout_s: float) -> None:
    """Show progress whenever it changes, and leave once nothing runs in the hall."""
    end_s = time.monotonic() + timeout_s
    last: dict[str, Any] = {}
    while True:
        statuses = context.run_with_halls(lambda _, entries: entries.statuses())
        progress = hall_progress(name, drained.version, statuses)
        shown = _content(progress)
        if shown != last:
            context.show(shown, " ".join(f"{key}={value}" for key, value in shown.items()))
            last = shown
        if progress.empty:
            return
        if time.monotonic() >= end_s:
            sys.exit(EXIT_NOT_COMPLETE)
        time.sleep(WATCH_EVERY_S)


__all__ = ["hall"]
