"""RECOVER: a host that is partitioned from all engines passes no request on if the path still opens connections."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_in_2"))

import world as stand_in

CONTACT_S = stand_in.BOUNDS["contact_ms"] / 1000
BEFORE_S, CUT_S, AFTER_S = 6.0, 12.0, 3.0
INTERVAL_S = 0.2
TIMEOUT_MS = 2500

# What becomes of a connection that is opened during the cut: `reset` at once, or `silent`. With `refuse` none is opened.
HOW = os.environ.get("HOW", "reset")


def route(name, kind):
    return {"name": name, "hostname": "gate.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": TIMEOUT_MS, "goal_ms": 150,
            "priority": 1, "service": "lango", "max_attempts": 2}


ROUTES = [route("barrier", "non_idempotent"), route("count", "idempotent")]
SERVICES = [{"name": "lango", "max_conns": 100}]
ENGINES = [("lango", zone, 6) for zone in ("dar-a", "dar-b", "dar-c")]

runs, results = {}, []


async def run(world, engine, method, target, headers, body, writer):
    number = headers["request-id"]
    runs[number] = runs.get(number, 0) + 1
    await asyncio.sleep(0.03)
    writer.write(engine.answer(headers, b"logged"))


async def send(world, host, number):
    name = f"{number:016x}"
    path = "/count/now" if number % 2 else "/barrier/open"
    headers = {"Host": "gate.example", "Request-Id": name, "Timeout-Ms": str(TIMEOUT_MS)}
    at = world.record.now()
    answer = await stand_in.request(host.ip, world.ports[0], "POST", path, headers, b'{"gate": %d}' % number, TIMEOUT_MS / 1000 + 1)
    status = answer[0] if answer else "no answer"
    world.record.add(f"request {name} {path} to {host.name}, sent at {at:.3f}: {status} after {world.record.now() - at:.3f} s, {runs.get(name, 0)} runs")
    results.append((at, host, status))


async def send_all(world):
    number = 0
    while True:
        for host in world.hosts:
            number += 1
            world.spawn(send(world, host, number))
        await asyncio.sleep(INTERVAL_S)


async def case(world):
    if not await world.start(ROUTES, SERVICES, ENGINES):
        return 2
    world.spawn(send_all(world))
    await asyncio.sleep(BEFORE_S)
    cut_at = world.record.now()
    if stand_in.is_troubled():
        world.record.add(f"host {world.hosts[0].name} is partitioned from all engines ({HOW})")
        for it in world.proxies:
            it.cut(HOW)
    await asyncio.sleep(CUT_S)
    healed_at = world.record.now()
    if stand_in.is_troubled():
        world.record.add("the partition ends")
        for it in world.proxies:
            await it.heal()
    await asyncio.sleep(AFTER_S)

    counted = [it for it in results if cut_at + CONTACT_S < it[0] < healed_at - 0.5]
    here = [it[2] for it in counted if it[1] is world.hosts[0]]
    others = [it[2] for it in counted if it[1] is not world.hosts[0]]
    share_here, share_others = here.count(200) / len(here), others.count(200) / len(others)
    failed = len(here) - here.count(200)
    statuses = {str(it): here.count(it) for it in sorted(set(here), key=str)}
    text = f"served at the partitioned host: {here.count(200)} of {len(here)} {statuses}, at the others: {others.count(200)} of {len(others)}"
    world.record.add(text)
    print(text)
    is_broken = share_here < share_others * 2 / 3 and failed > 10 + len(counted) / 50
    return 1 if is_broken else 0


sys.exit(asyncio.run(stand_in.play(case, run, apart=0)))
