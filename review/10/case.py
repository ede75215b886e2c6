"""A version of the configuration adds a route and gives a model another size. Checks that the requests on
the later route are served like those on the first one."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit-2"))
import engines
import kit

GATEWAYS, SERVERS, CLIENTS = 2, 8, 3   # clients of each route
FORMER, LATER = 2, 3                   # size of the second model
SETTLE_S, COUNT_S = 20, 10
LEAST_REQUESTS = 20                    # CONFIG: "get 20 or more requests on routes that were added later"


def models(size):
    return [("m0", 2, 12.0, 1.1), ("m1", size, 12.0, 1.1)]


async def case(record, trouble, folder, running):
    store = kit.Store()
    running.append(store)
    await store.start()
    fleet = engines.Fleet(store, record, "verifier-llm", models(FORMER))
    running.append(fleet)
    for number in range(SERVERS):
        await fleet.add(f"i-{number}")
    options = {"timeout-ms": 8000, "target-gap-ms": 300, "session-affinity": True, "stream-resume": True}
    first = kit.route("first", "/first/", "verifier-llm", "streaming", **options)
    added = kit.route("later", "/later/", "verifier-llm", "streaming", **options)
    store.put("config", "main", kit.configuration(
        1, [engines.engine_service("verifier-llm", models(FORMER))], [first]))
    gateways = [kit.Gateway(1, "z1", store.address, folder)]
    gateways.append(kit.Gateway(2, "z1", store.address, folder, seeds=[gateways[0].mesh]))
    running.extend(gateways)
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise RuntimeError("a gateway is not ready")
    await asyncio.sleep(5)  # groups are formed before the traffic starts

    ending = asyncio.Event()
    counting = [False]
    asked, served = {"first": 0, "later": 0}, {"first": 0, "later": 0}

    async def client(number, path, model):
        turn = 0
        while not ending.is_set():
            turn += 1
            attempt = f"{path}-{number}-{turn}"
            counts, whole = counting[0], False
            try:
                status, _, body = await asyncio.wait_for(kit.fetch(
                    gateways[turn % GATEWAYS].listen, "POST", f"/{path}/x",
                    {"Attempt-Id": attempt, "Deadline-Ms": "8000", "Model": model, "Token-Usage": "100,25",
                     "Prefix-Hash": "5c1e07a2:40,91bd3f06:60", "Authorization": "Bearer key-one-of-t1"}, b"draft"), 10)
                whole = status == 200 and body == engines.whole_stream(attempt)
                record(f"client: {attempt} is answered {status}, {'whole' if whole else repr(body[:40])}")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                record(f"client: {attempt} has no answer ({error!r})")
            if counts:
                asked[path] += 1
                served[path] += whole
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(n, "first", "m0")) for n in range(CLIENTS)]
    await asyncio.sleep(3)
    size = LATER if trouble else FORMER
    record(f"the operator writes version 2: a route is added, m1 has size {size}")
    fleet.models = {name: (count, load, warm) for name, count, load, warm in models(size)}
    store.put("config", "main", kit.configuration(
        2, [engines.engine_service("verifier-llm", models(size))], [first, added]))
    await asyncio.sleep(2)  # config-apply-ms
    clients += [asyncio.create_task(client(n, "later", "m1")) for n in range(CLIENTS)]
    await asyncio.sleep(SETTLE_S)
    counting[0] = True
    await asyncio.sleep(COUNT_S)
    ending.set()
    await asyncio.gather(*clients)
    for name, engine in fleet.engines.items():
        record(f"{name}: group {engine.group}, members {engine.members}, model {engine.model}")
    record(f"asked {asked}, served {served}; PARTIAL: {fleet.partial}; TWO: {fleet.two}")
    if not served["first"] or asked["later"] < LEAST_REQUESTS:
        raise RuntimeError("too little was served or asked")
    share = {path: served[path] / asked[path] for path in asked}
    if share["later"] < share["first"] / 4:
        return [f"CONFIG: {served['later']} of {asked['later']} requests on the later route were served, "
                f"{served['first']} of {asked['first']} on the first one, {SETTLE_S} s after the version and later"]
    return []


kit.play(__file__, case)
