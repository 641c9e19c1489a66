# SPDX-License-Identifier: Apache-2.0
"""What it costs to keep targets' limits: time a look, a send and a heartbeat; bytes, memory."""

import tracemalloc

from ochreway_core.codec import encode
from ochreway_core.ids import HallId, InstanceId, NodeId
from ochreway_direct.relay.attempt import Attempt
from ochreway_direct.sendlimits.staticshare import StaticShare
from ochreway_direct.targetlimits.limitgate import LimitGate
from ochreway_direct.targetlimits.limitpool import NEW_LEADER_DELAY_S, LimitPool
from ochreway_direct.targetlimits.limitspread import (
    MAX_CHANGES_PER_HEARTBEAT,
    LimitSpread,
)
from ochreway_direct.targetlimits.poolnews import PoolNews
from ochreway_routing.targetlimits import MAX_TARGETS, LimitNotice, TargetLimits
from ochreway_standins.slopes.crashes import each_us

ENTRIES = 24
NOW_S = 1000.0
LIMIT_PER_S = 50.0


def named(number: int) -> InstanceId:
    """Return an id of the usual length."""
    return InstanceId(f"i-{number:010x}")


def pool_of(entries: int) -> LimitPool:
    """Return the pool of the first of so many entries, all of them its members."""
    me, *others = (NodeId(f"front-guro-hall-{n:02}") for n in range(entries))
    standing = StaticShare(me, 3, 0.0)
    pool = LimitPool(me, standing, 0.0)
    for now_s in (NOW_S - 60.0, NOW_S - 2.0 * NEW_LEADER_DELAY_S, NOW_S):
        standing.update_entries(others, True, now_s)
        for other in others:
            pool.on_news(other, PoolNews(follows=True, asked_per_s=40.0), None, now_s)
        pool.tick((me, *others), True, 40.0, now_s)
    return pool


def full_limits() -> TargetLimits:
    """Return limits of as many targets as are kept."""
    limits = TargetLimits()
    for number in range(MAX_TARGETS):
        limits.record_limit(named(number), LimitNotice(LIMIT_PER_S, NOW_S, number))
    return limits


def attempt_at(number: int) -> Attempt:
    """Return an attempt that has been written."""
    attempt = Attempt(named(number), "10.0.0.1:8104", HallId("h"), "g", begun_s=NOW_S)
    attempt.record_written(NOW_S)
    return attempt


def main() -> None:
    """Print a line for each cost."""
    tracemalloc.start()
    limits, pool = full_limits(), pool_of(ENTRIES)
    gate = LimitGate(limits, pool)
    for number in range(MAX_TARGETS):
        gate.record_sent(attempt_at(number))
        gate.wait_s(named(number), number, NOW_S)
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    none_us = each_us(lambda: gate.wait_s(named(MAX_TARGETS), None, NOW_S))
    limited_us = each_us(lambda: gate.wait_s(named(1), 1, NOW_S))
    print(f"slope=limit_look none_us={none_us:.2f} limited_us={limited_us:.2f} mb={held_mb:.2f}")
    spread = LimitSpread(limits)
    news_us = each_us(lambda: spread.news(NOW_S))
    told = pool.news_for(NodeId("other"), spread.news(NOW_S), True, NOW_S)
    quiet = pool.news_for(NodeId("other"), (), False, NOW_S)
    sizes = f"quiet_bytes={len(encode(quiet))} told_bytes={len(encode(told))}"
    print(
        f"slope=limit_news targets={MAX_CHANGES_PER_HEARTBEAT} full_us={news_us:.0f} {sizes}",
        flush=True,
    )


if __name__ == "__main__":
    main()
