"""BUDGET: no host remembers a request that crashes engines after the processes of all hosts were killed at the same moment."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in_2"))

import world as stand_in

CONTACT_S = stand_in.BOUNDS["contact_ms"] / 1000
DOWN_S = 2.0

# The request comes again this often, then not for some time, then again.
TRIES, TRY_INTERVAL_S = 15, 0.1
SOUND_INTERVAL_S = 0.1
RESTART_S = 1.0
TIMEOUT_MS = 2500
DEADLY_BODY = b'{"gate": 13}'

ROUTES = [{"name": "barrier", "hostname": "gate.example", "path_prefix": "/barrier/", "kind": "non_idempotent", "timeout_ms": TIMEOUT_MS,
           "goal_ms": 150, "priority": 1, "service": "lango", "max_attempts": 2}]
SERVICES = [{"name": "lango", "max_conns": 100}]
ENGINES = [("lango", zone, 6) for zone in ("dar-a", "dar-b", "dar-c")] * 3

crashes, arrivals, sent, sound = [], [], [0], []


async def run(world, engine, method, target, headers, body, writer):
    if body == DEADLY_BODY:
        arrivals.append(world.record.now())
        world.record.add(f"engine {engine.id} begins to run request {headers['request-id']}, which crashes it")
        crashes.append(world.record.now())
        engine.crash(DOWN_S)
        return
    await asyncio.sleep(0.06)
    writer.write(engine.answer(headers, b"logged"))


async def send(world, host, body):
    sent[0] += 1
    number = f"{sent[0]:016x}"
    headers = {"Host": "gate.example", "Request-Id": number, "Timeout-Ms": str(TIMEOUT_MS)}
    at = world.record.now()
    answer = await stand_in.request(host.ip, world.ports[0], "POST", "/barrier/open", headers, body, TIMEOUT_MS / 1000 + 1)
    status = answer[0] if answer else "no answer"
    world.record.add(f"request {number} {body.decode()} to {host.name}, sent at {at:.3f}: {status}")
    if body != DEADLY_BODY:
        sound.append((at, status))


async def send_sound(world):
    number = 0
    while True:
        number += 1
        host = world.hosts[number % len(world.hosts)]
        world.spawn(send(world, host, b'{"gate": 2, "ticket": %d}' % number))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def send_deadly(world):
    for number in range(TRIES):
        world.spawn(send(world, world.hosts[number % len(world.hosts)], DEADLY_BODY))
        await asyncio.sleep(TRY_INTERVAL_S)
    await asyncio.sleep(CONTACT_S)


async def case(world):
    if not await world.start(ROUTES, SERVICES, ENGINES):
        return 2
    world.spawn(send_sound(world))
    await asyncio.sleep(CONTACT_S + 1)
    await send_deadly(world)
    if len(crashes) < 3:
        print("the request has not crashed three engines")
        return 2
    third = crashes[2]
    await asyncio.sleep(max(0.0, third + CONTACT_S + 1 - world.record.now()))
    killed_at = world.record.now()
    if stand_in.is_troubled():
        for it in world.hosts:
            it.signal(signal.SIGKILL)
        for it in world.hosts:
            it.process.wait()
        await asyncio.sleep(RESTART_S)
        for it in world.hosts:
            it.start()
    started_at = world.record.now()
    if not all([await it.wait_until_ready() for it in world.hosts]):
        return 2
    in_touch_at = started_at + CONTACT_S
    await asyncio.sleep(max(0.0, in_touch_at + 1 - world.record.now()))
    await send_deadly(world)
    counted = [it for it in arrivals if it > third + CONTACT_S and not killed_at <= it <= in_touch_at]
    lost = [it for it in sound if it[0] > in_touch_at and it[1] in (502, "no answer")]
    text = (f"{len(crashes)} crashes; tries that reached engines, sent in touch more than {CONTACT_S} s after the third: {len(counted)} (3 allowed); "
            f"sound requests lost after the restart: {len(lost)}")
    world.record.add(text)
    print(text)
    return 1 if len(counted) > 3 else 0


sys.exit(asyncio.run(stand_in.play(case, run)))
