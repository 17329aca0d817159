"""The weights of a split route change while streams are taken up again."""

import asyncio
import copy
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_in_3"))

import world
from world import CONFIG_MS, TROUBLE, message, read_head

STREAMS = 48
# Half of the channels of one machine are reset, after this number of events.
EVENTS_BEFORE_RESET = 2
RESET = range(0, STREAMS, 2)


async def stream(play, host, ident, headers, limit=None):
    """Reads a stream. The channel is reset after `limit` events, if it has one. Returns the status, the ids of the events,
    and whether the stream is complete."""
    ip, port = host.callers.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = {
        "Host": "site.example", "Request-Id": ident, "Model": "m", "Token-Usage": "20,10",
        "Prompt-Prefix": f"a:10,{ident[2:]}:10", "Timeout-Ms": 5000, "Content-Length": 2, **headers,
    }
    writer.write(message("POST /text/x HTTP/1.1", head, b"{}"))
    ids, is_complete = [], False
    try:
        first, answer = await read_head(reader)
        status = int(first.split(" ")[1])
        if status != 200:
            body = await world.read_body(reader, answer)
            play.record(f"client: {ident} to edge-{host.number}: {status} {body!r}")
            return status, ids, False
        while not is_complete and (limit is None or len(ids) < limit):
            size = int(await reader.readline(), 16)
            data = await reader.readexactly(size + 2)
            ids += [int(it[3:]) for it in data.split(b"\n") if it.startswith(b"id:")]
            is_complete = size == 0
    finally:
        # Resets the channel if the stream isn't complete.
        writer.transport.abort()
    seal = answer.get("response-seal")
    end = "complete" if is_complete else "channel reset"
    play.record(f"client: {ident} to edge-{host.number}: 200, sealed {seal}, events {ids}, {end}")
    return status, ids, is_complete


async def case(play):
    split = [{"service": "llm", "weight": 90}, {"service": "llm-b", "weight": 10}]
    route = world.stream_route("text", "/text/", None)
    del route["service"]
    route["split"] = split
    services = [world.engine_service(it, slots=64) for it in ("llm", "llm-b")]
    document = world.config(1, [route], services)
    await play.start_store(document)
    for number in range(3):
        for service, name in (("llm", "a"), ("llm-b", "b")):
            it = await play.add_engine(f"i-{name}{number}", service, model="m", slots=64, version=f"v-{name}")
            it.event_s = 0.3
    await play.start_hosts(2)
    await asyncio.sleep(4)
    first, second = play.hosts
    begun = [
        asyncio.create_task(stream(play, first, f"s-{it:03x}", {}, EVENTS_BEFORE_RESET if it in RESET else None))
        for it in range(STREAMS)
    ]
    await asyncio.gather(*(begun[it] for it in RESET))
    if any(begun[it].result()[0] != 200 for it in RESET):
        raise world.CannotRun("not all streams began")
    if TROUBLE:
        # Planned work: a config with other weights. Both services stay on the route.
        document = copy.deepcopy(document)
        document["version"] = 2
        document["routes"][0]["split"] = [{**split[0], "weight": 10}, {**split[1], "weight": 90}]
        await play.store.put("config", "main", document)
        play.record("the config with the weights 10 and 90 is confirmed")
    await asyncio.sleep(CONFIG_MS / 1000 + 0.2)
    last = {it: begun[it].result()[1][-1] for it in RESET}
    resumed = await asyncio.gather(
        *(
            stream(play, second, f"t-{it:03x}", {"Last-Event-Id": last[it], "Resumes": f"s-{it:03x}"})
            for it in RESET
        )
    )
    await asyncio.gather(*begun)
    new = await asyncio.gather(*(stream(play, second, f"u-{it:03x}", {}, 1) for it in range(STREAMS)))
    went_on = sum(1 for it in resumed if it[2]) / len(RESET)
    began = sum(1 for it in new if it[0] == 200) / STREAMS
    text = f"of {len(RESET)} streams taken up again, {went_on:.2f} go on; of {STREAMS} new streams, {began:.2f} begin"
    play.record(text)
    print(text)
    return went_on >= began / 2


world.run(case, FOLDER)
