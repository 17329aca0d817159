"""Stand-ins of the platform's store, of engines and of clients, and the start of the project's own programs.

One event loop plays all stand-ins. The entry program runs as separate processes, with the command, the settings template
and the build of `deploy/system.toml`. Python's standard library only; nothing has to be built.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
COMMAND = "target/release/comfreywing-entry"
TEMPLATE = "deploy/settings.yaml"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2

# Bounds of the sites, in ms and s.
CONTACT_MS = 3000
DRAIN_MS = 2000
LEASE_MS = 3000
CONFIG_MS = 2000
RECOVER_S = 12
# Delay after which the platform starts a process again that has ended.
RESTART_S = 0.5


class CannotRun(Exception):
    """The case could not run."""


def free_port(ip):
    """A free TCP port of a loopback address."""
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Reads the head of a message: its first line, and its headers in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Reads a chunked body."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store. All its objects are JSON, unless `raw` gives the bytes of one as another writer left
    them."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.raw = {}
        self.rev = 7
        self.history = []
        self.changed = asyncio.Condition()
        self.reads = {}
        # While it is down, it answers 503 and does nothing.
        self.is_down = False

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        """A write of the operator or of an engine, without a condition."""
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec and (kind, name) not in self.raw:
            return
        self.raw.pop((kind, name), None)
        await self.change(kind, name, spec, old)

    async def put_raw(self, kind, name, spec):
        """Another writer's entry: its contents as bytes."""
        self.raw[kind, name] = spec
        await self.change(kind, name, None, self.objects.get((kind, name)))

    async def change(self, kind, name, spec, old):
        self.rev += 1
        created = old["metadata"]["created"] if old else self.rev
        it = {
            "metadata": {"name": name, "rev": self.rev, "created": created, "finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = it
        self.history.append((self.rev, kind, name, it, False))
        async with self.changed:
            self.changed.notify_all()
        return it

    async def remove(self, kind, name):
        it = self.objects.pop((kind, name), None)
        self.raw.pop((kind, name), None)
        if it:
            self.rev += 1
            self.history.append((self.rev, kind, name, it, True))
            async with self.changed:
                self.changed.notify_all()

    def text(self, kind, name, it):
        """An object as sent."""
        raw = self.raw.get((kind, name))
        if raw is None:
            return json.dumps(it).encode()
        head = json.dumps(it["metadata"]).encode()
        return b'{"metadata":' + head + b',"spec":' + raw + b',"status":null}'

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if self.is_down:
                    status, answer = 503, b"{}"
                else:
                    status, answer = await self.respond(method, target, body)
                reasons = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 503: "Service Unavailable"}
                reason = reasons[status]
                head = {"Content-Type": "application/json", "Content-Length": len(answer)}
                writer.write(message(f"HTTP/1.1 {status} {reason}", head, answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def respond(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = [unquote(it) for it in url.path.split("/")]
        kind, name = path[3], path[4] if len(path) > 4 else None
        if method == "GET":
            return await self.read(kind, name, query)
        data = json.loads(body) if body else {}
        name = name or data["metadata"]["name"]
        old = self.objects.get((kind, name))
        if method == "POST":
            if old:
                return 409, self.text(kind, name, old)
            self.record(f"store: {kind}/{name} is created: {json.dumps(data['spec'])}")
            return 201, self.text(kind, name, await self.change(kind, name, data["spec"], None))
        if not old:
            return 404, b"{}"
        rev = data.get("metadata", {}).get("rev") or (int(query["rev"]) if "rev" in query else None)
        if rev is not None and rev != old["metadata"]["rev"]:
            return 409, self.text(kind, name, old)
        if method == "DELETE":
            self.record(f"store: {kind}/{name} is removed")
            await self.remove(kind, name)
            return 200, self.text(kind, name, old)
        if old["spec"] != data["spec"]:
            if kind != "cw-hosts":
                self.record(f"store: {kind}/{name} is replaced: {json.dumps(data['spec'])}")
            old = await self.change(kind, name, data["spec"], old)
        return 200, self.text(kind, name, old)

    async def read(self, kind, name, query):
        if name:
            it = self.objects.get((kind, name))
            return (200, self.text(kind, name, it)) if it else (404, b"{}")
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        self.reads[kind] = self.reads.get(kind, 0) + 1
        items = [self.text(kind, it, self.objects[k, it]) for k, it in sorted(self.objects) if k == kind]
        return 200, b'{"items":[' + b",".join(items) + b'],"has_more":false,"as_of":%d}' % self.rev

    async def watch(self, kind, since, wait):
        def news():
            return [it for it in self.history if it[0] > since and it[1] == kind]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(news), wait)
            except asyncio.TimeoutError:
                pass
        events = []
        for _, _, name, it, deleted in news():
            flag = b"true" if deleted else b"false"
            events.append(b'{"deleted":' + flag + b',"object":' + self.text(kind, name, it) + b"}")
        return 200, b'{"events":[' + b",".join(events) + b'],"as_of":%d}' % self.rev


class Engine:
    """An engine with adapters, or an instance of a plain service. `models` is empty for the latter."""

    def __init__(self, record, store, ident, service, zone="z1", slots=8, model=None, adapter_slots=8, load_s=0.1,
                 version="v1"):
        self.record, self.store = record, store
        self.ident, self.service, self.zone, self.slots = ident, service, zone, slots
        self.model, self.adapter_slots, self.load_s = model, adapter_slots, load_s
        self.adapters = {}
        self.pending = {}
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.listed = True
        self.orders = []
        self.runs = []
        self.work_s = 0.02
        self.event_s = 0.03
        self.tasks = []
        self.version = version

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.tasks.append(asyncio.create_task(self.beat()))

    def stop(self):
        self.listed = False
        self.server.close()
        for it in self.tasks:
            it.cancel()

    def models(self):
        if not self.model:
            return []
        return [{"name": self.model, "version": 1, "adapters": [f"{n}@{v}" for n, v in self.adapters.items()]}]

    async def beat(self):
        while self.listed:
            if not self.store.is_down:
                await self.check_in()
            await asyncio.sleep(BEAT_S)

    async def check_in(self):
        entry = {
            "service": self.service, "addr": self.addr, "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "stage": "both", "models": self.models(), "seq": self.seq,
            "born": self.born,
        }
        await self.store.put("servers", self.ident, entry)

    async def serve(self, reader, writer):
        # The end of the caller's channel, for engines that drop its request then.
        writer.is_abandoned = lambda: reader.at_eof() or reader.exception() is not None
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self.respond(first, headers, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def send(self, writer, status, headers=None, body=b""):
        headers = {"Content-Length": len(body), **(headers or {})}
        writer.write(message(f"HTTP/1.1 {status} X", headers, body))
        return True

    async def respond(self, first, headers, body, writer):
        method, target, _ = first.split(" ")
        if headers.get("expect-instance", self.ident) != self.ident:
            return self.send(writer, 421, {"Instance-Id": self.ident, "Not-Executed": 1})
        if target == "/-/report":
            report = {
                "stage": "both", "models": self.models(), "busy": False, "seq": self.seq, "queued": 0, "running": 0,
                "kv_used": 0, "kv_total": 90000, "handles": 0, "born": self.born,
                "pending": [f"{self.model}/{it}@1" for it in self.pending],
            }
            return self.send(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        if target == "/-/order":
            return self.send(writer, self.order(json.loads(body)))
        return await self.work(method, target, headers, body, writer)

    def order(self, order):
        status = self.judge_order(order)
        self.orders.append((self.record.now(), order, status))
        what = f"{order['op']} {order['model']}/{order.get('adapter', '')}"
        self.record(f"engine {self.ident}: order {what} of {order['holder']}, fence {order['fence']}: {status}")
        return status

    def judge_order(self, order):
        if order.get("expected", self.seq) != self.seq:
            return 409
        adapter = order.get("adapter")
        if adapter is None:
            return 200
        if order["op"] == "unload":
            self.seq += 1
            self.adapters.pop(adapter, None)
            return 200
        version = order.get("version", 1)
        if self.adapters.get(adapter) == version or adapter in self.pending:
            return 200
        self.seq += 1
        self.pending[adapter] = version
        self.tasks.append(asyncio.create_task(self.load(adapter, version)))
        return 202

    async def load(self, adapter, version):
        await asyncio.sleep(self.load_s)
        self.pending.pop(adapter, None)
        self.adapters[adapter] = version

    async def work(self, method, target, headers, body, writer):
        ident = headers.get("request-id")
        common = {"Request-Id": ident}
        model = headers.get("model")
        if model and "/" in model and model.split("/")[1] not in self.adapters:
            self.record(f"engine {self.ident}: {ident} for {model}: 421")
            return self.send(writer, 421, {**common, "Instance-Id": self.ident, "Not-Executed": 1})
        self.runs.append((self.record.now(), ident))
        self.record(f"engine {self.ident}: runs {ident} ({method} {target})")
        seal = {**common, "Response-Seal": f"{ident}.{self.ident}"}
        if not model:
            await asyncio.sleep(self.work_s)
            return self.send(writer, 200, seal, b"done " + (ident or "").encode())
        head = {**seal, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(message("HTTP/1.1 200 OK", head))
        begin = int(headers.get("last-event-id", -1)) + 1
        for it in range(begin, 4):
            await asyncio.sleep(self.event_s)
            event = f"id: {it}\ndata: token {it}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Host:
    """An entry host: the project's own program."""

    peer_port = None

    def __init__(self, record, number, zone, store, folder):
        self.record, self.number, self.zone = record, number, zone
        self.ip = f"127.0.2.{number + 1}"
        self.folder = folder
        self.callers, self.ready, self.metrics = (f"{self.ip}:{free_port(self.ip)}" for _ in range(3))
        self.peers = f"{self.ip}:{Host.peer_port}"
        # True only when the whole system starts for the first time.
        self.store, self.first = store, True
        self.process = None

    def fields(self):
        """What the platform fills into the template of the settings."""
        return {
            "node": f"edge-{self.number}", "zone": self.zone, "ip": self.ip, "bootstrap": self.first, "seeds": [],
            "listen.front": self.callers, "listen.ready": self.ready, "port_range.0": self.peers.split(":")[1],
            "port_range.1": self.metrics.split(":")[1], "platform.addr": self.store, "bounds.contact_ms": CONTACT_MS,
            "bounds.drain_ms": DRAIN_MS, "bounds.retry_ratio": 0.2, "bounds.retry_window_s": 10,
            "bounds.retry_slack": 54, "bounds.lease_ms": LEASE_MS, "bounds.ceiling_window_s": 5, "bounds.grace_s": 8,
            "limits.memory_mb": 390,
        }

    def settings(self):
        """The settings file, made from the template."""
        fields = self.fields()

        def fill(match):
            name, _, form = match.group(1).partition("|")
            value = fields.get(name, "")
            return json.dumps(value) if form else str(value)

        with open(os.path.join(ROOT, TEMPLATE)) as it:
            return re.sub(r"{{([^}]*)}}", fill, it.read())

    def start(self):
        path = os.path.join(self.folder, f"host-{self.number}.yaml")
        with open(path, "w") as it:
            it.write(self.settings())
        self.log = open(os.path.join(self.folder, f"host-{self.number}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "COMFREYWING_CONFIG": path}
        self.process = subprocess.Popen([COMMAND], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record(f"host edge-{self.number} starts")

    def signal(self, number):
        self.record(f"host edge-{self.number} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait(self, timeout):
        end = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return self.process.poll()

    async def kill_and_restart(self):
        """SIGKILL. The platform starts the process again after a short delay."""
        self.signal(signal.SIGKILL)
        await self.wait(5)
        await asyncio.sleep(RESTART_S)
        self.first = False
        self.start()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(get(self.ready, "/-/readyz"), 0.5)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                self.record(f"host edge-{self.number} is ready")
                return True
            await asyncio.sleep(0.05)
        return False


async def call(addr, method, target, headers, body=b"", timeout=10):
    """Sends a request on a new connection and reads the whole answer."""
    async def exchange():
        ip, port = addr.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            head = {"Host": "site.example", "Content-Length": len(body), **headers}
            writer.write(message(f"{method} {target} HTTP/1.1", head, body))
            first, answer_headers = await read_head(reader)
            answer = await read_body(reader, answer_headers)
            return int(first.split(" ")[1]), answer_headers, answer
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


async def get(addr, target):
    return await call(addr, "GET", target, {})


async def wait_until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"not within {timeout} s: {what}")


def route(name, prefix, kind, service, **more):
    """A route of the config."""
    return {
        "name": name, "hostname": "site.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
        "goal_ms": 500, "priority": 1, "service": service, "max_attempts": 2, **more,
    }


def stream_route(name, prefix, service):
    """A route whose streams may be resumed."""
    return route(name, prefix, "stream", service, sticky=True, resumable=True, gap_target_ms=250)


def engine_service(name, slots=8):
    """A service with engines that hold the model `m`."""
    engine = {
        "slots": slots, "kv_capacity": 140000, "weights_mb": 1400, "adapter_slots": 8, "loads_per_s": 4.5,
        "models": [{"name": "m", "weights_mb": 1000, "load_s": 1.0, "adapters": 3000, "adapter_mb": 10}],
    }
    return {"name": name, "health_path": "/healthz", "max_conns": 360, "engine": engine}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100}


def config(version, routes, services):
    limits = {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


class World:
    """All stand-ins and hosts of a case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.hosts, self.engines = [], []
        self.numbers = 0

    async def start_store(self, document):
        Host.peer_port = free_port("127.0.2.1")
        self.store = Store(self.record)
        await self.store.start()
        await self.store.put("config", "main", document)

    async def start_hosts(self, count):
        """Starts hosts and waits until they are ready."""
        for _ in range(count):
            self.add_host()
        for it in self.hosts:
            if not await it.wait_ready():
                raise CannotRun(f"edge-{it.number} isn't ready")

    async def add_engine(self, ident, service, **options):
        it = Engine(self.record, self.store, ident, service, **options)
        await it.start()
        self.engines.append(it)
        return it

    def add_host(self, zone="z1"):
        it = Host(self.record, len(self.hosts), zone, self.store.addr, self.folder)
        self.hosts.append(it)
        it.start()
        return it

    def ident(self):
        self.numbers += 1
        return f"r-{self.numbers:05d}"

    async def send(self, host, method, target, headers=None, body=b"", timeout=6):
        """Sends one request and records the answer. Returns the status, or None if there is no answer."""
        ident = self.ident()
        headers = {"Request-Id": ident, "Timeout-Ms": 5000, **(headers or {})}
        try:
            status, answer_headers, answer = await call(host.callers, method, target, headers, body, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"client: {ident} to edge-{host.number}: no answer: {type(error).__name__}")
            return None
        text = "" if status == 200 else f" {answer[:60]!r}"
        self.record(f"client: {ident} to edge-{host.number}: {status}{text}")
        return status

    async def prompt(self, host, adapter):
        headers = {"Model": f"m/{adapter}", "Token-Usage": "20,10", "Prompt-Prefix": f"a:10,{self.numbers + 16:x}:10"}
        return await self.send(host, "POST", "/text/x", headers, b"hello")

    def close(self):
        for it in self.hosts:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        for it in self.engines:
            it.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder):
    """Runs a case. It returns True if the rule was kept. The exit code is 0 then, 1 if not, and 2 if it couldn't run."""
    async def play():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), 110)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            world.record(f"the case could not run: {error!r}")
            return None
        finally:
            world.close()
    if not os.path.exists(os.path.join(ROOT, COMMAND)):
        print("not built:", COMMAND)
        sys.exit(2)
    kept = asyncio.run(play())
    print({True: "rule kept", False: "RULE BROKEN", None: "could not run"}[kept])
    sys.exit({True: 0, False: 1, None: 2}[kept])
