# SPDX-License-Identifier: Apache-2.0
"""What it costs to know which targets asked to be left alone: time a look and a word, memory."""

import itertools
import tracemalloc

from ochreway_core.targetnotice import TargetNotice
from ochreway_platform.answernotice import parse_notice
from ochreway_platform.httptarget import NOTICE_HEADERS
from ochreway_routing.backoffs import MAX_TARGETS, Backoffs
from ochreway_standins.slopes.crashes import each_us

NOW_S = 1000.0
ASKS_S = 3600.0
PLAIN_HEAD = {"Content-Type": "text/event-stream", "Date": "x", "Server": "x"}


def full_book() -> Backoffs:
    """Return a book that holds all it may, of which half leave."""
    backoffs = Backoffs()
    for number in range(MAX_TARGETS):
        notice = TargetNotice(ASKS_S, leaving=number % 2 == 0)
        backoffs.record_notice(named(number), notice, NOW_S, number)
    return backoffs


def named(number: int) -> str:
    """Return an id of the usual length."""
    return f"i-{number:010x}"


def main() -> None:
    """Print a line for each cost."""
    tracemalloc.start()
    backoffs = full_book()
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    known, unknown = named(1), named(MAX_TARGETS)
    known_us = each_us(lambda: backoffs.wait_s(known, NOW_S, 1))
    unknown_us = each_us(lambda: backoffs.wait_s(unknown, NOW_S, 1))
    print(f"slope=backoffs full_mb={held_mb:.2f} known_us={known_us:.2f} other_us={unknown_us:.2f}")
    numbers = itertools.count(MAX_TARGETS)
    away = TargetNotice(ASKS_S)
    took_us = each_us(lambda: backoffs.record_notice(known, away, NOW_S, 1))
    pushed_us = each_us(lambda: backoffs.record_notice(named(next(numbers)), away, NOW_S))
    print(f"slope=backoff_word again_us={took_us:.2f} new_when_full_us={pushed_us:.2f}")
    head_us = each_us(lambda: parse_notice(200, PLAIN_HEAD, NOTICE_HEADERS))
    print(f"slope=backoff_head us={head_us:.2f}", flush=True)


if __name__ == "__main__":
    main()
