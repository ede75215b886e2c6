"""An order to join that is carried out late, after a planned hand-over of the lease, at a member of a group
that the new holder has adopted and opened."""
import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit-3"))
import kit

# The sheet: models of 2 servers, loaded in 12 s, from the host in 1.1 s.
MODELS = {"m": (2, 12.0, 1.1)}
# The pages: a late order is carried out 2 to 12 s later.
LATE_S = 5.0
# The cut ends so long after the signal to stop; it lasts some 5 s in all.
HEALED_AFTER_S = 1.5


def holder_of(store, gateways):
    lease = [entry for (kind, _), entry in store.objects.items() if kind == "gateway-leases"]
    name = lease[0]["spec"].get("holder", "") if lease else ""
    return next((gateway for gateway in gateways if gateway.name == name), None)


async def callers(gateways, record, stop):
    number = 0
    async def one(gateway, attempt):
        record(f"client sends {attempt} to {gateway.name}")
        status, _, body = await kit.call(gateway.listen, "/s/x", attempt, "m")
        whole = body.endswith(b"0\r\n\r\n")
        record(f"client: {attempt} ends with {status or 'no answer'}{', whole' if whole else ''}")
    while not stop.is_set():
        number += 1
        gateway = gateways[number % len(gateways)]
        if gateway.process.poll() is None and await kit.is_ready(gateway):
            asyncio.create_task(one(gateway, f"a{number:05d}"))
        await asyncio.sleep(0.1)


async def main(record, directory, trouble):
    store = kit.Store()
    await store.start()
    await store.put("config", "main", kit.configuration(
        [kit.route("/s/", "streaming", "llm", 8000, 400, resume=True)], [kit.engine_service(MODELS)]))
    fleet, stop = {}, asyncio.Event()
    engines = []
    async def add(name):
        engine = kit.Engine(store, record, fleet, name, "d1", MODELS)
        engines.append(engine)
        await engine.start()
        return engine
    for name in ("i-1", "i-2"):
        await add(name)
    gateways = [kit.Gateway(directory, f"edge-{n}", "z1", store.port) for n in (1, 2, 3)]
    seeds = [f"127.0.0.1:{gateway.mesh}" for gateway in gateways]
    for gateway in gateways:
        gateway.settings["seed-nodes"] = seeds
        gateway.start()
    load = None
    try:
        if not await kit.wait_for(lambda: all(e.group and e.group["phase"] in ("open", "ready") for e in engines) and
                                  any(e.group["phase"] == "open" for e in engines), 30):
            record("the first group did not open")
            return 2
        load = asyncio.create_task(callers(gateways, record, stop))
        await asyncio.sleep(15)
        record("planned: three servers are added")
        added = [await add(name) for name in ("i-3", "i-4", "i-5")]
        found = asyncio.get_running_loop().create_future()
        async def on_order(engine, order, status):
            if order["operation"] == "join" and status == 202 and order["members"][0] == engine.name and not found.done():
                found.set_result(engine)
        for engine in added:
            engine.on_order = on_order
        head = await asyncio.wait_for(found, 40)
        await asyncio.sleep(0.4)
        record(f"group of {head.group['members']} is being formed, its head is {head.name}, {head.group['phase']}")
        other = fleet[head.group["members"][1]]
        group = head.group["name"]
        leader = holder_of(store, gateways)
        record(f"the lease is held by {leader.name}")
        if trouble:
            await head.cut(10)
            late = asyncio.Event()

            def is_late(order):
                """One order, the first to join another group, is late."""
                if order["operation"] == "join" and order["group"] != group and not late.is_set():
                    late.set()
                    return LATE_S
                return None
            other.late = is_late
            try:
                await asyncio.wait_for(late.wait(), 9)
            except asyncio.TimeoutError:
                record("no order to join another group came to " + other.name)
                return 0
            head.end_cut(HEALED_AFTER_S)
        record(f"planned: SIGTERM to {leader.name}, which holds the lease")
        leader.signal(signal.SIGTERM)
        await asyncio.sleep(14)
        faults = [fault for engine in engines for fault in engine.faults]
        for fault in faults:
            record("broken: " + fault)
        return 1 if faults else 0
    finally:
        stop.set()
        if load:
            load.cancel()
        for gateway in gateways:
            gateway.end()
        for engine in engines:
            engine.end()


sys.exit(kit.run_case(main))
