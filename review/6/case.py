"""Another writer leaves one entry under `servers` whose bytes cannot be read. Then all gateways are
killed and come back. Checks that requests are served again after the time that the pages allow."""
import asyncio
import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit-2"))
import kit

GATEWAYS, SERVERS, CLIENTS = 3, 3, 6
RECOVERY_S = 12        # bound `recovery-s`
DOWN_S = 1.4           # kill_all: down_s as on the site's days
BEFORE_S, AFTER_S = 5, 6
MARK = "@@unreadable@@"
# UTF-8 has no such sequence: it would be half of a surrogate pair. FORM=escape writes the same half
# as the escape that JSON has for it.
FORMS = {"bytes": b"\xed\xa0\x80", "escape": b"\\ud800"}


class StoreWithForeignBytes(kit.Store):
    """Keeps what another writer has written as it came, and hands it out like that."""

    async def answer(self, request, body):
        status, out = await super().answer(request, body)
        return status, json.dumps(out).encode().replace(MARK.encode(), FORMS[os.environ.get("FORM", "bytes")])


async def case(record, trouble, folder, running):
    store = StoreWithForeignBytes()
    running.append(store)
    await store.start()
    for number in range(SERVERS):
        server = kit.Server(f"i-{number}", "desk-app", record, work_s=0.02)
        running.append(server)
        await server.start()
        store.put("servers", server.name, server.entry())
    store.put("config", "main", kit.configuration(1, [kit.plain_service("desk-app")], [
        kit.route("read", "/archive/", "desk-app"),
        kit.route("file", "/file/", "desk-app", "non_idempotent", **{"max-attempts": 1})]))
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

    answers = []  # (when it was sent, status)
    ending = asyncio.Event()

    async def client(number):
        turn = 0
        while not ending.is_set():
            turn += 1
            attempt, sent, status, is_read = f"a{number}-{turn}", time.monotonic(), 0, turn % 2 == 0
            try:
                status, _, body = await asyncio.wait_for(kit.fetch(
                    gateways[(number + turn) % GATEWAYS].listen, "GET" if is_read else "POST",
                    "/archive/x" if is_read else "/file/x",
                    {"Attempt-Id": attempt, "Deadline-Ms": "4000", "Authorization": "Bearer key-one-of-t1"},
                    None if is_read else b"a notice"), 6)
                record(f"client: {attempt} is answered {status} {body[:40]!r}")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                record(f"client: {attempt} has no answer ({error!r})")
            answers.append((sent, status))
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S / 2)
    if trouble:
        record("another writer writes servers/w-17")
        store.put("servers", "w-17", {"service": "desk-app", "address": "127.0.0.1:9", "zone": f"z{MARK}",
                                      "version": "v1", "batch-slots": 6, "phase": "ready", "sequence": 1})
    await asyncio.sleep(BEFORE_S / 2)
    final = time.monotonic()
    record("all gateways are killed")
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in gateways:
        await gateway.process.wait()
    await asyncio.sleep(DOWN_S)
    for gateway in gateways:
        await gateway.start()
    back = time.monotonic()
    record("all gateways are started again")
    await asyncio.sleep(RECOVERY_S + AFTER_S)
    ending.set()
    await asyncio.gather(*clients)
    for gateway in gateways:
        record(f"{gateway.name} is {'ready' if await gateway.is_ready() else 'not ready'}")

    before = [status for sent, status in answers if sent < final]
    after = [status for sent, status in answers if sent > back + RECOVERY_S]
    served_before = sum(200 <= status < 300 for status in before)
    served_after = sum(200 <= status < 300 for status in after)
    record(f"served before the final fault {served_before} of {len(before)}, "
           f"later than {RECOVERY_S} s after the gateways were back {served_after} of {len(after)}")
    if served_before * 4 < len(before) or not after:
        raise RuntimeError("too little was served before, or asked after")
    if served_after * 4 < len(after):
        return [f"RECOVER: {served_after} of {len(after)} requests served later than {RECOVERY_S} s after the "
                f"gateways were back, {served_before} of {len(before)} before"]
    return []


# TROUBLE=0 plays the same without the disruption.
kit.play(__file__, case, os.environ.get("TROUBLE", "1") != "0")
