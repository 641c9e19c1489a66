# SPDX-License-Identifier: Apache-2.0
"""Event logs: one line of key=value pairs per event."""

import sys
import time

import logbook

from ochreway_runtime.linebudget import LineBudget, LineKind
from ochreway_runtime.linewriter import LineWriter

MUST_KEEP = "must_keep"
"""Extra of a record whose line is written even if many others wait."""
DROPPED_REPORT_INTERVAL_S = 1.0
"""Bounds how often a line reports the number of lines dropped."""

MAX_VALUE_CHARACTERS = 1000
"""Bounds what a line repeats of a request: a client may send ids of many kB."""
CUT_MARK = "..."


def _quote(value: object) -> str:
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + CUT_MARK
    plain = text and not any(char in ' "=\n' for char in text)
    return text if plain else '"' + text.replace('"', "'").replace("\n", " ") + '"'


class _WriterHandler(logbook.Handler):  # type: ignore[misc]
    """Pass logbook's formatted lines to a writer that never blocks."""

    def __init__(self, writer: LineWriter, level: str) -> None:
        super().__init__(level, bubble=False)
        self.formatter = logbook.handlers.StringFormatter(
            "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} {record.message}"
        )
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a formatted record."""
        self._writer.write(self.format(record), must_keep=MUST_KEEP in record.extra)


class EventLog:
    """Write the events of one process, limited to a rate for each kind of line.

    At level debug the rates do not apply and details are written as well; at other levels details
    are omitted. Withheld and dropped lines are counted in a line ``event=lines_dropped``, at most
    once per second.
    """

    def __init__(
        self,
        role: str,
        node: str,
        level: str,
        writer: LineWriter | None = None,
        budget: LineBudget | None = None,
    ) -> None:
        logbook.set_datetime_format("utc")
        self._logger = logbook.Logger(role)
        self._is_debug = level == "debug"
        self._common = f"role={role} node={_quote(node)}"
        self._writer = writer or LineWriter(sys.stdout)
        self._budget = budget or LineBudget(time.monotonic())
        self._dropped_reported_s = time.monotonic()
        _WriterHandler(self._writer, level.upper()).push_application()

    def event(self, name: str, **fields: object) -> None:
        """Log a change of the process's behaviour or of its view of the system."""
        if self._allowed(LineKind.STATE_CHANGE):
            self._logger.info(self._line(name, fields))

    def detail(self, name: str, **fields: object) -> None:
        """Log a detail that helps to diagnose a fault; written at level debug only."""
        if self._is_debug:
            self._logger.debug(self._line(name, fields))

    def fault(self, name: str, **fields: object) -> None:
        """Log a fault that an operator should look at."""
        if self._allowed(LineKind.STATE_CHANGE):
            self._logger.error(self._line(name, fields))

    def failure(self, name: str, **fields: object) -> None:
        """Log a request that failed or was late."""
        if self._allowed(LineKind.FAILURE):
            self._logger.info(self._line(name, fields))

    def loss(self, name: str, **fields: object) -> None:
        """Log a request that ended without a complete answer; such a line is never dropped."""
        self._logger.info(self._line(name, fields), extra={MUST_KEEP: True})

    def success(self, name: str, **fields: object) -> None:
        """Log a request that succeeded; the rate limit keeps only a sample of them."""
        if self._allowed(LineKind.SUCCESS):
            self._logger.info(self._line(name, fields))

    def flush(self) -> bool:
        """Wait briefly for all lines to be written; return whether they were."""
        return self._writer.flush()

    def close(self) -> bool:
        """Report the lines dropped since the last report, and flush."""
        self._report_dropped()
        return self.flush()

    def _allowed(self, kind: LineKind) -> bool:
        now_s = time.monotonic()
        if now_s - self._dropped_reported_s >= DROPPED_REPORT_INTERVAL_S:
            self._dropped_reported_s = now_s
            self._report_dropped()
        return self._is_debug or self._budget.allows(kind, now_s)

    def _report_dropped(self) -> None:
        withheld = {k.value: number for k, number in self._budget.take_withheld().items()}
        unread = self._writer.take_dropped()
        if withheld or unread:
            self._logger.info(self._line("lines_dropped", {**withheld, "unread": unread}))

    def _line(self, name: str, fields: dict[str, object]) -> str:
        pairs = "".join(f" {key}={_quote(value)}" for key, value in fields.items())
        return f"event={name} {self._common}{pairs}"


__all__ = ["DROPPED_REPORT_INTERVAL_S", "EventLog"]
