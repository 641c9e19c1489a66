# SPDX-License-Identifier: Apache-2.0
"""Writing of log lines that never blocks on a slow reader."""

import atexit
import threading
from collections import deque
from typing import TextIO

MAX_QUEUED_LINES = 2000
"""Bounds the lines that wait to be written: several seconds of a busy process, under 1 MB."""
FLUSH_TIMEOUT_S = 0.3
"""Bounds how long an exiting process tries to write its queued lines."""


class LineWriter:
    """Pass lines to a thread that writes them; drop and count lines while the queue is full.

    A pipe that nobody reads blocks its writer, so only the thread writes to it.
    """

    def __init__(self, stream: TextIO, max_queued_lines: int = MAX_QUEUED_LINES) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._max_queued_lines = max_queued_lines
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self._dropped = 0
        self._thread: threading.Thread | None = None

    def write(self, line: str, must_keep: bool = False) -> bool:
        """Queue a line; return False if the queue is full and the line was dropped.

        A line that must be kept is queued all the same.
        """
        if len(self._lines) >= self._max_queued_lines and not must_keep:
            self._dropped += 1
            return False
        with self._lock:
            self._lines.append(line)
            self._idle.clear()
        if self._thread is None:
            self._start()
        self._wake.set()
        return True

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def flush(self, timeout_s: float = FLUSH_TIMEOUT_S) -> bool:
        """Wait up to ``timeout_s`` for all lines to be written; return whether they were."""
        return self._idle.wait(timeout_s)

    def _start(self) -> None:
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()
        atexit.register(self.flush)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            queued = []
            while self._lines:
                queued.append(self._lines.popleft())
            if queued:
                self._write_to_stream("\n".join(queued) + "\n")
            with self._lock:
                if not self._lines:
                    self._idle.set()

    def _write_to_stream(self, text: str) -> None:
        try:
            self._stream.write(text)
            self._stream.flush()
        except (OSError, ValueError):
            # A log that cannot be written cannot report this; count its lines as dropped.
            self._dropped += text.count("\n")


__all__ = ["MAX_QUEUED_LINES", "LineWriter"]
