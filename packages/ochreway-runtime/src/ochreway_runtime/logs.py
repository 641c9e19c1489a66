# SPDX-License-Identifier: Apache-2.0
"""Logs: one line of key=value pairs for each event."""

import sys

import logbook


def _quote(value: object) -> str:
    text = str(value)
    plain = text and not any(char in ' "=\n' for char in text)
    return text if plain else '"' + text.replace('"', "'").replace("\n", " ") + '"'


class EventLog:
    """Write events of one process."""

    def __init__(self, role: str, node: str, level: str) -> None:
        logbook.set_datetime_format("utc")
        self._logger = logbook.Logger(role)
        self._in_detail = level == "debug"
        self._common = f"role={role} node={_quote(node)}"
        handler = logbook.StreamHandler(sys.stdout, level=level.upper(), bubble=False)
        handler.format_string = (
            "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} {record.message}"
        )
        handler.push_application()

    def event(self, name: str, **fields: object) -> None:
        """Write one event."""
        self._logger.info(self._line(name, fields))

    def detail(self, name: str, **fields: object) -> None:
        """Write one event that is of use when looking into a fault."""
        if self._in_detail:
            self._logger.debug(self._line(name, fields))

    def fault(self, name: str, **fields: object) -> None:
        """Write one event that someone should look at."""
        self._logger.error(self._line(name, fields))

    def _line(self, name: str, fields: dict[str, object]) -> str:
        pairs = "".join(f" {key}={_quote(value)}" for key, value in fields.items())
        return f"event={name} {self._common}{pairs}"


__all__ = ["EventLog"]
