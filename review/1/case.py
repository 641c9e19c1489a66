# SPDX-License-Identifier: Apache-2.0
"""Case 1: an entry that has lost the lease goes on giving orders, and a group loses its head.

Three domains of eight model servers, three entries, a store. In the order of events:

1. Three servers of each domain are lost for good. Their partners are free from then on, as little
   is asked for. One group is left in each domain.
2. The holder of the lease stands still for 2.9 s. Another entry takes the lease.
3. The store is down. The first holder goes on, and still takes itself for the holder.
4. The new holder stands still for 1.2 s and its open connections to servers go silent. Meanwhile
   the head of one of these groups crashes. The first holder forms a group of two of the free
   servers and opens it; the new holder, once it goes on, orders the same two into its own group.

The servers check rule TWO whenever they take a join.
"""

import asyncio
import os
import random
import signal
import sys
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import ENGINE, MODEL, Engine, Entry, Record, Site, read_answer, route, until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ATTEMPTS = 4
"""Plays until the rule breaks; each takes some 17 s."""
CLIENTS = 12
ZONES = ("hall-a", "hall-b", "hall-c")
FIRST_FREEZE_S = 2.9
SECOND_FREEZE_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def client(site: Site, number: int, address: str) -> None:
    """Ask for one stream after the other on a kept connection."""
    host, _, port = address.rpartition(":")
    count, reader, writer = 0, None, None
    while True:
        count += 1
        key = f"c{number}-{count}"
        head = (
            f"POST /plan/x HTTP/1.1\r\nHost: rota.example\r\nX-Request-Id: {key}\r\n"
            f"X-Model: {MODEL}\r\nX-Token-Usage: 400,90\r\n"
            f"X-Prompt-Prefix: 5c1e07a2:40,{number:04x}{count:04x}:360\r\n"
            "X-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\n{}"
        )
        site.record.line(f"{key} is sent")
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode())
            async with asyncio.timeout(8.5):
                answer = await read_answer(reader)
            status, kept = answer.status, answer.kept
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            status, kept = type(error).__name__, False
        site.record.line(f"{key} ends: {status}")
        if not kept and writer is not None:
            writer.close()
            reader = writer = None
        await asyncio.sleep(random.uniform(0.02, 0.15) if status == 200 else 0.2)


def heads(site: Site, zone: str) -> list[Engine]:
    """Return the heads of the open groups of a zone, or of all."""
    engines = [each for each in site.engines.values() if not zone or each.zone == zone]
    return [each for each in engines if each.alive and each.phase == "open"]


async def lose(site: Site, engine: Engine) -> None:
    assert engine.group is not None
    site.record.line(f"{engine.instance}, of {engine.group['group']}, crashes")
    await engine.crash()


async def just_asked(engines: list[Engine], entry: str) -> bool:
    """Return whether an entry has just asked for the state of some engines."""
    now_s = time.monotonic()
    return max((now_s - each.asked_s.get(entry, 0.0) for each in engines), default=9.0) < 0.3


async def play(site: Site) -> int:
    """Play the events once."""
    configuration = {
        "Version": 1,
        "Routes": [route("plan", "stream", "rota-llm", Resumable=True, Sticky=True)],
        "Services": [
            {"Name": "rota-llm", "MaxConns": 562, "HealthPath": "/health", "Engine": ENGINE}
        ],
    }
    for number in range(24):
        zone = ZONES[number // 8]
        engine = Engine(site, f"i-{number + 1:02d}", "rota-llm", zone, f"{zone}-d0")
        site.engines[engine.instance] = engine
        site.servers.append(engine)
    await site.start(configuration, ZONES)

    async def all_serve() -> bool:
        return len(heads(site, "")) == 12

    if not await until(all_serve, 20.0):
        return NOT_RUN
    old = await site.holder()
    if old is None:
        return NOT_RUN
    site.requests_began = True
    for number in range(CLIENTS):
        site.spawn(client(site, number, old.front))
    await asyncio.sleep(2.0)
    if TROUBLE:
        for zone in ZONES:
            for head in heads(site, zone)[:3]:
                await lose(site, site.engines[head.group["Members"][-1]])
            await asyncio.sleep(0.3)
    await asyncio.sleep(2.5)
    return await change_of_holder(site, old)


async def change_of_holder(site: Site, old: Entry) -> int:
    site.record.line(f"{old.name} holds the lease, by its own metrics")
    if TROUBLE:
        old.signal(signal.SIGSTOP)
    await asyncio.sleep(FIRST_FREEZE_S - 0.2)
    new = [each for each in site.entries if each is not old and await each.gauge("lease_held")]
    site.record.line(f"others that hold it, by their own metrics: {[each.name for each in new]}")
    if TROUBLE:
        site.store.down = "busy"
        site.record.line("the store is down")
    await asyncio.sleep(0.2)
    if TROUBLE:
        old.signal(signal.SIGCONT)
    await asyncio.sleep(0.9)
    if TROUBLE:
        code = await loss_of_the_last_head(site, new)
        if code is not HELD:
            return code
    await asyncio.sleep(1.0)
    held = [each.name for each in site.entries if await each.gauge("lease_held")]
    site.record.line(f"hold the lease, by their own metrics: {held}")
    return BROKEN if site.breaches else HELD


async def loss_of_the_last_head(site: Site, new: list[Entry]) -> int:
    free = [e for e in site.engines.values() if e.zone == ZONES[0] and e.alive and not e.group]
    last = heads(site, ZONES[0])
    if len(new) != 1 or len(last) != 1 or len(free) < 2:
        return NOT_RUN
    name = new[0].name
    # The disruptions begin when the new holder has just seen that the servers are free.
    if not await until(lambda: just_asked(free, name), 3.0):
        return NOT_RUN
    new[0].signal(signal.SIGSTOP)
    site.silence(name)
    await lose(site, last[0])
    await asyncio.sleep(SECOND_FREEZE_S)
    new[0].signal(signal.SIGCONT)
    return HELD


async def main() -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    record, codes = Record(FOLDER / "record.txt"), []
    for attempt in range(1, ATTEMPTS + 1 if TROUBLE else 2):
        record.line(f"-- attempt {attempt}")
        site = Site(record)
        try:
            async with asyncio.timeout(26.0):
                code = await play(site)
        except TimeoutError:
            code = NOT_RUN
        finally:
            await site.stop()
        codes.append(BROKEN if site.breaches else code)
        print(f"attempt {attempt}:", ["held", "broken", "could not run"][codes[-1]])
        for rule, text in site.breaches:
            print(f"{rule}: {text}")
        if codes[-1] == BROKEN:
            return BROKEN
    return HELD if HELD in codes else NOT_RUN


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        sys.exit(NOT_RUN)
