# SPDX-License-Identifier: Apache-2.0
"""Stand-ins of the users' platform for the cases in review/: store, model servers and entries.

They speak what the users' page PROTOCOL.md says and nothing more. The store and the servers run in
one process on loopback addresses. The entries are the project's own program, started with the
command and the variables of deploy/system.toml.
"""

import asyncio
import base64
import json
import logging
import os
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import weakref
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

# A stand-in that crashes breaks off its answers; that is no news.
logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
STALL_S = 5.0
FORM_S = 0.3
REJOIN_S = 0.2
WARM_S = 1.1
LOAD_S = 12.0
FIRST_LOAD_SHARE = 0.1
HISTORY = 2000


def free_port() -> int:
    with socket.socket() as each:
        each.bind(("127.0.0.1", 0))
        return each.getsockname()[1]


class Record:
    """The lines of record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._begun_s

    def line(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's metadata store. Each entry reaches it at a port of its own.

    ``modes`` says how it answers an entry: well, busy (503), reset, or silent.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 0
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        self.history: list[tuple[int, str, str, str | None]] = []
        self.changed = asyncio.Event()
        self.modes: dict[int, str] = {}
        self.down = ""
        self.held_back: list[str] = []
        self._runners: list[web.AppRunner] = []

    async def start(self, entries: int) -> list[int]:
        application = web.Application(client_max_size=16 << 20)
        application.router.add_post("/v1/rows-tx", self._transact)
        application.router.add_get("/v1/rows-get", self._get)
        application.router.add_get("/v1/rows-feed", self._feed)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._runners.append(runner)
        ports = [free_port() for _ in range(entries)]
        for port in ports:
            await web.TCPSite(runner, "127.0.0.1", port).start()
        return ports

    async def stop(self) -> None:
        for runner in self._runners:
            await runner.cleanup()

    # What servers and the operator write.

    def reachable(self) -> bool:
        """Return whether servers and the operator reach the store."""
        return not self.down

    def put(self, table: str, key: str, value: bytes) -> None:
        self.version += 1
        self._write(table, key, base64.b64encode(value).decode())

    def drop(self, table: str, key: str) -> None:
        if (table, key) in self.rows:
            self.version += 1
            self._write(table, key, None)

    def _write(self, table: str, key: str, value: str | None) -> None:
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.history.append((self.version, table, key, value))
        del self.history[:-HISTORY]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    # What entries ask.

    async def _fault(self, request: web.Request) -> web.Response | None:
        port = request.transport.get_extra_info("sockname")[1] if request.transport else 0
        while True:
            mode = self.down or self.modes.get(port, "")
            if not mode:
                return None
            if mode == "busy":
                return web.Response(status=503)
            if mode == "reset":
                if request.transport is not None:
                    request.transport.abort()
                return web.Response(status=503)
            # Silent: this connection never gets an answer.
            await asyncio.sleep(3600.0)

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        fault = await self._fault(request)
        if fault is not None:
            return fault
        await asyncio.sleep(0.004)
        for row in body["ExpectRev"]:
            if self.rows.get((row["Table"], row["Key"]), (0, ""))[0] != row["Ver"]:
                return self._answer({"Rows": [], "Ver": self.version}, 412)
        self.version += 1
        for row in body["SetKeys"]:
            self._write(row["Table"], row["Key"], row["Value"])
        for row in body["Delete"]:
            self._write(row["Table"], row["Key"], None)
        return self._answer({"Ver": self.version})

    async def _get(self, request: web.Request) -> web.Response:
        fault = await self._fault(request)
        if fault is not None:
            return fault
        await asyncio.sleep(0.004)
        table, begin = request.query["Table"], request.query.get("From", "")
        end = request.query.get("TargetVersion")
        keys = sorted(
            (key for each, key in self.rows if each == table and key >= begin),
            key=str.encode,
        )
        keys = [key for key in keys if end is None or key < end]
        rows = [self._row(table, key, *self.rows[table, key]) for key in keys[:500]]
        return self._answer({"Rows": rows, "Truncated": len(keys) > 500, "Ver": self.version})

    async def _feed(self, request: web.Request) -> web.Response:
        table, since = request.query["Table"], int(request.query["SinceRev"])
        end_s = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000
        while True:
            fault = await self._fault(request)
            if fault is not None:
                return fault
            if self.history and self.history[0][0] > since + 1 and len(self.history) >= HISTORY:
                return web.Response(status=410)
            changes = [each for each in self.history if each[1] == table and each[0] > since]
            left_s = end_s - time.monotonic()
            if changes or left_s <= 0:
                rows = [self._row(t, key, version, v) for version, t, key, v in changes[:500]]
                return self._answer({"Rows": rows, "Truncated": False, "Ver": self.version})
            try:
                async with asyncio.timeout(min(left_s, 0.1)):
                    await self.changed.wait()
            except TimeoutError:
                continue

    @staticmethod
    def _row(table: str, key: str, version: int, value: str | None) -> dict:
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        return row | ({"Tombstone": True} if value is None else {"Value": value})

    def _answer(self, body: dict, status: int = 200) -> web.Response:
        body["NowMs"] = int(time.monotonic() * 1000)
        return web.Response(
            status=status, body=json.dumps(body).encode(), content_type="application/json"
        )


class Breach(Exception):
    """A rule was broken."""


class Server:
    """What model servers and application servers have in common: an address and a row."""

    def __init__(self, site: "Site", instance: str, service: str, zone: str) -> None:
        self.site, self.instance, self.service, self.zone = site, instance, service, zone
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.alive = False
        self.state = "ready"
        self.seq = 0
        self.born = 0
        self._runner: web.AppRunner | None = None
        self._row_written: bytes = b""
        self._written_s = 0.0

    async def start(self) -> None:
        application = web.Application(client_max_size=16 << 20)
        self.routes(application)
        self._runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port, reuse_address=True).start()
        self.alive = True
        self.born = int(time.time() * 1000)
        self.write_row()

    def routes(self, application: web.Application) -> None:
        raise NotImplementedError

    async def crash(self) -> None:
        """End at once: reset all connections and stop listening."""
        self.alive = False
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for each in list(runner.sites):
            await each.stop()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.site.spawn(runner.cleanup())

    def row(self) -> dict:
        return {
            "Service": self.service,
            "Addr": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 24,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self.seq,
            "born": self.born,
        }

    def write_row(self) -> None:
        """Write this server's row if more than Seq has changed, as far as the store is reached."""
        if not self.alive or not self.site.store.reachable():
            return
        self._written_s = time.monotonic()
        row = self.row()
        content = json.dumps({key: value for key, value in row.items() if key != "Seq"}).encode()
        key = ("servers", self.instance)
        if content != self._row_written or key not in self.site.store.rows:
            self._row_written = content
            self.site.store.put("servers", self.instance, json.dumps(row).encode())

    async def keep_row(self) -> None:
        """Renew the row at each heartbeat; a silent server's row lapses after three of them."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_row()
            lapsed = time.monotonic() - self._written_s > LAPSE_S
            if not self.alive and lapsed and self.site.store.reachable():
                self.site.store.drop("servers", self.instance)

    def misdirected(self, request: web.Request) -> web.Response | None:
        if request.headers.get("X-Expect-Instance", self.instance) == self.instance:
            return None
        headers = {"X-Instance-Id": self.instance, "X-Request-Id": request_id(request)}
        return web.Response(status=421, headers=headers)

    def answer_headers(self, request: web.Request) -> dict[str, str]:
        stamp = f"{self.instance}.{self.born}.{request_id(request)}"
        return {"X-Request-Id": request_id(request), "X-Server-Stamp": stamp}


def request_id(request: web.Request) -> str:
    return request.headers.get("X-Request-Id", "")


class Application(Server):
    """An application server: answers each request with its body, after some work."""

    def __init__(self, site: "Site", instance: str, service: str, zone: str) -> None:
        super().__init__(site, instance, service, zone)
        self.work_s = 0.06

    def routes(self, application: web.Application) -> None:
        application.router.add_route("*", "/{path:.*}", self.run)

    async def run(self, request: web.Request) -> web.StreamResponse:
        wrong = self.misdirected(request)
        if wrong is not None:
            return wrong
        body = await request.read()
        self.site.ran(self, request, body)
        await asyncio.sleep(self.work_s)
        return web.Response(body=b"<" + body + b">", headers=self.answer_headers(request))


class Engine(Server):
    """A model server, whose groups follow the page: join, open, close, leave and Phase."""

    def __init__(self, site: "Site", instance: str, service: str, zone: str, domain: str) -> None:
        super().__init__(site, instance, service, zone)
        self.domain = domain
        self.staged: list[str] = []
        self.asked_s: dict[str, float] = {}
        self.forget()

    def forget(self) -> None:
        """Begin a life that knows nothing of before; the host keeps the weights."""
        self.group: dict | None = None
        self.phase = ""
        self.model = ""
        self.last_model = ""
        self.epoch_seen = 0
        self.busy = False
        self.running = 0
        self.seq = 0
        self.stood_still_s: float | None = None
        self.life = getattr(self, "life", 0) + 1

    async def start(self) -> None:
        self.forget()
        await super().start()

    def routes(self, application: web.Application) -> None:
        application.router.add_get("/v1/report", self._report)
        application.router.add_post("/v1/order", self._order)
        application.router.add_get("/health", self._health)
        application.router.add_route("*", "/{path:.*}", self.run)

    # What it says of itself.

    def _models(self) -> list[dict]:
        names = [self.model] if self.model and self.group else list(self.staged)
        return [{"Name": name, "Version": 1, "Adapters": []} for name in names]

    def _told(self) -> dict:
        told: dict = {"Models": self._models(), "Domain": self.domain, "Staged": self.staged}
        if self.group is not None:
            told["group"] = {
                "Name": self.group["group"],
                "epoch": self.group["epoch"],
                "rank": self.group["Members"].index(self.instance),
                "State": self.phase,
            }
        return told

    def row(self) -> dict:
        return super().row() | {"Phase": "colocated"} | self._told()

    async def _report(self, request: web.Request) -> web.Response:
        await self.site.not_silent(request)
        wrong = self.misdirected(request)
        if wrong is not None:
            return wrong
        self.asked_s[self.site.entry_of(request)] = time.monotonic()
        self.site.record.line(f"{self.instance} tells {self.site.entry_of(request)} its state")
        load = {"Phase": "colocated", "Busy": self.busy, "Seq": self.seq, "Queued": 0}
        load |= {"Running": self.running, "KvUsed": 0, "KvTotal": 700000, "Handles": 0}
        return web.json_response(load | {"pace": 1.0, "born": self.born} | self._told())

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.instance})

    # Orders.

    async def _order(self, request: web.Request) -> web.Response:
        await self.site.not_silent(request)
        wrong = self.misdirected(request)
        if wrong is not None:
            return wrong
        order = await request.json()
        if order["Op"] == "Phase":
            status = self._stage(order)
        else:
            status = getattr(self, f"_{order['Op']}")(order)
        who = self.site.entry_of(request)
        self.site.record.line(
            f"order {order['Op']} {order.get('group', '')} epoch={order.get('epoch', '')} "
            f"at {self.instance} from {who}: {status}"
        )
        if status == 202 or (status == 200 and order["Op"] in ("leave", "close")):
            self.seq += 1
            self.write_row()
        return web.Response(status=status)

    def _is_group(self, order: dict) -> bool:
        group = self.group
        return group is not None and (group["group"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        )

    def head(self) -> "Engine | None":
        """Return the head of this engine's group, if it runs and still belongs to the group."""
        if self.group is None:
            return None
        head = self.site.engines[self.group["Members"][0]]
        same = head.alive and head._is_group(self.group)
        return head if same else None

    def _join(self, order: dict) -> int:
        epoch, members = order["epoch"], order["Members"]
        if epoch < self.epoch_seen:
            return 412
        if self._is_group(order):
            assert self.group is not None
            if self.group["Members"] != members:
                return 412
        elif self.group is not None:
            head = self.head()
            if head is not None and head.phase in ("open", "closing"):
                self.site.breach(
                    "TWO",
                    f"{self.instance} takes a join of {order['group']} (epoch {epoch}) while the "
                    f"head {head.instance} of its own group {self.group['group']} (epoch "
                    f"{self.group['epoch']}) is {head.phase} with {head.running} requests running",
                )
        self.epoch_seen = epoch
        self.group, self.phase, self.model = order, "joining", order["Model"]
        self.stood_still_s = None
        self.site.spawn(self._finish_join(order, self.life))
        return 202

    async def _finish_join(self, order: dict, life: int) -> None:
        model = order["Model"]
        if self.last_model == model:
            await asyncio.sleep(REJOIN_S)
        elif model in self.staged:
            await asyncio.sleep(WARM_S)
        else:
            self.busy = True
            await asyncio.sleep(self.site.load_s())
            if life == self.life:
                self.busy, self.staged = False, [model]
        if life == self.life and self.alive and self.group is order:
            self.phase, self.last_model = "ready", model
            self.write_row()

    def _open(self, order: dict) -> int:
        if not self._is_group(order) or self.group["Members"][0] != self.instance:
            return 409
        if self.phase == "open":
            return 200
        if self.phase != "ready":
            return 409
        self.site.spawn(self._finish_open(self.group, self.life))
        return 202

    async def _finish_open(self, group: dict, life: int) -> None:
        await asyncio.sleep(FORM_S)
        if life == self.life and self.alive and self.group is group and self.phase == "ready":
            self.phase = "open"
            self.site.record.line(f"{self.instance} is open as head of {group['group']}")
            self.write_row()

    def _close(self, order: dict) -> int:
        if not self._is_group(order):
            return 409
        if self.phase == "open":
            self.phase = "closing" if self.running else "ready"
            return 202
        return 200 if self.phase == "ready" else 409

    def _leave(self, order: dict) -> int:
        if not self._is_group(order):
            return 409
        self.group, self.phase = None, ""
        return 200

    def _stage(self, order: dict) -> int:
        if order["Model"] in self.staged:
            return 200
        if self.busy:
            return 409
        self.busy = True
        self.site.spawn(self._finish_stage(order["Model"], self.life))
        return 202

    async def _finish_stage(self, model: str, life: int) -> None:
        await asyncio.sleep(self.site.load_s())
        if life == self.life:
            self.busy, self.staged = False, [model]
            self.write_row()

    # Requests.

    def whole(self) -> bool:
        """Return whether each member of the group of this head still belongs to it."""
        assert self.group is not None
        members = [self.site.engines[each] for each in self.group["Members"]]
        return all(each.alive and each._is_group(self.group) for each in members)

    async def run(self, request: web.Request) -> web.StreamResponse:
        wrong = self.misdirected(request)
        if wrong is not None:
            return wrong
        serving = self.group is not None and self.group["Members"][0] == self.instance
        if not serving or self.phase not in ("open",):
            headers = {"X-Request-Id": request_id(request), "X-Instance-Id": self.instance}
            if self.phase in ("closing", "broken"):
                return web.Response(status=503, headers=headers | {"X-Not-Run": "1"})
            return web.Response(status=421, headers=headers)
        await request.read()
        group = self.group
        self.running += 1
        try:
            return await self._stream(request, group)
        finally:
            self.running -= 1
            if not self.running and self.phase == "closing" and self.group is group:
                self.phase = "ready"
                self.write_row()

    async def _stream(self, request: web.Request, group: dict) -> web.StreamResponse:
        self.site.ran(self, request, b"")
        await asyncio.sleep(0.12)
        headers = self.answer_headers(request) | {"X-Weight-Versions": "1"}
        answer = web.StreamResponse(headers=headers | {"Content-Type": "text/event-stream"})
        await answer.prepare(request)
        begin = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(begin, self.site.events + 1):
            await self._wait_whole(group)
            if self.group is not group or self.phase == "broken":
                request.transport.abort()
                return answer
            await answer.write(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(self.site.event_gap_s)
        await answer.write_eof()
        return answer

    async def _wait_whole(self, group: dict) -> None:
        """Stand still while a member is missing; after a while the group is broken."""
        while self.group is group and self.phase in ("open", "closing") and not self.whole():
            if self.stood_still_s is None:
                self.stood_still_s = time.monotonic()
            if time.monotonic() - self.stood_still_s >= STALL_S:
                self.phase = "broken"
                self.write_row()
            await asyncio.sleep(0.02)
        if self.group is group and self.whole():
            self.stood_still_s = None


class Entry:
    """One of the project's entries, started with the command and settings of the deploy file."""

    def __init__(self, site: "Site", number: int, zone: str, store_port: int) -> None:
        self.site, self.zone, self.store_port = site, zone, store_port
        self.name = f"front-{zone}-{number}"
        self.front, self.ready, self.control = (f"127.0.0.1:{free_port()}" for _ in range(3))
        self.metrics_port = free_port()
        self.process: subprocess.Popen | None = None
        self.log = site.folder / f"{self.name}.log"

    def settings(self, first: bool) -> dict:
        return {
            "Node": self.name,
            "Ip": "127.0.0.1",
            "Zone": self.zone,
            "Region": "north-shire",
            "Zones": {zone: "north-shire" for zone in ("hall-a", "hall-b", "hall-c")},
            "Listen": {"Front": self.front, "Ready": self.ready, "Control": self.control},
            "Seeds": [each.control for each in self.site.entries],
            "Bootstrap": first,
            "Limits": {
                "CpuShare": 0.817,
                "Cores": 1,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
            },
            "Bounds": {
                "DrainMs": 2000,
                "GraceS": 8,
                "FailClosed": True,
                "RevokeMs": 5000,
                "BudgetRatio": 0.2,
                "BudgetSlack": 202,
                "CeilingWindowS": 5,
                "CeilingExcess": 1.1,
            },
            "Platform": {"Addr": f"127.0.0.1:{self.store_port}"},
        }

    def start(self, first: bool = False) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self.settings(first)
        environment = {name: fill(text, settings) for name, text in role["env"].items()}
        environment["OCHREWAY_METRICS_LISTEN"] = f"127.0.0.1:{self.metrics_port}"
        environment |= {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.site.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        words = shlex.split(role["run"])
        words[0] = sys.executable if words[0] == "python3" else words[0]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT
            )
        self.site.record.line(f"{self.name} starts, pid {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.site.record.line(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def gauge(self, name: str) -> float | None:
        """Return one figure of the entry's own metrics page."""
        text = await fetch_text(f"127.0.0.1:{self.metrics_port}", "/metrics")
        found = re.search(rf"^\S*{name}\S*\s+(\S+)$", text, re.MULTILINE)
        return float(found[1]) if found else None


def fill(text: str, settings: dict) -> str:
    """Fill the gaps of the deploy file, as DEPLOY.md describes them."""

    def value(path: str) -> object:
        found: object = settings
        for part in path.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match) -> str:
        entries = value(match[1]) or {}
        assert isinstance(entries, dict)
        filled = []
        for number, (key, item) in enumerate(entries.items()):
            comma = "," if number < len(entries) - 1 else ""
            filled.append(
                match[2].replace("{{@}}", key).replace("{{.}}", str(item)).replace("{{,}}", comma)
            )
        return "".join(filled)

    def gap(match: re.Match) -> str:
        found = value(match[1])
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


async def fetch_text(address: str, path: str) -> str:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            content = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return ""
    return content.decode(errors="replace")


@dataclass
class Answer:
    """An answer as a client reads it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def kept(self) -> bool:
        """Whether the connection stays open."""
        return "close" not in self.headers.get("connection", "").lower()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole answer.

    Raises:
        asyncio.IncompleteReadError: if it breaks off.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(head[0].split(" ", 2)[1]), headers, body)


async def until(check, seconds: float) -> bool:
    """Return whether a check holds within some time."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        if await check():
            return True
        await asyncio.sleep(0.01)
    return False


class Site:
    """A small deployment: the store, the servers and the entries."""

    def __init__(self, record: Record, entries: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="ochreway-review-"))
        self.store = Store(self.record)
        self.engines: dict[str, Engine] = {}
        self.servers: list[Server] = []
        self.entries: list[Entry] = []
        self.breaches: list[tuple[str, str]] = []
        self.runs: dict[str, list[str]] = {}
        self.events = 31
        self.event_gap_s = 0.04
        self.requests_began = False
        self._entry_count = entries
        self._owners: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()
        self._silent: weakref.WeakSet = weakref.WeakSet()
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def load_s(self) -> float:
        return LOAD_S if self.requests_began else LOAD_S * FIRST_LOAD_SHARE

    def breach(self, rule: str, text: str) -> None:
        self.breaches.append((rule, text))
        self.record.line(f"RULE {rule} BROKEN: {text}")

    def ran(self, server: Server, request: web.Request, body: bytes) -> None:
        key = request_id(request)
        self.runs.setdefault(key, []).append(server.instance)
        self.record.line(f"{server.instance} runs {key} ({request.method} {request.path_qs})")

    def entry_of(self, request: web.Request) -> str:
        """Return the name of the entry whose process a connection comes from, if it is found."""
        peer = request.transport.get_extra_info("peername") if request.transport else None
        if not peer:
            return "?"
        if request.transport not in self._owners:
            self._owners[request.transport] = owner_of(peer[1], self.entries)
        return self._owners[request.transport]

    def silence(self, entry: str) -> None:
        """Let an entry's open connections to model servers go silent for good; new ones work."""
        self._silent.update(each for each, name in self._owners.items() if name == entry)
        self.record.line(f"the open connections of {entry} to model servers go silent")

    async def not_silent(self, request: web.Request) -> None:
        """Never return for a request on a connection that went silent: it is not received."""
        if request.transport in self._silent:
            await asyncio.sleep(3600.0)

    async def start(self, configuration: dict, zones: tuple[str, ...]) -> None:
        ports = await self.store.start(self._entry_count)
        self.store.put("op", "config", json.dumps(configuration).encode())
        for server in self.servers:
            await server.start()
            self.spawn(server.keep_row())
        for number, port in enumerate(ports):
            self.entries.append(Entry(self, number + 1, zones[number % len(zones)], port))
        for entry in self.entries:
            entry.start(first=True)

    async def holder(self) -> Entry | None:
        """Return the entry whose own metrics say that it holds the lease."""
        for entry in self.entries:
            if entry.process and entry.process.poll() is None and await entry.gauge("lease_held"):
                return entry
        return None

    async def stop(self) -> None:
        for entry in self.entries:
            entry.end()
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers:
            await server.crash()
        await self.store.stop()
        if "REVIEW_KEEP" in os.environ:
            print("logs of the entries:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def owner_of(port: int, entries: list[Entry]) -> str:
    """Return the entry that owns a local TCP port, by its open sockets; for the record only."""
    wanted = f":{port:04X} "
    inode = ""
    try:
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].endswith(wanted.strip()) and fields[9] != "0":
                inode = fields[9]
                break
        for entry in entries:
            if not inode or entry.process is None or entry.process.poll() is not None:
                continue
            folder = Path(f"/proc/{entry.process.pid}/fd")
            for each in folder.iterdir():
                if os.readlink(each) == f"socket:[{inode}]":
                    return entry.name
    except OSError:
        pass
    return "?"


MODEL = "m1"
ENGINE = {
    "Slots": 24,
    "step_ms": 6.07,
    "per_seq_ms": 0.241,
    "context_per_k": 0.00488,
    "read_per_s": 46000.0,
    "pairs_per_m": 0.7,
    "chunk": 2048,
    "Stride": 3,
    "usual": {"prompt": 1420, "answer": 93},
    "LoadsPerS": 3.0,
    "loads_at_once": 6,
    "Keeps": 1,
    "FormMs": int(FORM_S * 1000),
    "far_x": 3.0,
    "report_lag_ms": 200.0,
    "Models": [
        {"Name": MODEL, "size": 2, "Share": 1.0, "pace": 1.0, "LoadS": LOAD_S, "WarmS": WARM_S}
    ],
}


def route(name: str, kind: str, service: str, **fields) -> dict:
    base = {"Name": name, "Host": "rota.example", "PathPrefix": f"/{name}/", "Kind": kind}
    timing = {"TimeoutMs": 8000, "SloMs": 400, "GapAimMs": 300, "MaxAttempts": 2, "Priority": 1}
    return {**base, **timing, "Backends": [{"Service": service, "Weight": 1}], **fields}
