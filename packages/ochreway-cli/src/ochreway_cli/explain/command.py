# SPDX-License-Identifier: Apache-2.0
"""The ``ochreway explain`` command."""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import click

from ochreway_cli.explain.causes import explain_line
from ochreway_cli.explain.logline import LogLine, parse_line
from ochreway_cli.explain.timeline import RequestTimeline, build_timeline

EXIT_NOT_FOUND = 4
OMITTED_FIELDS = frozenset({"time", "level", "role", "node"})


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
    timeline = build_timeline(request, read_logs(logs))
    if not timeline.own:
        click.echo(
            f"no line names {request}: it came to another process, or its lines were left out"
            " (event=lines_dropped tells how many)",
            err=True,
        )
        sys.exit(EXIT_NOT_FOUND)
    click.echo(json.dumps(_json_content(timeline), indent=1) if as_json else _format_text(timeline))


def read_logs(logs: tuple[Path, ...]) -> Iterator[LogLine]:
    """Yield the lines of several logs, numbered separately for each node."""
    line_counts: Counter[str] = Counter()
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            for text in lines:
                parsed = parse_line(text, 0)
                if parsed is None:
                    continue
                line_counts[parsed.node] += 1
                yield LogLine(
                    parsed.node,
                    line_counts[parsed.node],
                    parsed.time_s,
                    parsed.event,
                    parsed.fields,
                )


def _format_text(timeline: RequestTimeline) -> str:
    start_s = timeline.lines[0].time_s
    lines = [f"request {timeline.request}"]
    for line in timeline.lines:
        prefix = "*" if line in timeline.own else " "
        lines.append(
            f"{prefix} {line.time_s - start_s:8.3f} {line.node} {line.event} {_format_fields(line)}"
        )
        reason = explain_line(timeline, line)
        if reason:
            lines.append(f"{'':12}-> {reason}")
    return "\n".join(lines)


def _format_fields(line: LogLine) -> str:
    shown = {
        k: v for k, v in line.fields.items() if k not in OMITTED_FIELDS and k != "request" and v
    }
    return " ".join(f"{name}={value}" for name, value in shown.items())


def _json_content(timeline: RequestTimeline) -> dict[str, object]:
    end = timeline.end
    return {
        "request": timeline.request,
        "ended": end.event if end is not None else None,
        "why": explain_line(timeline, end) if end is not None else "",
        "lines": [
            {
                "node": line.node,
                "time_s": line.time_s,
                "event": line.event,
                "own": line in timeline.own,
                "why": explain_line(timeline, line),
                "fields": {k: v for k, v in line.fields.items() if k not in OMITTED_FIELDS},
            }
            for line in timeline.lines
        ],
    }


__all__ = ["explain", "read_logs"]
