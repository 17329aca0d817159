"""An engine turns slow just after a new version of an adapter is announced."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_in_3"))

import world
from world import TROUBLE, message

VERSION_S = 5
ENGINES = 6
SLOTS = 12
EVENTS = 57
EVENT_S = 0.02
# One of six engines does its work five times slower for 6.5 s.
SLOW = 5
SLOW_S = 6.5


class QueueingEngine(world.Engine):
    """An engine with slots, and a queue for further requests. A request begins with its first token, on the version that
    the engine holds then."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.free = asyncio.Semaphore(self.slots)
        self.slowness = 1
        self.begun = []

    async def work(self, method, target, headers, body, writer):
        ident, model = headers["request-id"], headers["model"]
        adapter = model.split("/")[1]
        common = {"Request-Id": ident}
        expected = headers.get("expect-version")
        if adapter not in self.adapters or expected not in (None, str(self.adapters[adapter])):
            self.record(f"engine {self.ident}: {ident} for {model}, version {expected} expected: 421")
            return self.send(writer, 421, {**common, "Not-Executed": 1, "Instance-Id": self.ident})
        self.record(f"engine {self.ident}: {ident} arrives for {model}, version {expected} expected")
        async with self.free:
            if writer.is_abandoned():
                self.record(f"engine {self.ident}: {ident} is dropped, since its channel is closed")
                return False
            version = self.adapters[adapter]
            self.begun.append((self.record.now(), ident, version))
            self.record(f"engine {self.ident}: {ident} begins on version {version}")
            head = {**common, "Response-Seal": f"{ident}.{self.ident}", "Weight-Versions": version}
            head |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            writer.write(message("HTTP/1.1 200 OK", head))
            for it in range(int(headers.get("last-event-id", -1)) + 1, EVENTS):
                event = f"id: {it}\ndata: token {it}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_S * self.slowness)
            writer.write(b"0\r\n\r\n")
        return True


async def case(play):
    # Streams that may not be resumed, so no other engine may run the request.
    route = world.stream_route("text", "/text/", "llm")
    routes = [{**route, "resumable": False, "max_attempts": 1, "timeout_ms": 25000}]
    await play.start_store(world.config(1, routes, [world.engine_service("llm", slots=SLOTS)]))
    versions = {"model": "m", "adapter": "a1", "version": 1}
    await play.store.put("versions", "m.a1", versions)
    for number in range(ENGINES):
        it = QueueingEngine(play.record, play.store, f"i-{number}", "llm", model="m", slots=SLOTS)
        await it.start()
        play.engines.append(it)
    await play.start_hosts(2)
    await asyncio.sleep(4)

    def ask(number):
        headers = {"Model": "m/a1", "Token-Usage": "20,200", "Prompt-Prefix": f"a:10,{number + 16:x}:10", "Timeout-Ms": 25000}
        return asyncio.create_task(play.send(play.hosts[number % 2], "POST", "/text/x", headers, b"{}", 16))

    # The adapter is in use, so that the hosts know how long its streams last.
    for number in range(12):
        await ask(number)
    holders = [it for it in play.engines if "a1" in it.adapters]
    play.record(f"a1 is at {[it.ident for it in holders]}")
    running = [ask(it) for it in range(SLOTS)]
    await asyncio.sleep(0.1)
    await play.store.put("versions", "m.a1", {**versions, "version": 2})
    announced = play.record.now()
    play.record("version 2 of a1 is confirmed")
    if TROUBLE:
        holders[0].slowness = SLOW
        play.record(f"engine {holders[0].ident} turns slow")
    await asyncio.sleep(0.6)
    running += [ask(it) for it in range(4)]
    await asyncio.sleep(SLOW_S - 0.6)
    holders[0].slowness = 1
    await asyncio.gather(*running)
    late = [
        (ident, at - announced)
        for engine in play.engines
        for at, ident, version in engine.begun
        if version < 2 and at > announced + VERSION_S
    ]
    for ident, after in late:
        play.record(f"{ident} begins on version 1, {after:.2f} s after version 2 was confirmed")
    print(f"begun on the older version too late: {len(late)}")
    return not late


world.run(case, FOLDER)
