"""Orders that are carried out late, and a server that is lost and comes back."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins2"))
import site2

FIRST_LOSS_S = 26.0
SECOND_LOSS_AFTER_S = 6.0
BACK_AFTER_S = 2.5
LEAVE_LATE_S = 5.0


class LateSite(site2.Site):
    """Some orders get no answer and are carried out 2 to 12 s later."""

    models = [{"Name": "m0", "size": 4, "Share": 1.0, "pace": 1.0, "LoadS": 16.0, "WarmS": 1.6}]

    def __init__(self, record):
        super().__init__(record)
        self.second = None
        self.late_member = None
        self.leaves_late = False
        self.orders, self.unanswered = 0, 0

    def late_s(self, engine, order):
        self.orders += 1
        late_s = self._late_s(engine, order)
        self.unanswered += late_s is not None
        return late_s

    def _late_s(self, engine, order):
        if self.now() < FIRST_LOSS_S:
            return None
        if order["Op"] == "join" and self.second is None:
            self.second, self.joined_at_s = order, self.now()
        if self.second is None or order.get("group") != self.second["group"]:
            return None
        head = order["Op"] == "leave" and engine.instance == self.second["Members"][0]
        if head and self.leaves_late:
            return LEAVE_LATE_S
        first = order["Op"] == "join" and self.late_member is None
        if first and engine.instance != self.second["Members"][0]:
            self.late_member = engine.instance
            return SECOND_LOSS_AFTER_S + BACK_AFTER_S + 0.2
        return None


async def client(site, entry):
    while True:
        site.spawn(site.call(entry, "/plan/x", model="m0"))
        await asyncio.sleep(0.3)


async def wait_for(check, timeout_s):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if check():
            return True
        await asyncio.sleep(0.02)
    return False


def open_group(site):
    return next((e.group for e in site.engines.values() if e.group and e.group["State"] == "open"), None)


async def case(site):
    late = site2.trouble()
    site.__class__ = LateSite
    site.second = site.late_member = None
    site.leaves_late, site.orders, site.unanswered = False, 0, 0
    if not late:
        site._late_s = lambda engine, order: LateSite._late_s(site, engine, order) and None
    await site.start(entries=3, engines_per_zone=6, plain=0, engine_zones=("hall-a",))
    if not await site.wait_ready():
        return 2
    for entry in site.entries:
        site.spawn(client(site, entry))
    await asyncio.sleep(FIRST_LOSS_S - site.now())
    first = open_group(site)
    if first is None:
        return 2
    lost = site.engines[first["Members"][1]]
    site.note(f"{lost.instance} is lost for good")
    await lost.crash()
    if not await wait_for(lambda: site.second is not None, 10.0):
        return 2
    await asyncio.sleep(site.joined_at_s + SECOND_LOSS_AFTER_S - site.now())
    group = open_group(site)
    if group is None or group["Name"] != site.second["group"]:
        return 2
    members = [m for m in group["Members"][1:] if m != site.late_member]
    lost = site.engines[members[-1]]
    site.leaves_late = True
    site.note(f"{lost.instance} is lost")
    await lost.crash()
    await asyncio.sleep(BACK_AFTER_S)
    back = site2.Engine(site, lost.instance + "-2", "llm", lost.zone, lost.domain, site.models)
    back.staged = lost.staged
    site.engines[back.instance] = back
    site.note(f"it is back as {back.instance}")
    await back.start()
    await asyncio.sleep(0.8)
    site.leaves_late = False  # Late orders last 3.3 s here; the page's limit is 5.5 s.
    await asyncio.sleep(5.5)
    site.note(f"{site.unanswered} of {site.orders} orders were unanswered and carried out late")
    print(f"late member {site.late_member}: {site.broken_rules}")
    return 1 if any(rule == "TWO" for rule, _ in site.broken_rules) else 0


site2.main(case, Path(__file__).with_name("record.txt"))
