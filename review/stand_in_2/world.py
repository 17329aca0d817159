"""Stand-ins of a small deployment on loopback: the platform's store, engines, and callers. The hosts are the project's own
program, started as separate processes with the command and the settings template of the deploy file.

They follow the users' pages and use the Python standard library only."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import traceback
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))

# Maximum run time of a script in seconds.
MAX_RUN_S = 115

# Zones of the hosts, as in the users' smallest installation.
HOST_ZONES = ["dar-a", "dar-a", "dar-b", "dar-c"]

LIMITS = {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000}


BOUNDS = {
    "contact_ms": 3000, "drain_ms": 2000, "config_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54,
    "lease_ms": 3000, "ceiling_window_s": 5, "grace_s": 8, "recover_s": 12,
}


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_head(reader):
    """Reads a request or response head; `None` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers, body=b""):
    reasons = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection as the kernel does when a process dies with unread bytes."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.kinds = {}
        self.revision = 10
        self.events = []
        self.changed = asyncio.Condition()
        self.servers = []
        self.writers = set()
        self.is_down = False

    def go_down(self):
        """Resets all connections, also new ones, until the store comes back."""
        self.is_down = True
        for it in list(self.writers):
            reset(it)

    def come_back(self):
        self.is_down = False

    async def start(self):
        self.addr = await self.listen({})

    async def listen(self, paths):
        """Opens a port of the store. On it, the addresses of engines are those of proxies in front of them: a host that uses
        the port has a network path of its own to each engine."""
        def serve(reader, writer):
            return self.serve(reader, writer, paths)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer, paths):
        if self.is_down:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, value = await self.call(method, url.path, query, json.loads(body) if body else None)
                text = json.dumps(value)
                for addr, path in paths.items():
                    text = text.replace(f'"{addr}"', f'"{path}"')
                text = text.encode()
                writer.write(response(status, {"Content-Type": "application/json"}, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, path, query, body):
        parts = [urllib.parse.unquote(it) for it in path.split("/")[3:]]
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        await asyncio.sleep(0.004)
        if len(parts) == 1 and method == "GET":
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
            names = sorted(it for it in objects if it > query.get("after", ""))
            return 200, {"items": [objects[it] for it in names], "has_more": False, "as_of": self.revision}
        if len(parts) == 1 and method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, await self.put(kind, name, body.get("spec"))
        name = parts[1]
        if name not in objects:
            return 404, {}
        if method == "GET":
            return 200, objects[name]
        expected = query.get("rev") if method == "DELETE" else body["metadata"].get("rev")
        if expected is not None and int(expected) != objects[name]["metadata"]["rev"]:
            return 409, objects[name]
        if method == "DELETE":
            return 200, await self.delete(kind, name)
        return 200, await self.put(kind, name, body.get("spec"))

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                found = [it for rev, of, it in self.events if of == kind and rev > since]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "as_of": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        metadata = {"name": name, "rev": self.revision, "created": 0, "finalizers": [], "deleting": False}
        objects[name] = {"metadata": metadata, "spec": spec, "status": None}
        await self.emit(kind, objects[name], False)
        return objects[name]

    async def delete(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is None:
            return {}
        self.revision += 1
        gone = {**gone, "metadata": {**gone["metadata"], "rev": self.revision}}
        await self.emit(kind, gone, True)
        return gone

    async def emit(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()


class Engine:
    """An engine or an instance of a plain service, which listens at one address all the time that it is up."""

    def __init__(self, world, number, service, zone, slots, version):
        self.world = world
        self.id = f"i-{number:08x}"
        self.service, self.zone, self.slots, self.version = service, zone, slots, version
        self.state = "ready"
        self.port = None
        self.server = None
        self.writers = set()
        self.born = 0
        self.beat = 0
        self.falls = 0

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.register()

    def entry(self):
        return {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.beat, "born": self.born,
                **({"stage": "both", "models": self.world.models} if self.world.models else {})}

    async def register(self):
        self.beat += 1
        await self.world.store.put("servers", self.id, self.entry())

    async def send_beats(self):
        await asyncio.sleep(random.uniform(0.0, 1.2))
        while True:
            await asyncio.sleep(1.2)
            if self.server is not None:
                await self.register()

    async def drain(self):
        """Reports to the store that the engine drains."""
        self.state = "draining"
        await self.register()

    async def leave(self):
        """Ends the process of an engine that has drained."""
        server, self.server = self.server, None
        server.close()
        for it in list(self.writers):
            reset(it)
        await self.world.store.delete("servers", self.id)

    def crash(self, down_s):
        """Ends the engine at once. It is back under its id after `down_s`."""
        if self.server is None:
            return
        self.falls += 1
        self.world.record.add(f"engine {self.id} ends")
        server, self.server = self.server, None
        server.close()
        for it in list(self.writers):
            reset(it)
        self.world.spawn(self.come_back(down_s))

    async def come_back(self, down_s):
        await asyncio.sleep(down_s)
        await self.start()
        self.world.record.add(f"engine {self.id} is back")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(response(421, {"Instance-Id": self.id}))
                elif target == "/-/report":
                    report = {"stage": "both", "models": self.world.models, "busy": False, "seq": 0, "queued": 0, "running": 0, "kv_used": 0,
                              "kv_total": 142398, "handles": 0, "pending": [], "born": self.born}
                    writer.write(response(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
                elif target.startswith("/-/") or target == "/healthz":
                    writer.write(response(200, {"Instance-Id": self.id}))
                else:
                    await self.world.run(self, method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, headers, body, more=None):
        return response(200, {"Request-Id": headers.get("request-id", ""), "Response-Seal": f"{self.id}.{self.born}",
                              "Instance-Id": self.id, **(more or {})}, body)


class Proxy:
    """Network path from one host to one engine. While it is cut, it passes no bytes and accepts no connection."""

    def __init__(self, port):
        self.port = port
        self.own_port = 0
        self.is_cut = False
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.own_port)
        self.own_port = self.server.sockets[0].getsockname()[1]
        self.addr = "127.0.0.1:%d" % self.own_port

    def cut(self, how):
        """Resets all connections. New ones are refused, or opened and then reset, or opened and silent."""
        self.is_cut, self.how = True, how
        self.open.clear()
        if how == "refuse":
            self.server.close()
        if how != "silent":
            for it in list(self.writers):
                reset(it)

    async def heal(self):
        self.is_cut = False
        self.open.set()
        if self.how == "refuse":
            await self.start()

    async def serve(self, reader, writer):
        if self.is_cut:
            if self.how == "silent":
                await self.open.wait()
            reset(writer)
            return
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, to_writer}
        await asyncio.gather(self.pump(reader, to_writer), self.pump(to_reader, writer), return_exceptions=True)
        self.writers -= {writer, to_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class Host:
    """An entry host: one process of the project's own program."""

    def __init__(self, world, number, zone):
        self.world, self.zone = world, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{world.network}.{number}"
        self.process = None
        self.started_at = 0.0
        self.store_addr = None

    def fields(self, first):
        ports = self.world.ports
        return {
            "node": self.name, "role": "entry", "class": "edge", "ip": self.ip, "zone": self.zone, "bootstrap": first,
            "listen": {"front": f"{self.ip}:{ports[0]}", "ready": f"{self.ip}:{ports[1]}", "control": f"{self.ip}:{ports[2]}"},
            "port_range": [ports[3], ports[4]],
            "seeds": [f"{self.world.network}.{it}:{ports[2]}" for it in (1, 2, 3)],
            "limits": {"memory_mb": 390}, "bounds": BOUNDS, "platform": {"addr": self.store_addr or self.world.store.addr},
        }

    def start(self, first=False):
        settings = os.path.join(self.world.folder, f"{self.name}.yaml")
        template = open(os.path.join(REPOSITORY, "deploy", "settings.yaml"), encoding="utf-8").read()
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(template, self.fields(first)))
        command = deploy_command()
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(command, cwd=REPOSITORY, env={"COMFREYWING_CONFIG": settings, "PATH": os.environ["PATH"]},
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.started_at = self.world.record.now()
        self.world.record.add(f"host {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.world.record.add(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await request(self.ip, self.world.ports[1], "GET", "/-/readyz", {}, b"", 1.0)
        return answer is not None and answer[0] == 200

    async def wait_until_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


def deploy_command():
    text = open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8").read()
    return re.search(r'^run = "(.*)"$', text, re.M).group(1).split(" ")


def render(template, fields):
    """Fills in a settings template, as DEPLOY.md tells for its plain placeholders."""
    def value(match):
        name, as_json = match.group(1), match.group(2)
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if as_json:
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value, template)


async def request(ip, port, method, target, headers, body, limit_s):
    """Sends a request on a new connection. Returns status, headers and body, or `None` without a complete answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            if "Host" not in headers:
                lines.append(f"Host: {ip}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                return None
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def free_ports(count):
    """Ports for the hosts. Each run has addresses of its own, so they are free there."""
    held, ports = [], []
    for _ in range(count):
        it = socket.socket()
        it.bind(("127.0.0.1", 0))
        held.append(it)
        ports.append(it.getsockname()[1])
    for it in held:
        it.close()
    return ports


class World:
    def __init__(self, record_path, run, apart=None):
        self.record = Record(record_path)
        self.run_request = run
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = free_ports(5)
        # Runs at the same time have addresses of their own.
        self.network = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}"
        self.store = Store()
        self.engines, self.hosts, self.tasks = [], [], set()
        self.engine_count = 0
        self.models = []
        self.proxies = []
        self.apart = apart

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self, engine, method, target, headers, body, writer):
        await self.run_request(self, engine, method, target, headers, body, writer)

    async def start(self, routes, services, engines):
        """Starts the store, the engines (service, zone and slots of each) and the hosts. Returns whether the hosts are ready."""
        config = {"version": 4, "routes": routes, "services": services, "limits": LIMITS}
        await self.store.start()
        await self.store.put("config", "main", config)
        for service, zone, slots in engines:
            self.engines.append(await self.add_engine(service, zone, slots))
        for number, zone in enumerate(HOST_ZONES):
            self.hosts.append(Host(self, number + 1, zone))
        if self.apart is not None:
            await self.set_apart(self.hosts[self.apart])
        for it in self.hosts:
            it.start(first=True)
        return await self.are_ready()

    async def are_ready(self):
        """Waits until all hosts are ready."""
        late = [it.name for it in self.hosts if not await it.wait_until_ready()]
        if late:
            print(f"not ready: {', '.join(late)}")
        return not late

    async def add_engine(self, service, zone, slots, version="1.0"):
        self.engine_count += 1
        it = Engine(self, 0x1a00 + self.engine_count, service, zone, slots, version)
        await it.start()
        self.spawn(it.send_beats())
        return it

    async def set_apart(self, host):
        """Gives a host network paths of its own to all engines."""
        paths = {}
        for it in self.engines:
            proxy = Proxy(it.port)
            await proxy.start()
            self.proxies.append(proxy)
            paths[f"127.0.0.1:{it.port}"] = proxy.addr
        host.store_addr = await self.store.listen(paths)

    def end(self):
        for it in self.hosts:
            if it.process is not None and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        for it in list(self.tasks):
            it.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


async def play(case, run, apart=None):
    """Starts the stand-ins, lets `case` run with them, and ends all processes. Returns the exit code: 1 if the rule was
    broken, 0 if it held, and 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(case.__code__.co_filename))
    if not os.path.exists(os.path.join(REPOSITORY, deploy_command()[0])):
        print("the program of the deploy file has not been built")
        return 2
    world = World(os.path.join(folder, "record.txt"), run, apart)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
    try:
        return await asyncio.wait_for(case(world), MAX_RUN_S)
    except asyncio.TimeoutError:
        print("the case took too long")
        return 2
    except asyncio.CancelledError:
        print("the case was interrupted")
        return 2
    except Exception:
        # Exit code 1 would say that the rule was broken.
        traceback.print_exc()
        return 2
    finally:
        world.end()
