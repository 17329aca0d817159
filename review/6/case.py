"""ORDER: streams that a host began while the store was away go on at another version after all hosts were killed."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in_2"))

import world as stand_in

CONTACT_S = stand_in.BOUNDS["contact_ms"] / 1000
TIMEOUT_MS = 15000
STREAMS = 32
EVENTS, EVENT_INTERVAL_S = 60, 0.2
RESTART_S = 1.0
TRIES, TRY_INTERVAL_S = 4, 0.6

# Time for which the fleet is left alone before the disruption.
QUIET_S = 6.0

ROUTES = [{"name": "summary", "hostname": "signs.example", "path_prefix": "/summary/", "kind": "stream", "resumable": True, "timeout_ms": TIMEOUT_MS,
           "goal_ms": 800, "gap_target_ms": 250, "priority": 1, "service": "lugha", "max_attempts": 2, "sticky": True}]
SERVICES = [{"name": "lugha", "max_conns": 360, "engine": {
    "slots": 64, "kv_capacity": 142398, "weights_mb": 67600.0, "adapter_slots": 20, "loads_per_s": 4.5,
    "models": [{"name": "m0", "weights_mb": 65500.0, "load_s": 2.9, "adapters": 10, "adapter_mb": 40.0}]}}]

sent = [0]


async def run(world, engine, method, target, headers, body, writer):
    first = int(headers.get("last-event-id", "0")) + 1
    head = ["HTTP/1.1 200 OK", f"Request-Id: {headers['request-id']}", f"Response-Seal: {engine.id}.{engine.born}",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: {engine.version} token {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")


class Stream:
    """A caller's stream, over all of its tries."""

    def __init__(self, world):
        self.world = world
        self.began_by = None
        self.builds = []
        self.last_event = 0
        self.writer = None
        self.deadline = world.record.now() + TIMEOUT_MS / 1000

    async def send(self, host):
        """Begins the stream, or takes it up. Returns the status of the answer, or `None` without one. Reads on until the end."""
        sent[0] += 1
        number = f"{sent[0]:016x}"
        left_ms = int((self.deadline - self.world.record.now()) * 1000)
        headers = {"Host": "signs.example", "Request-Id": number, "Timeout-Ms": str(left_ms), "Model": "m0",
                   "Token-Usage": "500,180", "Prompt-Prefix": f"11110001:350,{0xa0000000 + sent[0]:x}:150", "Content-Length": "0"}
        if self.last_event:
            headers.update({"Last-Event-Id": str(self.last_event), "Resumes": self.began_by})
        what = f"request {number} to {host.name}" + (f", after event {self.last_event} of {self.began_by}" if self.last_event else "")
        try:
            reader, self.writer = await asyncio.open_connection(host.ip, self.world.ports[0])
            lines = ["POST /summary/now HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            head = await asyncio.wait_for(stand_in.read_head(reader), left_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            head = None
        if head is None:
            self.world.record.add(f"{what}: no answer")
            return None
        status = int(head[0].split(" ")[1])
        self.world.record.add(f"{what}: {status}")
        if status == 200:
            self.world.spawn(self.read(reader, number))
        return status

    async def read(self, reader, number):
        try:
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                data = (await reader.readexactly(size + 2)).decode()
                for line in data.split("\n"):
                    if line.startswith("id: "):
                        self.last_event = int(line[4:])
                        self.began_by = self.began_by or number
                    if line.startswith("data: "):
                        self.builds.append(line.split(" ")[1])
                if size == 0:
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return


async def stop_and_start(world, host):
    """Planned restart of one host, as the platform does it."""
    host.signal(signal.SIGTERM)
    while host.process.poll() is None:
        await asyncio.sleep(0.05)
    host.start()
    return await host.wait_until_ready()


async def kill_all(world):
    """Kills the processes of all hosts at the same moment. They start again after a short delay. Returns whether they are ready."""
    for it in world.hosts:
        it.signal(signal.SIGKILL)
    for it in world.hosts:
        it.process.wait()
    await asyncio.sleep(RESTART_S / 2)
    world.record.add("the store is back")
    world.store.come_back()
    await asyncio.sleep(RESTART_S / 2)
    for it in world.hosts:
        it.start()
    started_at = world.record.now()
    is_ready = await world.are_ready()
    await asyncio.sleep(max(0.0, started_at + CONTACT_S + 0.5 - world.record.now()))
    return is_ready


async def case(world):
    world.models = [{"name": "m0", "version": 1, "adapters": []}]
    if not await world.start(ROUTES, SERVICES, []):
        return 2
    for number in range(6):
        await world.add_engine("lugha", stand_in.HOST_ZONES[number % 4], 64, "1.0" if number % 2 else "2.0")
    await asyncio.sleep(QUIET_S)
    host = world.hosts[0]
    # STORE=0 and KILL=0 leave out one of the two disruptions.
    goes_down = stand_in.is_troubled() and os.environ.get("STORE", "1") != "0"
    is_killed = stand_in.is_troubled() and os.environ.get("KILL", "1") != "0"
    stop = world.spawn(stop_and_start(world, host))
    await asyncio.sleep(1.0)
    if goes_down:
        world.record.add("the store is down")
        world.store.go_down()
    if not await stop:
        return 2
    await asyncio.sleep(0.5)
    streams = [Stream(world) for _ in range(STREAMS)]
    await asyncio.gather(*[it.send(host) for it in streams])
    await asyncio.sleep(2.0)
    begun = [it for it in streams if it.last_event]
    if len(begun) < 12:
        print("too few streams have begun")
        return 2
    if is_killed:
        if not await kill_all(world):
            return 2
    else:
        world.store.come_back()
        for it in begun:
            stand_in.reset(it.writer)
    # Each caller takes its stream up, and tries again at the next host.
    statuses = [None] * len(begun)
    for number in range(TRIES):
        waiting = [it for it, status in enumerate(statuses) if status != 200]
        answers = await asyncio.gather(*[begun[it].send(world.hosts[(it + 1 + number) % 4]) for it in waiting])
        for it, status in zip(waiting, answers):
            statuses[it] = status
        await asyncio.sleep(TRY_INTERVAL_S)
    await asyncio.sleep(1)
    mixed = [it for it in streams if len(set(it.builds)) > 1]
    for it in mixed:
        world.record.add(f"stream {it.began_by} holds events of versions {', '.join(sorted(set(it.builds)))}")
    text = f"{len(begun)} streams, {statuses.count(200)} of them went on; {len(mixed)} hold events of two versions (2 allowed)"
    world.record.add(text)
    print(text)
    return 1 if len(mixed) > 2 else 0


sys.exit(asyncio.run(stand_in.play(case, run)))
