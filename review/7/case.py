"""A version of the configuration removes the last tenant. Checks that no request runs whose key no
configuration ever held, and none whose key was removed."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit-2"))
import kit

GATEWAYS, SERVERS = 3, 3
CONFIG_APPLY_S = 2.0   # config-apply-ms
KEY, STRANGER = "n2ctnfzs989anu6wsjnb", "key-that-nobody-was-given"


async def case(record, trouble, folder, running):
    store = kit.Store()
    running.append(store)
    await store.start()
    servers = []
    for number in range(SERVERS):
        server = kit.Server(f"i-{number}", "desk-app", record)
        running.append(server)
        servers.append(server)
        await server.start()
        store.put("servers", server.name, server.entry())

    def version(number, tenants):
        written = kit.configuration(number, [kit.plain_service("desk-app")], [
            kit.route("read", "/archive/", "desk-app"),
            kit.route("file", "/file/", "desk-app", "non_idempotent", **{"max-attempts": 1})])
        written["tenants"] = tenants
        record(f"the operator writes version {number} with tenants {tenants}")
        store.put("config", "main", written)

    version(1, [{"name": "hule930", "api-keys": [KEY], "priority": 1}])
    gateways = []
    for number in range(GATEWAYS):
        gateways.append(kit.Gateway(number + 1, "z1", store.address, folder,
                                    seeds=[gateways[0].mesh] if gateways else None))
    running.extend(gateways)
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise RuntimeError("a gateway is not ready")

    async def ask(phase, key):
        """Asks each gateway for a read and a filing; returns the statuses."""
        statuses = []
        for number, gateway in enumerate(gateways):
            for method, path, body in (("GET", "/archive/x", None), ("POST", "/file/x", b"a notice")):
                attempt = f"{phase}-{number}-{method}"
                headers = {"Attempt-Id": attempt, "Deadline-Ms": "4000"}
                if key:
                    headers["Authorization"] = f"Bearer {key}"
                status, _, _ = await asyncio.wait_for(kit.fetch(gateway.listen, method, path, headers, body), 6)
                record(f"client: {attempt} with key {key} is answered {status}")
                statuses.append(status)
        return statuses

    if set(await ask("before", KEY)) != {200}:
        raise RuntimeError("the key does not hold before")
    await ask("before-stranger", STRANGER)
    version(2, [] if trouble else [{"name": "hule930", "api-keys": [KEY], "priority": 1}])
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    await ask("after", KEY)
    await ask("after-stranger", STRANGER)
    await ask("after-nobody", None)

    broken = []
    for server in servers:
        for _, attempt, request in server.runs:
            tenant = request["headers"].get("tenant")
            if "stranger" in attempt or "nobody" in attempt:
                broken.append(f"ROUTE: {server.name} ran {attempt}, whose key no configuration ever held, "
                              f"for tenant {tenant}")
            elif attempt.startswith("after") and trouble:
                broken.append(f"CONFIG: {server.name} ran {attempt} {CONFIG_APPLY_S + 1} s after its key was removed, "
                              f"for tenant {tenant}")
    return broken


# TROUBLE=0 plays the same without the disruption.
kit.play(__file__, case, os.environ.get("TROUBLE", "1") != "0")
