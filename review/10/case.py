"""BUDGET: a request that crashes engines is not recognised when it comes again with another trace id."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in_2"))

import world as stand_in

CONTACT_S = stand_in.BOUNDS["contact_ms"] / 1000

# Time after which an engine that has ended is back.
DOWN_S = 2.0

TRIES, TRY_INTERVAL_S = 40, 0.5
SOUND_INTERVAL_S = 0.04
TIMEOUT_MS = 2500
DEADLY_BODY = b'{"gate": 13}'

ROUTES = [{"name": "barrier", "hostname": "gate.example", "path_prefix": "/barrier/", "kind": "non_idempotent", "timeout_ms": TIMEOUT_MS,
           "goal_ms": 150, "priority": 1, "service": "lango", "max_attempts": 2}]
SERVICES = [{"name": "lango", "max_conns": 100}]
ENGINES = [("lango", zone, 6) for zone in ("dar-a", "dar-b", "dar-c")] * 2

crashes, arrivals, sent, sound = [], [], [0], []


async def run(world, engine, method, target, headers, body, writer):
    if body == DEADLY_BODY:
        arrivals.append(world.record.now())
        if stand_in.is_troubled():
            world.record.add(f"engine {engine.id} begins to run request {headers['request-id']}, which crashes it")
            crashes.append(world.record.now())
            engine.crash(DOWN_S)
            return
    await asyncio.sleep(0.06)
    writer.write(engine.answer(headers, b"logged"))


async def send(world, host, body, caller):
    sent[0] += 1
    number = f"{sent[0]:016x}"
    # As tracing libraries send them with each request.
    trace = {"X-B3-TraceId": os.urandom(8).hex(), "X-B3-SpanId": os.urandom(8).hex(), "X-B3-Sampled": "1"}
    headers = {"Host": "gate.example", "Request-Id": number, "Timeout-Ms": str(TIMEOUT_MS), "User-Agent": caller, **trace}
    if os.environ.get("TRACE") == "0":
        headers = {name: value for name, value in headers.items() if name not in trace}
    at = world.record.now()
    answer = await stand_in.request(host.ip, world.ports[0], "POST", "/barrier/open", headers, body, TIMEOUT_MS / 1000 + 1)
    status = answer[0] if answer else "no answer"
    world.record.add(f"request {number} of {caller} to {host.name}, sent at {at:.3f}: {status}")
    if body != DEADLY_BODY:
        sound.append(status)


async def send_sound(world):
    number = 0
    while True:
        number += 1
        host = world.hosts[number % len(world.hosts)]
        world.spawn(send(world, host, b'{"gate": 2, "ticket": %d}' % number, "gate-2"))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def case(world):
    if not await world.start(ROUTES, SERVICES, ENGINES):
        return 2
    world.spawn(send_sound(world))
    await asyncio.sleep(CONTACT_S + 1)
    for number in range(TRIES):
        world.spawn(send(world, world.hosts[number % len(world.hosts)], DEADLY_BODY, "gate-13"))
        await asyncio.sleep(TRY_INTERVAL_S)
    await asyncio.sleep(CONTACT_S)
    counted = [it for it in arrivals if len(crashes) >= 3 and it > crashes[2] + CONTACT_S]
    lost = [it for it in sound if it in (502, "no answer")]
    text = (f"{len(crashes)} crashes; tries that reached engines more than {CONTACT_S} s after the third: {len(counted)} (3 allowed); "
            f"sound requests: {len(sound)}, of them {len(lost)} lost and {sound.count(503)} refused")
    world.record.add(text)
    print(text)
    return 1 if len(counted) > 3 else 0


sys.exit(asyncio.run(stand_in.play(case, run)))
