"""One entry of another writer while no model service is configured; then one is added."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
import site2

ADDED_AT_S, STEADY_AT_S, END_S = 20.0, 60.0, 90.0


class GrowingSite(site2.Site):
    """The first version has plain services alone; a later one adds the model service."""

    def configuration(self, version=1):
        body = super().configuration(version)
        if version == 1:
            for name in ("Routes", "Services"):
                body[name] = [each for each in body[name] if "llm" not in json.dumps(each)]
        return body


async def keep_entry(site):
    """Write the entry of another writer, about every HeartbeatMs as servers do."""
    port = site2.free_ports(1)[0]  # Nothing listens there.
    born, seq = int(time.time() * 1000), 0
    while True:
        seq += 1
        row = {
            "Service": "svc-of-another",
            "Addr": f"127.0.0.1:{port}",
            "Zone": "hall-a",
            "Version": "1",
            "Slots": 24,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": seq,
            "born": born,
            "Domain": "d-of-another",
            "Models": [],
            "Staged": ["model-of-another"],
        }
        site.store.put("servers", "i-of-another", json.dumps(row).encode())
        if seq == 1:
            site.note(f"an entry of another writer: {json.dumps(row)}")
        await asyncio.sleep(site2.HEARTBEAT_S)


async def client(site, entry, number):
    while site.now() < END_S:
        site.spawn(site.call(entry, "/confirm/x"))
        if site.now() > ADDED_AT_S + 2.0:
            site.spawn(site.call(entry, "/plan/x", model=("m0", "m1")[number % 3 == 2]))
        number += 1
        await asyncio.sleep(0.3)


def share(site, path):
    found = [s for sent, _, p, _, s, _ in site.results if p == path and sent > STEADY_AT_S]
    return sum(status == 200 for status in found) / max(1, len(found)), len(found)


async def case(site):
    site.__class__ = GrowingSite
    if site2.trouble():
        site.spawn(keep_entry(site))
    await site.start(entries=5, engines_per_zone=4)
    if not await site.wait_ready():
        return 2
    for number, entry in enumerate(site.entries):
        site.spawn(client(site, entry, number))
    await asyncio.sleep(ADDED_AT_S - site.now())
    site.put_configuration(site.configuration(2))
    await asyncio.sleep(END_S + 1.0 - site.now())
    first, of_first = share(site, "/confirm/x")
    added, of_added = share(site, "/plan/x")
    text = f"served: {first:.3f} of {of_first} on the first route, {added:.3f} of {of_added} on the added"
    site.note(text)
    print(text)
    if of_first < 20 or of_added < 20 or first < 0.5:
        return 2
    return 1 if added < 0.25 * first else 0


site2.main(case, Path(__file__).with_name("record.txt"))
