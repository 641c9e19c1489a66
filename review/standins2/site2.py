"""Stand-ins of the users' platform for the scripts of the second review; standard library only.

One process plays the store, the servers and the clients; the entries are the project's own
programs, started with the command and the environment of ``deploy/system.toml``. Store, servers
and clients do what PROTOCOL.md says and nothing beyond it, unless a case tells them to.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "svc7.example"
KEY = "k1-second-review"
REPORT_LAG_S = 0.2
STALL_S = 5.0
HEARTBEAT_S = 1.2


def free_ports(number):
    sockets = [socket.socket() for _ in range(number)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


# HTTP/1.1, as little as is needed.


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    return Request(method, target, headers, body)


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serve a handler ``handle(request, writer) -> None``, which writes the answer itself."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self._handle(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows, transactions and feeds; linearizable, nothing is lost."""

    def __init__(self, site):
        self.site = site
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, table, key, value):
        """Write a row; ``value`` is its bytes."""
        self.version += 1
        self._write(table, key, base64.b64encode(value).decode())

    def drop(self, table, key):
        self.version += 1
        self._write(table, key, None)

    def _write(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.history.append((table, key, self.version, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def _now(self):
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    async def _handle(self, request, writer):
        await asyncio.sleep(0.004)
        if request.path == "/v1/rows-tx":
            status, body = self._transact(json.loads(request.body))
        elif request.path == "/v1/rows-get":
            status, body = self._get(request.query)
        elif request.path == "/v1/rows-feed":
            status, body = await self._feed(request.query)
        else:
            status, body = 404, {}
        content = json.dumps(body).encode()
        writer.write(answer_bytes(status, content, [("Content-Type", "application/json")]))

    def _transact(self, body):
        for row in body.get("ExpectRev", []):
            current, _ = self.rows.get((row["Table"], row["Key"]), (0, None))
            if current != row["Ver"]:
                return 412, {"Rows": [], **self._now()}
        self.version += 1
        for row in body.get("SetKeys", []):
            self._write(row["Table"], row["Key"], row["Value"])
            if "lease" in row["Key"]:
                self.site.on_lease(base64.b64decode(row["Value"]))
        for row in body.get("Delete", []):
            self._write(row["Table"], row["Key"], None)
        return 200, self._now()

    def _get(self, query):
        table, begin, end = query["Table"], query.get("From", ""), query.get("TargetVersion")
        keys = sorted(
            k for t, k in self.rows if t == table and k >= begin and (not end or k < end)
        )
        rows = [self._row(table, key, *self.rows[table, key]) for key in keys]
        return 200, {"Rows": rows, "Truncated": False, **self._now()}

    async def _feed(self, query):
        table, since = query["Table"], int(query["SinceRev"])
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            changes = [c for c in self.history if c[0] == table and c[2] > since]
            left = end - time.monotonic()
            if changes or left <= 0:
                newest = {c[1]: c for c in changes}
                rows = [self._row(t, k, v, x) for t, k, v, x in newest.values()]
                return 200, {"Rows": rows, "Truncated": False, **self._now()}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    @staticmethod
    def _row(table, key, version, value):
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        return row | ({"Tombstone": True} if value is None else {"Value": value})


class Server:
    """A plain server of a service: it runs each request once and answers with its stamp."""

    work_s = 0.05

    def __init__(self, site, instance, service, zone):
        self.site, self.instance, self.service, self.zone = site, instance, service, zone
        self.http = HttpServer(self._handle)
        self.seq = 0
        self.up = False
        self.state = "ready"

    @property
    def address(self):
        return f"127.0.0.1:{self.http.port}"

    async def start(self, port=0):
        await self.http.start(port)
        self.up = True
        self.born = int(time.time() * 1000)
        self.write_row()

    async def crash(self):
        """End at once, as a killed process does."""
        self.up = False
        await self.http.stop()

    def row(self):
        return {
            "Service": self.service,
            "Addr": self.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": 24,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self.seq,
            "born": self.born,
        }

    def write_row(self):
        if self.up:
            self.seq += 1
            row = json.dumps(self.row(), ensure_ascii=False).encode()
            self.site.store.put("servers", self.instance, row)

    def _is_meant(self, request):
        return request.headers.get("x-expect-instance", self.instance) == self.instance

    def stamp(self, request):
        return [
            ("X-Request-Id", request.headers.get("x-request-id", "")),
            ("X-Server-Stamp", f"{self.instance}.1"),
            ("X-Weight-Versions", "1"),
        ]

    def not_run(self, request, status):
        return answer_bytes(status, b"", [*self.stamp(request), ("X-Not-Run", "1")])

    async def _handle(self, request, writer):
        if not self._is_meant(request):
            writer.write(self.not_run(request, 421))
            return
        await self.run(request, writer)

    async def run(self, request, writer):
        self.site.on_run(self, request)
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, b"<" + request.body + b">", self.stamp(request)))


class Engine(Server):
    """A model server, as PROTOCOL.md tells of groups; reports are 0.2 s old."""

    events = 8
    pause_s = 0.05

    def __init__(self, site, instance, service, zone, domain, models):
        super().__init__(site, instance, service, zone)
        self.domain, self.models = domain, models
        self.forget()

    def forget(self):
        self.group, self.last_model, self.staged = None, None, []
        self.busy, self.orders, self.top_epoch = False, 0, 0
        self.past = [(0.0, None)]
        self.ever_ready = set()
        self.stalled_since = None

    async def start(self, port=0):
        self.up = True
        await self.http.start(port)
        self.born = int(time.time() * 1000)
        self.changed()

    async def crash(self):
        await super().crash()
        self.group = None
        self.past = [(0.0, None)]

    def engine_fields(self):
        model = self.group["Model"] if self.group else self.last_model
        fields = {
            "Domain": self.domain,
            "Models": [{"Name": model, "Version": 1, "Adapters": []}] if model else [],
            "Staged": list(self.staged),
            "Busy": self.busy,
        }
        if self.group:
            names = ("Name", "epoch", "rank", "State")
            fields["group"] = {name: self.group[name] for name in names}
        return fields

    def row(self):
        return super().row() | self.engine_fields()

    def changed(self):
        self.past.append((time.monotonic(), self.engine_fields()))
        self.write_row()

    def reported(self):
        then = time.monotonic() - REPORT_LAG_S
        known = [fields for at, fields in self.past if at <= then and fields is not None]
        return known[-1] if known else self.past[-1][1]

    async def _handle(self, request, writer):
        if not self._is_meant(request):
            writer.write(self.not_run(request, 421))
        elif request.path == "/v1/report":
            body = self.reported() | {"Phase": "colocated", "Seq": self.orders, "Queued": 0}
            body |= {"Running": 0, "KvUsed": 0, "KvTotal": 90000, "Handles": 0, "pace": 1.0}
            body["born"] = self.born
            writer.write(answer_bytes(200, json.dumps(body).encode()))
        elif request.path == "/v1/order":
            order = json.loads(request.body)
            late_s = self.site.late_s(self, order)
            if late_s is not None:
                self.site.note(f"order at {self.instance} unanswered, late by {late_s:.2f} s: {order}")
                self.site.spawn(self._carry_out_late(order, late_s))
                await asyncio.sleep(15.0)
                return
            status = getattr(self, "on_" + order["Op"].lower())(order)
            self.orders += status == 202
            self.site.on_order(self, order, status)
            writer.write(answer_bytes(status))
        else:
            await self.run(request, writer)

    async def _carry_out_late(self, order, late_s):
        life = self.born
        await asyncio.sleep(late_s)
        if self.up and self.born == life:
            status = getattr(self, "on_" + order["Op"].lower())(order)
            self.orders += status == 202
            self.site.note("carried out late:")
            self.site.on_order(self, order, status)

    def _is_current(self, order):
        mine = self.group or {}
        return (mine.get("Name"), mine.get("epoch")) == (order["group"], order["epoch"])

    def on_join(self, order):
        spec = next((m for m in self.models if m["Name"] == order["Model"]), None)
        if spec is None or self.instance not in order["Members"]:
            return 400
        if order["epoch"] < self.top_epoch:
            return 412
        if self._is_current(order):
            return 200 if self.group["Members"] == order["Members"] else 412
        self.site.on_join(self, order)
        self.top_epoch = order["epoch"]
        if self.last_model == order["Model"]:
            takes_s = 0.2
        elif order["Model"] in self.staged:
            takes_s = spec["WarmS"]
        else:
            takes_s = spec["LoadS"]
            self.busy = True
            self.site.on_load(self, order["Model"])
        rank = order["Members"].index(self.instance)
        self.group = {
            "Name": order["group"],
            "epoch": order["epoch"],
            "rank": rank,
            "State": "joining",
            "Model": order["Model"],
            "Members": order["Members"],
        }
        self.stalled_since = None
        asyncio.get_running_loop().create_task(self._finish_join(self.group, takes_s))
        self.changed()
        return 202

    async def _finish_join(self, group, takes_s):
        await asyncio.sleep(takes_s)
        if self.busy and group["Model"] not in self.staged:
            self.staged = [group["Model"]]
            self.busy = False
        if self.group is group and self.up:
            self.last_model = group["Model"]
            group["State"] = "ready"
            self.ever_ready.add((group["Name"], group["epoch"], tuple(group["Members"])))
        if self.up:
            self.changed()

    def on_open(self, order):
        if not self._is_current(order):
            return 409
        if self.group["State"] == "open":
            return 200
        if self.group["State"] != "ready" or self.group["rank"] != 0:
            return 409
        self.group["State"] = "open"
        self.changed()
        return 202

    def on_close(self, order):
        if not self._is_current(order) or self.group["State"] not in ("open", "ready"):
            return 409
        if self.group["State"] == "ready":
            return 200
        self.group["State"] = "ready"
        self.changed()
        return 202

    def on_leave(self, order):
        if not self._is_current(order):
            return 409
        self.group = None
        self.changed()
        return 202

    def on_phase(self, order):
        spec = next((m for m in self.models if m["Name"] == order.get("Model")), None)
        if spec is None:
            return 400
        if order["Model"] in self.staged:
            return 200
        if self.busy:
            return 409
        self.busy = True
        self.site.on_load(self, order["Model"])
        asyncio.get_running_loop().create_task(self._finish_load(order["Model"], spec["LoadS"]))
        self.changed()
        return 202

    async def _finish_load(self, model, takes_s):
        await asyncio.sleep(takes_s)
        if self.up:
            self.busy, self.staged = False, [model]
            self.changed()

    def absent_members(self):
        """Return the members of this head's group that are not in it any more."""
        mine = self.group
        absent = []
        for member in mine["Members"]:
            other = self.site.engines.get(member)
            theirs = other.group if other is not None and other.up else None
            if theirs is None or (theirs["Name"], theirs["epoch"]) != (mine["Name"], mine["epoch"]):
                absent.append(member)
        return absent

    async def run(self, request, writer):
        mine = self.group
        if mine is None or mine["rank"] != 0 or mine["State"] == "joining":
            writer.write(self.not_run(request, 421))
            return
        if mine["State"] != "open" or mine["Model"] != request.headers.get("x-model"):
            writer.write(self.not_run(request, 503))
            return
        if not await self._whole_again(mine):
            writer.write(self.not_run(request, 503))
            return
        self.site.on_run(self, request)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.stamp(request)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        begin = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(begin, self.events + 1):
            event = f"id: {number}\ndata: {request.headers.get('x-request-id')} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
            if not await self._whole_again(mine):
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")

    async def _whole_again(self, mine):
        """Stand still while a member is missing; return False once the group is broken."""
        begun = time.monotonic()
        while self.group is mine and self.up and self.absent_members():
            if time.monotonic() - begun > STALL_S:
                mine["State"] = "broken"
                self.changed()
                return False
            await asyncio.sleep(0.05)
        return self.group is mine and self.up


class Entry:
    """One entry process, started with the command and the environment of the deploy file."""

    def __init__(self, site, number, zone):
        self.site, self.number, self.zone = site, number, zone
        self.name = f"front-{zone}-{number}"
        self.front, self.ready, self.control, self.metrics = (
            f"127.0.0.1:{port}" for port in free_ports(4)
        )
        self.process = None
        self.starts = 0

    def _fields(self):
        return {
            "Node": self.name,
            "Zone": self.zone,
            "Region": "r1",
            "Ip": "127.0.0.1",
            "Listen.Front": self.front,
            "Listen.Ready": self.ready,
            "Listen.Control": self.control,
            "Platform.Addr": f"127.0.0.1:{self.site.store.server.port}",
            "Seeds": ",".join(each.control for each in self.site.entries[:3]),
            "Bootstrap": "true" if not self.starts else "false",
            "Bounds.RevokeMs": "5000",
            "Bounds.FailClosed": "true",
            "Bounds.DrainMs": "2000",
            "Bounds.BudgetRatio": "0.2",
            "Bounds.BudgetSlack": "202",
            "Bounds.CeilingWindowS": "5",
            "Bounds.CeilingExcess": "1.1",
            "Bounds.GraceS": "8",
            "Limits.CpuShare": "0.817",
            "Limits.Cores": "1",
            "Limits.MaxFds": "4100",
            "Limits.MemoryMb": "300",
            "Limits.LinkMbps": "1000.0",
        }

    def _environment(self, role):
        fields = self._fields()
        environment = {}
        for name, text in role["env"].items():
            text = re.sub(
                r"\{\{#Zones\}\}.*\{\{/Zones\}\}",
                ",".join(f"{zone}=r1" for zone in self.site.zones),
                text,
            )
            value = re.sub(r"\{\{([\w.]+)\}\}", lambda m: fields.get(m.group(1), ""), text)
            if value:
                environment[name] = value
        environment["OCHREWAY_METRICS_LISTEN"] = self.metrics
        environment["PATH"], environment["HOME"] = os.environ["PATH"], str(self.site.folder)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        return environment

    async def start(self):
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        log = (self.site.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            env=self._environment(role),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.starts += 1
        self.site.note(f"{self.name} starts, pid {self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await fetch(self.ready, b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
        except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
            return False
        return status == 200


async def read_answer(reader):
    """Return status, headers and body of one answer with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return status, headers, body


async def fetch(address, content, timeout_s):
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(content)
            return await read_answer(reader)
        finally:
            writer.close()


class Site:
    """The store, the servers, the entries and what was seen of them."""

    zones = ("hall-a", "hall-b", "hall-c")
    models = [
        {"Name": "m0", "size": 4, "Share": 0.67, "pace": 1.0, "LoadS": 16.0, "WarmS": 1.6},
        {"Name": "m1", "size": 2, "Share": 0.33, "pace": 0.6, "LoadS": 12.0, "WarmS": 1.1},
    ]

    def __init__(self, record):
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        self.record = Path(record).open("w", buffering=1)
        self.begun = time.monotonic()
        self.store = Store(self)
        self.engines, self.plain, self.entries = {}, {}, []
        self.runs = {}
        self.broken_rules = []
        self.results = []
        self.holders = []
        self.tasks = set()
        self.count = 0

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # What servers and the store see.

    def on_run(self, server, request):
        request_id = request.headers.get("x-request-id", "")
        self.runs.setdefault(request_id, []).append(server.instance)
        tenant = request.headers.get("x-tenant")
        self.note(f"run {request_id} at {server.instance} {request.method} {request.target} {tenant}")
        if isinstance(server, Engine):
            absent = [
                member
                for member in server.group["Members"]
                if (name := self.engines.get(member)) is not None
                and (
                    server.group["Name"],
                    server.group["epoch"],
                    tuple(server.group["Members"]),
                )
                not in name.ever_ready
            ]
            if absent:
                self.breach("PARTIAL", f"{request_id} runs at {server.instance} without {absent}")

    def on_join(self, engine, order):
        mine = engine.group
        if mine is None:
            return
        head = self.engines.get(mine["Members"][0])
        theirs = head.group if head is not None and head.up else None
        if theirs is None or (theirs["Name"], theirs["epoch"]) != (mine["Name"], mine["epoch"]):
            return
        if theirs["State"] in ("open", "closing") and mine["Name"] != order["group"]:
            self.breach(
                "TWO",
                f"{engine.instance} joins {order['group']} while the head of {mine['Name']} is open",
            )

    def late_s(self, engine, order):
        """Return by how much an order is carried out late and unanswered, or None."""
        return None

    def on_order(self, engine, order, status):
        what = {k: v for k, v in order.items() if k != "Members"}
        self.note(f"order at {engine.instance}: {what} -> {status}")

    def on_load(self, engine, model):
        self.note(f"load of {model} begins at {engine.instance}")

    def on_lease(self, value):
        text = value.decode("latin-1")
        found = re.search(r"front-hall-[abc]-\d", text)
        holder = found.group(0) if found else "?"
        if not self.holders or self.holders[-1][1] != holder:
            self.holders.append((self.now(), holder))
            self.note(f"the lease is written by {holder}")

    def breach(self, rule, text):
        self.broken_rules.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    # Set-up.

    def configuration(self, version=1):
        engine = {
            "Slots": 24,
            "step_ms": 6.07,
            "per_seq_ms": 0.5,
            "context_per_k": 0.01,
            "read_per_s": 46000.0,
            "LoadsPerS": 3.0,
            "loads_at_once": 6,
            "Keeps": 1,
            "FormMs": 0,
            "far_x": 2.0,
            "report_lag_ms": 200,
            "usual": {"prompt": 1000.0, "answer": 30.0},
            "Models": self.models,
        }

        def route(name, kind, service, **fields):
            base = {"Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": kind}
            base |= {"TimeoutMs": 8000, "SloMs": 400, "GapAimMs": 300, "MaxAttempts": 2}
            return base | {"Priority": 1, "Service": service, "Public": False, **fields}

        return {
            "Version": version,
            "Routes": [
                route("plan", "stream", "llm", Resumable=True, Sticky=True),
                route("confirm", "unsafe", "app", TimeoutMs=4000),
                route("look", "safe", "app", TimeoutMs=4000),
            ],
            "Services": [
                {"Name": "llm", "MaxConns": 562, "HealthPath": "/health", "Engine": engine},
                {"Name": "app", "MaxConns": 110, "HealthPath": "/health"},
            ],
            "Tenants": [{"Name": "t1", "ApiKeys": [KEY]}],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 1048576,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }

    def put_configuration(self, body):
        self.store.put("op", "config", json.dumps(body).encode())
        self.note(f"configuration {body['Version']} is acknowledged")

    async def start(self, entries=3, engines_per_zone=4, plain=3, engine_zones=None):
        await self.store.server.start()
        self.put_configuration(self.configuration())
        for zone in engine_zones or self.zones:
            for number in range(engines_per_zone):
                name = f"i-{zone[-1]}{number}"
                self.engines[name] = Engine(self, name, "llm", zone, f"d-{zone[-1]}", self.models)
        for number in range(plain):
            name = f"i-app{number}"
            self.plain[name] = Server(self, name, "app", self.zones[number % 3])
        for server in (*self.engines.values(), *self.plain.values()):
            await server.start()
        self.spawn(self._heartbeats())
        self.entries = [Entry(self, n + 1, self.zones[n % 3]) for n in range(entries)]
        await asyncio.gather(*(entry.start() for entry in self.entries))

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in (*self.engines.values(), *self.plain.values()):
                server.write_row()

    async def wait_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if all([await entry.is_ready() for entry in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for entry in self.entries:
            await entry.end()
        for task in list(self.tasks):
            task.cancel()
        for server in (*self.engines.values(), *self.plain.values()):
            if server.up:
                await server.http.stop()
        await self.store.server.stop()
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients.

    def request_bytes(self, request_id, path, method="POST", body=b"body", headers=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
        lines += [f"Authorization: Bearer {KEY}", "X-Deadline-Ms: 8000"]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (
            body if method == "POST" else b""
        )

    async def call(self, entry, path, model=None, method="POST", timeout_s=8.5, body=b"body"):
        """Send one request on a new connection; return and note what the client gets."""
        self.count += 1
        request_id = f"q{self.count:06d}"
        headers = [("X-Model", model), ("X-Token-Usage", "1000,30"), ("X-Length-Hint", "30")]
        headers.append(("X-Prompt-Prefix", f"aa01:40,{self.count:x}:960"))
        content = self.request_bytes(
            request_id, path, method, body, headers if model is not None else ()
        )
        sent = self.now()
        try:
            status, _, answer = await fetch(entry.front, content, timeout_s)
        except TimeoutError:
            status, answer = "no answer", b""
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            status, answer = f"cut: {type(error).__name__}", b""
        self.results.append((sent, request_id, path, model, status, self.now()))
        self.note(f"answer {request_id} {path} {model} from {entry.name}: {status} {len(answer)} B")
        return status, answer


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, record):
    """Run ``case(site)``; exit with what it returns: 0 held, 1 broken, 2 could not run."""
    if not (ROOT / "target" / "deps" / "ochreway_direct").is_dir():
        print("the build of the deploy file is missing")
        sys.exit(2)

    async def run():
        site = Site(record)
        try:
            async with asyncio.timeout(112):
                return await case(site)
        except TimeoutError:
            site.note("the case took too long")
            return 2
        finally:
            await site.stop()

    sys.exit(asyncio.run(run()))
