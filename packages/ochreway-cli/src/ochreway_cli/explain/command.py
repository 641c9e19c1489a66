# SPDX-License-Identifier: Apache-2.0
"""The command that explains a request."""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import click

from ochreway_cli.explain.causes import why
from ochreway_cli.explain.logline import LogLine, parse
from ochreway_cli.explain.story import Story, tell

EXIT_NOT_FOUND = 4
LEFT_OUT = frozenset({"time", "level", "role", "node"})


@click.command()
@click.argument("request")
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(request: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Tell from logs what became of a request, and why.

    REQUEST is its id, or its fingerprint, which names every try that asked for the same.

    Give the logs of all entries: the one that took the request, and whichever held the lease.
    """
    story = tell(request, read(logs))
    if not story.own:
        click.echo(
            f"no line names {request}: it came to another process, or its lines were left out"
            " (event=lines_dropped tells how many)",
            err=True,
        )
        sys.exit(EXIT_NOT_FOUND)
    click.echo(json.dumps(_content(story), indent=1) if as_json else _text(story))


def read(logs: tuple[Path, ...]) -> Iterator[LogLine]:
    """Return the lines of several logs, numbered for each node."""
    numbers: Counter[str] = Counter()
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            for text in lines:
                found = parse(text, 0)
                if found is None:
                    continue
                numbers[found.node] += 1
                yield LogLine(
                    found.node, numbers[found.node], found.time_s, found.event, found.fields
                )


def _text(story: Story) -> str:
    begin_s = story.lines[0].time_s
    lines = [f"request {story.request}"]
    for line in story.lines:
        mark = "*" if line in story.own else " "
        lines.append(
            f"{mark} {line.time_s - begin_s:8.3f} {line.node} {line.event} {_fields(line)}"
        )
        reason = why(story, line)
        if reason:
            lines.append(f"{'':12}-> {reason}")
    return "\n".join(lines)


def _fields(line: LogLine) -> str:
    shown = {k: v for k, v in line.fields.items() if k not in LEFT_OUT and k != "request" and v}
    return " ".join(f"{name}={value}" for name, value in shown.items())


def _content(story: Story) -> dict[str, object]:
    end = story.end
    return {
        "request": story.request,
        "ended": end.event if end is not None else None,
        "why": why(story, end) if end is not None else "",
        "lines": [
            {
                "node": line.node,
                "time_s": line.time_s,
                "event": line.event,
                "own": line in story.own,
                "why": why(story, line),
                "fields": {k: v for k, v in line.fields.items() if k not in LEFT_OUT},
            }
            for line in story.lines
        ],
    }


__all__ = ["explain", "read"]
