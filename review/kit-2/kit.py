"""Stand-ins for the scripts of this review: the platform's store, servers, clients, and the start of
gateways with the command of deploy/system.toml. Standard library only; loopback addresses only."""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


# Below the ports that the system gives to outgoing connections: those could take a gateway's port
# while it is down.
FIRST_PORT, LAST_PORT = 10000, 32000


def free_port(ip="127.0.0.1"):
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        return port


def render(text, values):
    """Fills in the placeholders of the deploy file and of the settings template."""
    def value(match):
        found = values
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([a-z0-9.-]+)\}\}", value, text)


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:9.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """Serves HTTP/1.1 with keep-alive; a subclass answers in handle()."""

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, content = line.split(":", 1)
            headers[name.strip().lower()] = content.strip()
    path, _, query = target.partition("?")
    return {"method": method, "target": target, "path": path, "query": query, "headers": headers}


async def read_body(request, reader):
    length = int(request["headers"].get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def response(status, headers=(), body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{n}: {v}" for n, v in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store(HttpServer):
    """The platform's store: objects by kind and name, lists, watches, conditional writes."""

    def __init__(self):
        super().__init__()
        self.kinds = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Event()
        self.delay = 0.0
        self.calls = []
        self.gate = None  # async function(request): None, or a raw answer, or "silent"

    def put(self, kind, name, spec, status=None):
        objects = self.kinds.setdefault(kind, {})
        self.revision += 1
        created = objects[name]["metadata"]["created"] if name in objects else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "created": created,
                             "finalizers": [], "deleting": False}, "spec": spec, "status": status}
        objects[name] = item
        self.note(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            self.note(kind, item, True)

    def note(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"deleted": deleted, "object": item}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        body = await read_body(request, reader)
        if self.delay:
            await asyncio.sleep(self.delay)
        self.calls.append((time.monotonic(), request["method"], request["target"], body))
        if self.gate:
            answer = await self.gate(request)
            if answer == "silent":
                await asyncio.sleep(3600)
            if answer:
                writer.write(answer)
                await writer.drain()
                return True
        status, out = await self.answer(request, body)
        raw = out if isinstance(out, bytes) else json.dumps(out).encode()
        writer.write(response(status, [("Content-Type", "application/json")], raw))
        await writer.drain()
        return True

    async def answer(self, request, body):
        parts = request["path"].split("/")[3:]
        query = dict(p.split("=", 1) for p in request["query"].split("&") if "=" in p)
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        if request["method"] == "GET" and len(parts) == 1 and "watch" in query:
            since, until = int(query["watch"]), time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            while True:
                found = [e for r, k, e in self.events if k == kind and r > since]
                if found or time.monotonic() >= until:
                    return 200, {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        if request["method"] == "GET" and len(parts) == 1:
            names = sorted(n for n in objects if n > query.get("after", ""))
            return 200, {"items": [objects[n] for n in names[:500]], "more": len(names) > 500, "at": self.revision}
        name = parts[1] if len(parts) > 1 else None
        if request["method"] == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if request["method"] == "DELETE":
            self.delete(kind, name)
            return 200, {}
        sent = json.loads(body)
        meta = sent.get("metadata") or {}
        name = name or meta["name"]
        if request["method"] == "POST" and name in objects:
            return 409, objects[name]
        if request["method"] == "PUT" and name not in objects:
            return 404, {}
        if "revision" in meta and name in objects and meta["revision"] != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        return 200, self.put(kind, name, sent.get("spec"), sent.get("status"))


class Server(HttpServer):
    """A plain server. behave(self, request, reader, writer, body) may replace its answer."""

    def __init__(self, name, service, record, work_s=0.02, behave=None):
        super().__init__()
        self.name, self.service, self.record = name, service, record
        self.work_s, self.behave = work_s, behave
        self.runs = []  # (time, attempt id, headers)
        self.born = int(time.time() * 1000)

    def entry(self, **changes):
        return {"service": self.service, "address": self.address, "zone": "z1", "version": "v1",
                "batch-slots": 6, "phase": "ready", "warmup-left-ms": 0, "sequence": 1, "born": self.born, **changes}

    def ran(self, request):
        self.runs.append((time.monotonic(), request["headers"].get("attempt-id", ""), request))
        self.record(f"server {self.name} runs {request['method']} {request['target']} "
                    f"attempt {request['headers'].get('attempt-id')}")

    def signed(self, request, body=b"whole answer", status=200, extra=()):
        return response(status, [("Attempt-Id", request["headers"].get("attempt-id", "")),
                                 ("Server-Signature", f"{self.name}.{len(body)}"), *extra], body)

    async def handle(self, request, reader, writer):
        target = request["headers"].get("target-instance")
        if request["path"] == "/healthz":
            writer.write(response(200, [("Instance-Id", self.name)]))
            await writer.drain()
            return True
        if target and target != self.name:
            await read_body(request, reader)
            writer.write(response(421, [("Instance-Id", self.name)]))
            await writer.drain()
            return True
        if self.behave:
            return await self.behave(self, request, reader, writer)
        await read_body(request, reader)
        self.ran(request)
        await asyncio.sleep(self.work_s)
        writer.write(self.signed(request))
        await writer.drain()
        return True


class Gateway:
    """A gateway, started with the command and the environment of deploy/system.toml."""

    def __init__(self, number, zone, store, folder, seeds=None, binary=None, grace_s=8, limits=None):
        self.name = f"edge-{zone}-{number}"
        self.folder = pathlib.Path(folder)
        ports = [free_port() for _ in range(5)]
        self.listen, self.ready, self.mesh, self.metrics, self.relay = (f"127.0.0.1:{p}" for p in ports)
        self.limits = limits or {"cpu-quota": 0.25, "memory-mb": 260, "max-fds": 4100}
        self.values = {
            "node-name": self.name, "zone": zone, "ip": "127.0.0.1", "port-range": ports[3:5],
            "listen": {"frontend": self.listen, "readiness": self.ready, "control-plane": self.mesh},
            "platform": {"address": store}, "limits": self.limits, "seed-nodes": seeds or [self.mesh],
            "bounds": {"retry-budget-ratio": 0.2, "budget-slack": 109, "drain-ms": 2000, "stable-ms": 3000}}
        self.binary = binary
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        settings = self.folder / f"{self.name}.conf"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), self.values))
        environment = {"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C"}
        for name, text in deploy["env"].items():
            environment[name] = render(text, self.values)
        environment["PERSIMMON_SETTINGS_FILE"] = str(settings)
        self.settings = settings
        words = render(deploy["run"], self.values).split()
        if self.binary:
            words[0] = self.binary
            environment.update({n: v for n, v in os.environ.items() if n.endswith("_OPTIONS")})
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(fetch(self.ready, "GET", "/v1/readyz"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                return False
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def memory_mb(self, field="VmRSS"):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(field + r":\s+(\d+)", text).group(1)) / 1024


def head_of(method, path, headers, length=None):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, content = line.split(":", 1)
            headers[name.strip().lower()] = content.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return status, headers, body
    length = int(headers.get("content-length", 0))
    return status, headers, await reader.readexactly(length)


async def fetch(address, method, path, headers=None, body=None):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        all_headers = {"Host": "desk.example", **(headers or {})}
        writer.write(head_of(method, path, all_headers, len(body) if body is not None else None) + (body or b""))
        await writer.drain()
        return await read_response(reader)
    finally:
        writer.close()


def configuration(version=1, services=None, routes=None, tenants=None, limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                                 "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": tenants or [{"name": "t1", "api-keys": ["key-one-of-t1"], "priority": 1}]}


def plain_service(name):
    return {"name": name, "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls": False}


def route(name, prefix, service, kind="idempotent", **changes):
    return {"name": name, "hostname": "desk.example", "path-prefix": prefix, "type": kind, "timeout-ms": 4000,
            "target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": 2, "public": False, **changes}


def folder():
    return pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))


def remove(path):
    shutil.rmtree(path, ignore_errors=True)


HELD, BROKEN, NOT_RUN = 0, 1, 2


def play(case_file, case, trouble, limit_s=110):
    """Runs `case(record, trouble, folder, running)`, which returns the list of what broke the rule.
    It adds what it starts to `running`. Ends the process with the status that the issue names."""
    record = Record(pathlib.Path(case_file).resolve().parent / "record.txt")
    temporary = folder()
    running = []

    async def all_of_it():
        # A run that is told to end ends what it started, and counts as not run.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(record, trouble, temporary, running), limit_s)
        finally:
            for started in running:
                if isinstance(started, Gateway):
                    await started.end()
                else:
                    started.close()

    status = NOT_RUN
    try:
        broken = asyncio.run(all_of_it())
        for line in broken:
            record("BROKEN " + line)
            print("BROKEN", line)
        status = BROKEN if broken else HELD
    except (Exception, asyncio.CancelledError) as error:  # whatever keeps the case from running is reported as such
        record(f"could not run: {error!r}")
        print("could not run:", repr(error))
    finally:
        remove(temporary)
    record(f"ends with {status}, trouble {'on' if trouble else 'off'}")
    print("ends with", status)
    raise SystemExit(status)
