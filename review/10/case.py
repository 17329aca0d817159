"""DRAIN: a request that waits for its turn at an engine with a limit is sent there long after the engine has begun to drain."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in_2"))

import world as stand_in

DRAIN_S = stand_in.BOUNDS["drain_ms"] / 1000
CONTACT_S = stand_in.BOUNDS["contact_ms"] / 1000

# Requests a second that the engine in need takes from all hosts together.
LIMIT = "0.4"

# Time after the drain's acceptance at which the engine ends: `drain_ms` and a little longer.
END_S = DRAIN_S + 0.3

RUN_S = 0.2
ROUNDS = 6
TIMEOUT_MS = 10000

ROUTES = [{"name": "barrier", "hostname": "gate.example", "path_prefix": "/barrier/", "kind": "non_idempotent", "timeout_ms": TIMEOUT_MS,
           "goal_ms": 4000, "priority": 1, "service": "lango", "max_attempts": 2}]
SERVICES = [{"name": "lango", "max_conns": 100}, {"name": "lugha", "max_conns": 360}]

# Engines of another service, which only write their check-ins into the store.
OTHER_ENGINES = [("lugha", zone, 64) for zone in ("dar-a", "dar-b", "dar-c")] * 4

late, lost, sent = [], [], [0]


async def run(world, engine, method, target, headers, body, writer):
    number = headers["request-id"]
    since = world.record.now() - engine.drains_since if engine.drains_since is not None else 0.0
    world.record.add(f"engine {engine.id} runs request {number}" + (f", {since:.3f} s after the store accepted that it drains" if since else ""))
    if since > DRAIN_S:
        late.append(number)
    await asyncio.sleep(RUN_S)
    writer.write(engine.answer(headers, b"logged", {"Server-Limit": LIMIT}))


async def send(world, host):
    sent[0] += 1
    number = f"{sent[0]:016x}"
    headers = {"Host": "gate.example", "Request-Id": number, "Timeout-Ms": str(TIMEOUT_MS)}
    at = world.record.now()
    answer = await stand_in.request(host.ip, world.ports[0], "POST", "/barrier/open", headers, b'{"gate": %d}' % sent[0], TIMEOUT_MS / 1000 + 1)
    status = answer[0] if answer else "no answer"
    world.record.add(f"request {number} to {host.name}, sent at {at:.3f}: {status} after {world.record.now() - at:.3f} s")
    if status in (502, "no answer"):
        lost.append(number)


async def start_engine(world):
    engine = await world.add_engine("lango", "dar-a", 6)
    engine.drains_since = None
    world.record.add(f"engine {engine.id} starts")
    return engine


async def case(world):
    if not await world.start(ROUTES, SERVICES, OTHER_ENGINES):
        return 2
    engine = await start_engine(world)
    await asyncio.sleep(CONTACT_S + 1)
    for number in range(ROUNDS):
        hosts = [world.hosts[(number + it) % len(world.hosts)] for it in range(3)]
        # The first answer names the limit. A little longer than `contact_ms` passes until the next requests.
        await send(world, hosts[0])
        await asyncio.sleep(CONTACT_S + 1)
        if stand_in.is_troubled():
            await engine.drain()
            engine.drains_since = world.record.now()
            world.record.add(f"the store has accepted that engine {engine.id} drains")
        await asyncio.sleep(0.2)
        for host in hosts[1:]:
            world.spawn(send(world, host))
            await asyncio.sleep(0.05)
        if stand_in.is_troubled():
            await asyncio.sleep(engine.drains_since + END_S - world.record.now())
            await engine.leave()
            world.record.add(f"engine {engine.id} ends")
            engine = await start_engine(world)
        await asyncio.sleep(CONTACT_S)
    world.record.add(f"{len(late)} requests reached an engine more than {DRAIN_S} s after the store had accepted that it drains; {len(lost)} requests were lost")
    print(f"late: {len(late)} of {sent[0]} requests in {ROUNDS} rounds; lost: {len(lost)}")
    return 1 if late else 0


sys.exit(asyncio.run(stand_in.play(case, run)))
