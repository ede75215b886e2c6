"""Faulty servers spoil the length of some of their answers. Checks that no client gets a success
whose body is not the server's whole body."""
import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit-2"))
import kit

SERVERS = 3
FAULTY = 2             # garble: a share of 0.6 of the servers at most
SPOILT = 0.05          # garble: 0.05 of their answers at most
REQUESTS = 1200
CLIENTS = 12


def spoil(length, draw):
    """Returns header lines with a length that no recipient may take (RFC 9112, 6.3)."""
    text = str(length)
    return draw.choice([
        f"Content-Length: {text[0]}:{text[2:]}\r\n",                        # one byte is wrong
        f"Content-Length: {text[:-1]}l\r\n",                                # one byte is wrong
        f"Content-Length: {length}\r\nContent-Length: {length // 2}\r\n",   # twice, not the same
    ])


async def case(record, trouble, folder, running):
    draw = random.Random(10)
    store = kit.Store()
    running.append(store)
    await store.start()
    bodies, spoilt = {}, set()

    async def behave(server, request, reader, writer):
        await kit.read_body(request, reader)
        attempt = request["headers"].get("attempt-id", "")
        server.ran(request)
        await asyncio.sleep(0.005)
        body = bytes(draw.choice(b"abcdefghij") for _ in range(draw.randint(600, 1000)))
        bodies.setdefault(attempt, []).append(body)
        lines = f"Content-Length: {len(body)}\r\n"
        if trouble and server.faulty and draw.random() < SPOILT:
            lines = spoil(len(body), draw)
            spoilt.add(attempt)
            record(f"server {server.name} spoils its answer to {attempt}: {lines!r}, body of {len(body)} bytes")
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {server.name}.{len(body)}\r\n"
                      f"{lines}\r\n").encode() + body)
        await writer.drain()
        return True

    for number in range(SERVERS):
        server = kit.Server(f"i-{number}", "desk-app", record, behave=behave)
        server.faulty = number < FAULTY
        running.append(server)
        await server.start()
        store.put("servers", server.name, server.entry())
    store.put("config", "main", kit.configuration(1, [kit.plain_service("desk-app")], [
        kit.route("read", "/archive/", "desk-app"),
        kit.route("file", "/file/", "desk-app", "non_idempotent", **{"max-attempts": 1})]))
    gateways = [kit.Gateway(1, "z1", store.address, folder)]
    gateways.append(kit.Gateway(2, "z1", store.address, folder, seeds=[gateways[0].mesh]))
    running.extend(gateways)
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise RuntimeError("a gateway is not ready")

    broken = []

    async def client(number):
        for turn in range(REQUESTS // CLIENTS):
            attempt = f"a{number}-{turn}"
            is_read = turn % 2 == 0
            try:
                status, headers, body = await asyncio.wait_for(kit.fetch(
                    gateways[turn % 2].listen, "GET" if is_read else "POST", "/archive/x" if is_read else "/file/x",
                    {"Attempt-Id": attempt, "Deadline-Ms": "4000", "Authorization": "Bearer key-one-of-t1"},
                    None if is_read else b"a notice"), 6)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                record(f"client: {attempt} has no answer ({error!r})")
                continue
            record(f"client: {attempt} is answered {status} by {headers.get('server-signature')}, {len(body)} bytes")
            if 200 <= status < 300 and body not in bodies.get(attempt, []):
                broken.append(f"MIXED: {attempt} got {status} with the signature {headers.get('server-signature')} and "
                              f"{len(body)} bytes; the server's body has {len(bodies[attempt][-1])}")

    await asyncio.gather(*[client(number) for number in range(CLIENTS)])
    record(f"{REQUESTS} requests, {len(spoilt)} answers spoilt, {len(broken)} successes with a part of the body")
    return broken


# TROUBLE=0 plays the same without the disruption.
kit.play(__file__, case, os.environ.get("TROUBLE", "1") != "0")
