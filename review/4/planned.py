"""The fault of case 4 reached by planned work alone, without an entry of another writer.

Version 2 drops the model service, the entries are stopped and started in turn, the model servers
are replaced, version 3 adds the model service again. With TROUBLE=0 no entry is stopped.
"""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
import site2

DROPPED_AT_S, REPLACED_AT_S, ADDED_AT_S, STEADY_AT_S, END_S = 28.0, 51.0, 56.0, 84.0, 106.0


class ChangingSite(site2.Site):
    def configuration(self, version=1):
        body = super().configuration(version)
        if version == 2:
            for name in ("Routes", "Services"):
                body[name] = [each for each in body[name] if "llm" not in json.dumps(each)]
        if version == 3:
            for each in body["Routes"]:
                if each["Name"] == "plan":
                    each.update(Name="plan2", PathPrefix="/plan2/")
        return body


async def stop_and_start_in_turn(site):
    for entry in site.entries:
        entry.stopping = True
        site.note(f"SIGTERM to {entry.name}")
        entry.signal(signal.SIGTERM)
        await entry.process.wait()
        await entry.start()
        await asyncio.sleep(1.0)
        entry.stopping = False


async def replace(site, old):
    """A new server starts; the old one drains for DrainMs and longer, then ends."""
    new = site2.Engine(site, old.instance + "n", "llm", old.zone, old.domain, site.models)
    site.engines[new.instance] = new
    await new.start()
    await asyncio.sleep(0.5)
    old.state = "draining"
    old.write_row()
    await asyncio.sleep(4.0)
    old.up = False
    await old.http.stop()
    site.store.drop("servers", old.instance)


async def client(site, entry, number):
    while site.now() < END_S:
        number += 1
        await asyncio.sleep(0.4)
        if getattr(entry, "stopping", False):
            continue
        site.spawn(site.call(entry, "/confirm/x"))
        model = ("m0", "m1")[number % 3 == 2]
        if site.now() < DROPPED_AT_S - 2.0:
            site.spawn(site.call(entry, "/plan/x", model=model))
        if site.now() > ADDED_AT_S + 2.0:
            site.spawn(site.call(entry, "/plan2/x", model=model))


def share(site, path):
    found = [s for sent, _, p, _, s, _ in site.results if p == path and sent > STEADY_AT_S]
    return sum(status == 200 for status in found) / max(1, len(found)), len(found)


async def case(site):
    site.__class__ = ChangingSite
    await site.start(entries=5, engines_per_zone=4)
    if not await site.wait_ready():
        return 2
    for number, entry in enumerate(site.entries):
        site.spawn(client(site, entry, number))
    await asyncio.sleep(DROPPED_AT_S - site.now())
    site.put_configuration(site.configuration(2))
    await asyncio.sleep(2.0)
    if site2.trouble():
        site.spawn(stop_and_start_in_turn(site))
    await asyncio.sleep(REPLACED_AT_S - site.now())
    servers = list(site.engines.values())
    # Two releases, of half of the servers each, 3 at a time, each second.
    for begin in range(0, len(servers), 3):
        for old in servers[begin : begin + 3]:
            site.spawn(replace(site, old))
        await asyncio.sleep(1.0)
    await asyncio.sleep(max(0.0, ADDED_AT_S - site.now()))
    site.put_configuration(site.configuration(3))
    await asyncio.sleep(END_S + 1.0 - site.now())
    first, of_first = share(site, "/confirm/x")
    added, of_added = share(site, "/plan2/x")
    text = f"served: {first:.3f} of {of_first} on the first route, {added:.3f} of {of_added} on the added"
    site.note(text)
    print(text)
    if of_first < 20 or of_added < 20 or first < 0.5:
        return 2
    return 1 if added < 0.25 * first else 0


site2.main(case, Path(__file__).with_name("record-planned.txt"))
