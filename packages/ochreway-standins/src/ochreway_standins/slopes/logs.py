# SPDX-License-Identifier: Apache-2.0
"""What an entry's log costs a request, read or not."""

import os
import threading
import time

from ochreway_runtime.linebudget import LineBudget
from ochreway_runtime.linewriter import LineWriter
from ochreway_runtime.logs import EventLog

SECONDS = 3.0
FAILED_EVERY = 20
"""Which request of so many failed: it writes a line for its attempt and one for its end."""


def measure(per_s: int, is_read: bool) -> dict[str, float]:
    """Return bytes and processor time a request, and the lines that were left out."""
    reads, writes = os.pipe()
    counted = [0]

    def read() -> None:
        while True:
            content = os.read(reads, 65536)
            if not content:
                return
            counted[0] += len(content)

    reader = threading.Thread(target=read, daemon=True)
    if is_read:
        reader.start()
    stream = os.fdopen(writes, "w")
    log = EventLog("entry", "e", "info", LineWriter(stream), LineBudget(time.monotonic()))
    requests = round(per_s * SECONDS)
    began_s, spent_s = time.monotonic(), 0.0
    for number in range(requests):
        due_s = began_s + number / per_s
        time.sleep(max(0.0, due_s - time.monotonic()))
        cpu_s = time.thread_time()
        _request(log, number)
        spent_s += time.thread_time() - cpu_s
    log.flush()
    if is_read:
        stream.close()
        reader.join(2.0)
    return {"bytes": counted[0] / requests, "cpu_us": 1e6 * spent_s / requests}


def _request(log: EventLog, number: int) -> None:
    name = f"868fa96c{number:08x}"
    if number % FAILED_EVERY:
        log.success("answered", request=name, status=200, late=False, first_s=0.2, took_s=1.1)
        return
    log.failure(
        "attempt",
        request=name,
        target="i-83baeb7754",
        group="kati9324fc-200041",
        load=9,
        left_s=5.0,
    )
    log.failure("refused", request=name, status=502, reason="target_failed", proof_age_s=0.4)


def main() -> None:
    """Print a line for each load, read and not."""
    for per_s in (60, 180):
        for is_read in (True, False):
            found = measure(per_s, is_read)
            pairs = " ".join(f"{key}={value:.0f}" for key, value in found.items())
            print(f"slope=log requests_per_s={per_s} read={is_read} {pairs}", flush=True)


if __name__ == "__main__":
    main()
