# SPDX-License-Identifier: Apache-2.0
"""Print the slopes that docs/CAPACITY.md is worked out from: ``make slopes``."""

import asyncio
import os
import random
import time

import numpy
from hdrh.histogram import HdrHistogram

from ochreway_core.attemptid import AttemptId
from ochreway_core.attemptledger import AttemptLedger, AttemptRecord, AttemptState
from ochreway_core.bodydelta import delta_between
from ochreway_core.codec import encode
from ochreway_core.ids import (
    Epoch,
    GroupId,
    HallId,
    Incarnation,
    KeyDigest,
    NodeId,
    RequestId,
    Version,
)
from ochreway_core.keyhome import KeyHome
from ochreway_core.messages import Claim, ClaimReply, Frame, GroupsUpdate, ViewDelta, Vote
from ochreway_core.outcome import Outcome
from ochreway_core.peer import Peer
from ochreway_core.priority import Priority
from ochreway_core.rows import LeaseRow
from ochreway_core.view import Snapshot, View
from ochreway_routing.prefixindex import MAX_INDEXED_BLOCKS, PrefixIndex
from ochreway_routing.query import RouteQuery
from ochreway_routing.replica import ReplicaView
from ochreway_routing.router import Router
from ochreway_standins.procstat import memory_mb
from ochreway_standins.site import free_port
from ochreway_standins.slopes import setups
from ochreway_standins.slopes.meter import Meter, cpu_us, memory_kb
from ochreway_wire.batch import Batch, decode_batch, encode_batch
from ochreway_wire.links import Links, LinkSettings

WARM_S = 20.0
MEASURED_S = 60.0
ATTEMPT = AttemptId(NodeId("entry-00001"), Incarnation(2**47), 123_456)


def line(name: str, **values: object) -> None:
    """Print one measurement."""
    pairs = "".join(
        f" {key}={value:.4g}" if isinstance(value, float) else f" {key}={value}"
        for key, value in values.items()
    )
    print(f"slope={name}{pairs}", flush=True)


def steady(name: str, per: str, meters: dict[int, Meter]) -> None:
    """Measure nodes of several sizes and fit a line through them."""
    sizes, cpu, traffic = [], [], []
    for size, meter in meters.items():
        meter.run(WARM_S)
        cost = meter.run(MEASURED_S)
        line(name, n=size, cpu_percent=cost.cpu_percent, bytes_per_s=cost.bytes_per_s)
        sizes.append(size)
        cpu.append(cost.cpu_percent)
        traffic.append(cost.bytes_per_s)
    cpu_fit, traffic_fit = numpy.polyfit(sizes, cpu, 1), numpy.polyfit(sizes, traffic, 1)
    line(
        name,
        fit=f"per_{per}",
        cpu_percent_each=float(cpu_fit[0]),
        cpu_percent_base=float(cpu_fit[1]),
        bytes_per_s_each=float(traffic_fit[0]),
        bytes_per_s_base=float(traffic_fit[1]),
    )


def configuration() -> None:
    """Measure what one change of configuration costs each process."""
    for groups in (10, 100, 525):
        snapshot = setups.snapshot(groups)
        content = encode(snapshot)

        def apply(snapshot: object = snapshot) -> None:
            View(setups.KEYS, 120.0).apply(snapshot, 0.0).unwrap()  # type: ignore[arg-type]

        line(
            "configuration_change",
            n=groups,
            bytes=len(content),
            delta_bytes=len(encode(_delta(snapshot))),
            unpacked_bytes=len(snapshot.body),
            apply_ms=cpu_us(apply, 3) / 1000,
            view_kb=memory_kb(lambda s=snapshot: _applied(s)),  # type: ignore[misc]
        )


def _delta(snapshot: Snapshot) -> ViewDelta:
    body = snapshot.body
    middle = len(body) // 2
    changed = body[:middle] + b"# a comment of one line\n" + body[middle:]
    delta = delta_between(body, changed)
    return ViewDelta(snapshot.roll.bundle, snapshot.roll, snapshot.approvals, delta)


def _applied(snapshot: object) -> View:
    view = View(setups.KEYS, 120.0)
    view.apply(snapshot, 0.0).unwrap()  # type: ignore[arg-type]
    return view


def frames() -> None:
    """Measure a frame by the number of tokens in it."""
    for tokens in (1, 4, 16, 64):
        frame = Frame(ATTEMPT, 100_000, b"x" * 60 * tokens, tokens, 200, "text/event-stream", None)
        content = encode_batch(Version(1), [frame])
        line(
            "frame",
            n=tokens,
            bytes=len(content),
            encode_us=cpu_us(lambda f=frame: encode_batch(Version(1), [f]), 5000),  # type: ignore[misc]
            decode_us=cpu_us(lambda c=content: decode_batch(c), 5000),  # type: ignore[misc]
        )
    for together in (1, 8, 64):
        frame = Frame(ATTEMPT, 100_000, b"x" * 60, 1, 200, "", None)
        content = encode_batch(Version(1), [frame] * together)
        decode = cpu_us(lambda c=content: decode_batch(c), 500) / together  # type: ignore[misc]
        line(
            "frames_in_batch", n=together, bytes_each=len(content) / together, decode_us_each=decode
        )


def claims() -> None:
    """Measure a claim on a key at its home, and what it keeps."""
    claim = Claim(Version(1), KeyDigest("k" * 32), RequestId("r" * 32), 60.0, 1.7e9)
    reply = ClaimReply(claim.key, claim.request, Vote.GRANTED, Outcome.UNKNOWN)
    home = KeyHome(120.0, 0.0, 0.0)
    home.end_forgetful_period()
    number = iter(range(10**9))

    def handle() -> None:
        content = encode_batch(Version(1), [claim])
        decode_batch(content)
        key = KeyDigest(f"{next(number):032d}")
        home.claim(key, claim.request, 60.0, 0.0, 1.0)
        encode_batch(Version(1), [reply])

    line("claim", n=1, handle_us=cpu_us(handle, 3000))
    for count in (1000, 10_000, 50_000):
        line("claim", n=count, memory_kb=memory_kb(lambda n=count: _claimed(n)))  # type: ignore[misc]


def _claimed(count: int) -> KeyHome:
    home = KeyHome(120.0, 0.0, 0.0)
    home.end_forgetful_period()
    for index in range(count):
        home.claim(KeyDigest(f"{index:032d}"), RequestId(f"{index:032x}"), 60.0, 0.0, 1.0)
    return home


def memories() -> None:
    """Measure the memory of what daemons hold many of."""
    for count in (1000, 5000, 20_000):
        line("attempt_record", n=count, memory_kb=memory_kb(lambda n=count: _ledger(n)))  # type: ignore[misc]
    for count in (1024, 4096, MAX_INDEXED_BLOCKS):
        line("prefix_index", n=count, memory_kb=memory_kb(lambda n=count: _prefixes(n)))  # type: ignore[misc]
    for count in (10, 100, 525):
        rows = tuple(setups.row_of(index, 8) for index in range(count))
        content = encode(GroupsUpdate(setups.DOMAIN, Epoch(0), Epoch(1), (), rows))
        kept = memory_kb(lambda n=count: [setups.row_of(index, 8) for index in range(n)])  # type: ignore[misc]
        line("group_row", n=count, bytes=len(content), memory_kb=kept)
    lease = LeaseRow(NodeId("entry-00001#7fffffffffff"), Epoch(1), 100, Epoch(5))  # type: ignore[arg-type]
    line("lease_row", n=1, bytes=len(encode(lease)) + len("controller/") + len(setups.DOMAIN))


def _ledger(count: int) -> AttemptLedger:
    ledger = AttemptLedger()
    for index in range(count):
        attempt = AttemptId(NodeId("entry-00001"), Incarnation(2**47), index)
        record = AttemptRecord(AttemptState.DONE, 1.0)
        record.answer.add(b"x" * 2000)
        ledger.add(attempt, record)
    return ledger


def _prefixes(count: int) -> PrefixIndex:
    index = PrefixIndex()
    rng = random.Random(1)
    index.add(tuple(rng.getrandbits(64) for _ in range(count)), 1.0)
    return index


def decisions() -> None:
    """Measure one routing decision by the number of replicas that an entry holds."""
    for replicas in (6, 12, 24, 525):
        router = Router("hall", random.Random(1))
        router.set_replicas(
            ReplicaView(GroupId(f"g{index}"), "m", Peer(NodeId(f"g{index}"), ""), HallId("hall"))
            for index in range(replicas)
        )
        for index in range(replicas):
            router.on_load_report(setups.load_report(GroupId(f"g{index}")), 0.0)
        histogram = HdrHistogram(1, 10_000_000, 3)
        rng = random.Random(2)
        for number in range(4000):
            blocks = tuple(rng.getrandbits(64) for _ in range(16))
            query = RouteQuery("m", f"c{number}", blocks, 2000, 100, Priority.NORMAL, 1e9)
            began_ns = time.perf_counter_ns()
            chosen = router.choose(query, frozenset(), 0.1).unwrap()
            histogram.record_value(time.perf_counter_ns() - began_ns)
            router.record_sent(chosen, str(number), number, query, 0.1)
            router.record_answer(chosen.group, str(number))
        line(
            "decision",
            n=replicas,
            p50_us=histogram.get_value_at_percentile(50) / 1000,
            p99_us=histogram.get_value_at_percentile(99) / 1000,
        )


async def links() -> None:
    """Measure idle links in one process that holds both ends."""
    settings = LinkSettings(b"k" * 16)
    me = Peer(NodeId("hub"), f"127.0.0.1:{free_port()}")
    hub = Links(me, settings, lambda: Version(1), lambda peer, batch: None, lambda node: None)
    await hub.listen("127.0.0.1", int(me.address.rpartition(":")[2]))
    spokes: list[Links] = []
    before_mb = memory_mb(os.getpid())
    for count in (50, 100, 200):
        while len(spokes) < count:
            spoke = Links(
                Peer(NodeId(f"s{len(spokes)}"), "127.0.0.1:1"),
                settings,
                lambda: Version(1),
                _ignore,
                lambda node: None,
            )
            spoke.send(me, Claim(Version(1), KeyDigest("k"), RequestId("r"), 1.0, 0.0))
            spokes.append(spoke)
        while len(hub) < count:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        began_s = time.process_time()
        await asyncio.sleep(4.0)
        idle_s = (time.process_time() - began_s) / 4.0
        both_ends = (memory_mb(os.getpid()) - before_mb) * 1000 / count
        line("link", n=count, kb_each_end=both_ends / 2, idle_cpu_percent=100 * idle_s)
    await asyncio.gather(*(spoke.close() for spoke in spokes))
    await hub.close()


def _ignore(peer: Peer, batch: Batch) -> None:
    return


def main() -> None:
    """Measure every slope; links first, while the process is small."""
    asyncio.run(links())
    steady("leader_members", "member", {n: setups.leader(n, 0) for n in (2, 4, 8, 16, 32)})
    steady("leader_followers", "follower", {n: setups.leader(8, n) for n in (5, 10, 25, 50)})
    steady("entry_groups", "group", {n: setups.entry(n) for n in (3, 6, 12, 24)})
    steady("entry_followers", "follower", {n: setups.entry(12, n) for n in (2, 8, 16)})
    steady("controller_instances", "instance", {n: setups.controller(n) for n in (16, 32, 64, 128)})
    configuration()
    frames()
    claims()
    memories()
    decisions()


if __name__ == "__main__":
    main()
