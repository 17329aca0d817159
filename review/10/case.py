"""BUDGET: a part of prompts that crashes engines is counted apart for each number of parts before it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in_2"))

import world as stand_in

CONTACT_S = stand_in.BOUNDS["contact_ms"] / 1000
DOWN_S = 2.0
DEADLY = "dead0001:140"
REQUESTS, REQUEST_INTERVAL_S = 16, 3.5
SOUND_INTERVAL_S = 0.1
EVENTS, EVENT_INTERVAL_S = 15, 0.06
TIMEOUT_MS = 15000

# Number of places in the prompt at which the part comes, from the first on.
PLACES = int(os.environ.get("PLACES", "5"))

ROUTES = [{"name": "brief", "hostname": "signs.example", "path_prefix": "/brief/", "kind": "stream", "resumable": False, "timeout_ms": TIMEOUT_MS,
           "goal_ms": 800, "gap_target_ms": 250, "priority": 1, "service": "lugha", "max_attempts": 1}]
SERVICES = [{"name": "lugha", "max_conns": 360, "engine": {
    "slots": 64, "kv_capacity": 142398, "weights_mb": 67600.0, "adapter_slots": 20, "loads_per_s": 4.5,
    "models": [{"name": "m0", "weights_mb": 65500.0, "load_s": 2.9, "adapters": 10, "adapter_mb": 40.0}]}}]
ENGINES = [("lugha", zone, 64) for zone in ("dar-a", "dar-b", "dar-c")] * 2

crashes, arrivals, sent, outcomes = [], [], [0], {}


async def run(world, engine, method, target, headers, body, writer):
    prefix = headers["prompt-prefix"]
    if DEADLY in prefix.split(","):
        arrivals.append(world.record.now())
        if stand_in.is_troubled():
            world.record.add(f"engine {engine.id} begins to answer request {headers['request-id']} ({prefix}), which crashes it")
            crashes.append(world.record.now())
            engine.crash(DOWN_S)
            return
    head = ["HTTP/1.1 200 OK", f"Request-Id: {headers['request-id']}", f"Response-Seal: {engine.id}.{engine.born}",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_INTERVAL_S)
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def send(world, host, parts, what):
    sent[0] += 1
    number = f"{sent[0]:016x}"
    parts = [*parts, f"{0xa0000000 + sent[0]:x}:100"]
    tokens = sum(int(it.split(":")[1]) for it in parts)
    headers = {"Host": "signs.example", "Request-Id": number, "Timeout-Ms": str(TIMEOUT_MS), "Model": "m0",
               "Token-Usage": f"{tokens},45", "Prompt-Prefix": ",".join(parts)}
    at = world.record.now()
    answer = await stand_in.request(host.ip, world.ports[0], "POST", "/brief/now", headers, b"prompt", TIMEOUT_MS / 1000 + 1)
    status = answer[0] if answer else "broken off"
    outcomes.setdefault(what, []).append(status)
    world.record.add(f"request {number} ({what}) to {host.name}, sent at {at:.3f}: {status} after {world.record.now() - at:.3f} s")


def sound_parts(number):
    return ["11110001:350", f"{0x22220000 + number % 5:x}:140", "44440001:60", "44440002:60"]


async def send_sound(world):
    number = 0
    while True:
        number += 1
        world.spawn(send(world, world.hosts[number % len(world.hosts)], sound_parts(number), "sound"))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def case(world):
    world.models = [{"name": "m0", "version": 1, "adapters": []}]
    if not await world.start(ROUTES, SERVICES, ENGINES):
        return 2
    world.spawn(send_sound(world))
    await asyncio.sleep(CONTACT_S + 1)
    for number in range(REQUESTS):
        parts = [*sound_parts(number)[:number % PLACES], DEADLY]
        world.spawn(send(world, world.hosts[number % len(world.hosts)], parts, "with the part"))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    counted = [it for it in arrivals if len(crashes) >= 5 and it > crashes[4] + CONTACT_S]
    sound = outcomes["sound"]
    text = (f"{len(crashes)} crashes; requests with the part that reached engines more than {CONTACT_S} s after the fifth: {len(counted)} (3 allowed); "
            f"sound streams: {len(sound)}, of them {sound.count('broken off')} broken off, {sound.count(503)} refused")
    world.record.add(text)
    print(text)
    return 1 if len(counted) > 3 else 0


sys.exit(asyncio.run(stand_in.play(case, run)))
