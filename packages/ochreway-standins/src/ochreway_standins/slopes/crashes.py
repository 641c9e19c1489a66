# SPDX-License-Identifier: Apache-2.0
"""What it costs to know what ends targets: time a request, memory, bytes a crash."""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from ochreway_core.cause import causes_of
from ochreway_core.codec import encode
from ochreway_core.crashnews import CrashNews
from ochreway_core.fingerprint import fingerprint_of
from ochreway_core.ids import CauseId, Fingerprint, InstanceId, PartId
from ochreway_routing.crashbook import MAX_FATAL, MAX_SUSPECTS, CrashBook
from ochreway_routing.crashrecord import FATAL_CRASHES

TIMES = 20_000
BODY_BYTES = (700, 100_000)
GROUP_CALLERS = 200
"""How many requests are under way at one group of the size to design for."""
NOW_S = 1000.0
PARTS = 3
"""How many parts of its prompt a request shares with others."""


def full_book() -> CrashBook:
    """Return a book that holds all it may."""
    book = CrashBook()
    for number in range(MAX_SUSPECTS + MAX_FATAL):
        for target in range(FATAL_CRASHES if number < MAX_FATAL else FATAL_CRASHES - 1):
            book.record_crash(named(number), InstanceId(f"i-{target:010x}"), NOW_S + target)
    return book


def named(number: int) -> CauseId:
    """Return a cause with a name of the usual length."""
    return CauseId(f"{number:024x}")


def each_us(work: Callable[[], object]) -> float:
    """Return how long a piece of work takes on average."""
    begun_s = time.perf_counter()
    for _ in range(TIMES):
        work()
    return 1e6 * (time.perf_counter() - begun_s) / TIMES


def main() -> None:
    """Print a line for each cost."""
    for size in BODY_BYTES:
        body = b"x" * size
        took_us = each_us(partial(fingerprint_of, "ann", "POST", "care.example/a", body))
        print(f"slope=fingerprint body_bytes={size} us={took_us:.2f}", flush=True)
    tracemalloc.start()
    book = full_book()
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    begun = NOW_S + FATAL_CRASHES
    assess_begun_s = time.perf_counter()
    held = len(book.fatal())
    assessed_ms = 1e3 * (time.perf_counter() - assess_begun_s)
    print(f"slope=holds held={held} ms={assessed_ms:.1f}")
    parts = [PartId(f"{number:012x}") for number in range(PARTS)]
    fingerprint = Fingerprint(named(-1 % 16**24))
    named_us = each_us(lambda: causes_of(fingerprint, parts, "planner"))
    causes = causes_of(fingerprint, parts, "planner")
    known_us = each_us(lambda: book.check_request(causes, begun))
    ended_us = each_us(lambda: [book.record_completion(each, begun) for each in causes])
    print(
        f"slope=book full_mb={held_mb:.1f} parts={PARTS} named_us={named_us:.2f}"
        f" admitted_us={known_us:.2f} ended_us={ended_us:.2f}"
    )
    suspects = [named(MAX_FATAL + n) for n in range(GROUP_CALLERS)]
    told = len(encode(CrashNews(book.sightings(suspects, begun))))
    print(f"slope=news requests={GROUP_CALLERS} bytes={told}")
    sightings = book.sightings(suspects, begun)
    heard_us = each_us(lambda: [book.merge_sighting(each, begun) for each in sightings[:1]])
    print(f"slope=heard us={heard_us:.2f}")


if __name__ == "__main__":
    main()
