"""Small stand-ins of the users' platform for the cases of this review: the store, model servers, plain
servers and clients, and the start of the project's gateways by the commands of the deploy file. They
speak what the users' page PROTOCOL.md says. Only the standard library is used."""
import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
STALL_S = 5.0
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "stable-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "partition-max-ms": 5000, "retry-budget-ratio": 0.2,
    "retry-window-s": 10, "budget-slack": 109, "recovery-s": 12, "stall-ms": 5000,
}
LIMITS = {"cpu-quota": 0.25, "cpu-speedup": 1, "memory-mb": 260, "max-fds": 4100}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    for _ in range(200):
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise OSError("no free port")


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def answer_bytes(status, headers, body):
    text = f"HTTP/1.1 {status} Status\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(handle, port=0):
    """Listens on the loopback address. handle(request, writer) answers one request, or returns False
    to end the connection."""
    async def on_connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if await handle(request, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(on_connection, "127.0.0.1", port)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's metadata store: objects, conditional writes, watches."""

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Condition()

    async def start(self):
        self.server, self.port = await serve(self.handle)

    async def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        entry = {"metadata": {"name": name, "revision": self.revision, "created": created,
                              "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = entry
        await self.tell(kind, entry, False)
        return entry

    async def delete(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            await self.tell(kind, known, True)

    async def tell(self, kind, entry, deleted):
        self.events.append((self.revision, kind, json.dumps({"object": entry, "deleted": deleted})))
        async with self.changed:
            self.changed.notify_all()

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            found = [text for revision, of, text in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return '{"events":[' + ",".join(found) + f'],"at":{self.revision}}}'
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, request, writer):
        status, body = await self.answer(request)
        writer.write(answer_bytes(status, {"Content-Type": "application/json"}, body.encode()))

    async def answer(self, request):
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, "{}"
        kind, name = parts[2], "/".join(parts[3:])
        if request.method == "GET" and not name:
            if "watch" in request.query:
                wait_s = int(request.query.get("wait-ms", "0")) / 1000
                return 200, await self.watch(kind, int(request.query["watch"]), wait_s)
            items = [entry for (of, _), entry in sorted(self.objects.items()) if of == kind]
            return 200, json.dumps({"items": items, "more": False, "at": self.revision})
        known = self.objects.get((kind, name)) if name else None
        if request.method == "GET":
            return (200, json.dumps(known)) if known else (404, "{}")
        sent = json.loads(request.body)
        wanted = sent.get("metadata", {}).get("revision")
        if request.method == "POST":
            name = sent["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, json.dumps(self.objects[(kind, name)])
            return 200, json.dumps(await self.put(kind, name, sent["spec"]))
        if known is None:
            return 404, "{}"
        if wanted is not None and wanted != known["metadata"]["revision"]:
            return 409, json.dumps(known)
        return 200, json.dumps(await self.put(kind, name, sent["spec"]))


class Plain:
    """A server without an engine. respond(request) returns status and body."""

    def __init__(self, store, record, name, service, respond):
        self.store, self.record, self.name, self.service, self.respond = store, record, name, service, respond
        self.runs = []

    async def start(self):
        self.server, self.port = await serve(self.handle)
        await self.store.put("servers", self.name, {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "v1",
            "batch-slots": 6, "phase": "ready", "warmup-left-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)})

    async def handle(self, request, writer):
        if request.header("target-instance") not in ("", self.name):
            writer.write(answer_bytes(421, {"Instance-Id": self.name}, b""))
            return
        self.runs.append(request.header("attempt-id"))
        self.record(f"server {self.name} runs {request.header('attempt-id')} {request.method} {request.target}")
        status, body = await self.respond(request)
        writer.write(answer_bytes(status, {"Attempt-Id": request.header("attempt-id"),
                                           "Server-Signature": "sig." + self.name}, body))


class Gateway:
    """A gateway process, started by the command of deploy/system.toml."""

    def __init__(self, directory, name, zone, store_port):
        self.directory, self.name = pathlib.Path(directory), name
        ports = [free_port() for _ in range(5)]
        self.listen, self.ready, self.mesh = ports[0], ports[1], ports[2]
        self.settings = {
            "node-name": name, "zone": zone, "ip": "127.0.0.1",
            "port-range": [ports[3], ports[4]], "seed-nodes": [],
            "listen": {"frontend": f"127.0.0.1:{ports[0]}", "readiness": f"127.0.0.1:{ports[1]}",
                       "control-plane": f"127.0.0.1:{ports[2]}"},
            "limits": LIMITS, "bounds": BOUNDS, "platform": {"address": f"127.0.0.1:{store_port}"}}
        self.process = None

    def fill(self, text):
        def value(match):
            found = self.settings
            for part in match.group(1).split("."):
                found = found[int(part)] if isinstance(found, list) else found.get(part, "")
            return ",".join(found) if isinstance(found, list) else str(found)
        return re.sub(r"\{\{([^}]+)\}\}", value, text)

    def start(self):
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        conf = self.directory / f"{self.name}.conf"
        conf.write_text(self.fill((ROOT / role["template"]).read_text()))
        env = {key: self.fill(text) for key, text in role["env"].items()}
        env["PERSIMMON_SETTINGS_FILE"] = str(conf)
        words = [self.fill(word) for word in role["run"].split(" ")]
        log = open(self.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(ROOT / words[0])] + words[1:], stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL, cwd=ROOT,
                                        env={"PATH": os.environ["PATH"], "HOME": "/tmp", **env})

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0.0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self):
        return (self.directory / f"{self.name}.log").read_text(errors="replace")


async def is_ready(gateway):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ready)
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False


async def wait_for(condition, seconds, interval=0.05):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(interval)
    return None


def route(prefix, kind, service, timeout_ms, target_ms, attempts=2, resume=False):
    return {"name": "r" + prefix.strip("/"), "hostname": "desk.example", "path-prefix": prefix, "type": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "priority": 1, "service": service,
            "max-attempts": attempts, "public": False, "session-affinity": kind == "streaming",
            "stream-resume": resume, "target-gap-ms": 200}


def configuration(routes, services):
    return {"version": 7, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "newsroom", "api-keys": ["key-1"]}]}


def run_case(main, seconds=115):
    """Runs main(record, directory, trouble); the result is the exit code of the script."""
    here = pathlib.Path(os.environ["CASE_DIR"])
    record = Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target" / "bin" / "persimmon-gateway").exists():
        record("target/bin/persimmon-gateway is missing: build first")
        return 2
    async def bounded(directory):
        # Connections that are open at the end are cancelled with their tasks.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(main(record, directory, trouble), seconds)
    with tempfile.TemporaryDirectory() as directory:
        try:
            code = asyncio.run(bounded(directory))
        except Exception as error:  # the case could not run
            record(f"could not run: {error!r}")
            code = 2
        if os.environ.get("KEEP_LOGS"):
            for log in pathlib.Path(directory).glob("*.log"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    record(f"exit {code}")
    return code


class Engine:
    """A model server: orders, groups, streams, reports. `fleet` maps names to all of them."""

    traffic = False  # before the first request, loads take one tenth of the time

    def __init__(self, store, record, fleet, name, domain, models, stages=()):
        self.store, self.record, self.fleet, self.name, self.domain = store, record, fleet, name, domain
        self.models = models  # name: (size, load_s, warm_s)
        self.staged = list(stages)
        self.born = int(time.time() * 1000)
        self.sequence = self.fence = self.epoch = 0
        self.group = None  # name, epoch, members, model, phase
        self.last_model = ""
        self.phase = "ready"
        self.writes = 0
        self.cut_until = 0.0
        self.late = None  # called with each order; returns seconds by which it is carried out late
        self.on_order = None
        self.after_heal = asyncio.Event()
        self.running = 0
        self.fillers = []
        self.faults = []
        fleet[name] = self

    # Connections. While the server is cut off, new ones hang and open ones are silent.

    async def start(self):
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(64)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.tasks = [asyncio.create_task(self.accept()), asyncio.create_task(self.beat())]
        await self.register()

    def is_cut(self):
        return time.monotonic() < self.cut_until

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            if self.is_cut():
                await asyncio.sleep(0.01)
                continue
            try:
                connection, _ = await asyncio.wait_for(loop.sock_accept(self.socket), 0.02)
            except asyncio.TimeoutError:
                continue
            asyncio.create_task(self.talk(connection))

    async def talk(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            while True:
                request = await read_request(reader)
                await self.healed()
                await self.handle(request, writer)
                await self.healed()
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def healed(self):
        while self.is_cut():
            await asyncio.sleep(0.01)

    async def cut(self, seconds):
        """Cuts the server off from the store and from all machines, silently."""
        self.record(f"server {self.name} is cut off for {seconds} s")
        self.cut_until = time.monotonic() + seconds
        self.socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)
        asyncio.create_task(self.heal())

    def end_cut(self, seconds):
        """Lets the present cut end so many seconds from now."""
        self.cut_until = time.monotonic() + seconds

    async def heal(self):
        await self.healed()
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.socket.listen(64)
        self.record(f"server {self.name} is reached again, its group: {self.group_text()}")
        await self.register()

    # The store's entry.

    def said(self):
        state = {"stage": "combined", "born": self.born, "domain": self.domain, "staged": self.staged,
                 "models": [{"name": self.group["model"], "version": 1, "adapters": []}] if self.group else []}
        if self.group:
            state["group"] = {"name": self.group["name"], "epoch": self.group["epoch"],
                              "rank": self.group["members"].index(self.name), "phase": self.group["phase"]}
        return state

    async def register(self):
        if self.is_cut():
            return
        self.writes += 1
        await self.store.put("servers", self.name, {
            "service": "llm", "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "v1",
            "batch-slots": 17, "phase": self.phase, "warmup-left-ms": 0, "sequence": self.writes, **self.said()})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_cut():
                await self.register()
            elif self.cut_until - time.monotonic() > 0 and ("servers", self.name) in self.store.objects:
                self.missed = getattr(self, "missed", 0) + 1
                if self.missed >= 3:
                    self.missed = 0
                    self.record(f"the store removes the entry of {self.name}")
                    await self.store.delete("servers", self.name)

    def group_text(self):
        group = self.group
        return "none" if not group else f"{group['name']} epoch {group['epoch']} {group['phase']}"

    # Requests.

    async def handle(self, request, writer):
        if request.header("target-instance") not in ("", self.name):
            writer.write(answer_bytes(421, {"Instance-Id": self.name}, b""))
        elif request.path == "/v1/report":
            report = {**self.said(), "busy": False, "sequence": self.sequence, "queued": 0,
                      "running": self.running, "kv-used": 0, "kv-total": 1860000, "kv-handles": 0, "pace": 1}
            writer.write(answer_bytes(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
        elif request.path == "/v1/order":
            await self.on_order_request(json.loads(request.body), writer)
        else:
            await self.stream(request, writer)

    async def on_order_request(self, order, writer):
        text = " ".join(f"{key}={order[key]}" for key in
                        ("operation", "group", "epoch", "members", "fencing-token", "expected") if key in order)
        delay = self.late(order) if self.late else None
        if delay:
            self.record(f"server {self.name}: {text}: no answer, carried out {delay} s later")
            asyncio.create_task(self.carry_out_late(order, text, delay))
            await asyncio.sleep(delay + 1)
            raise ConnectionResetError
        status = await self.carry_out(order)
        self.record(f"server {self.name}: {text}: {status}")
        writer.write(answer_bytes(status, {}, b"{}"))
        if self.on_order:
            await self.on_order(self, order, status)

    async def carry_out_late(self, order, text, delay):
        await asyncio.sleep(delay)
        status = await self.carry_out(order)
        self.record(f"server {self.name}: {text}: carried out late: {status}")

    async def carry_out(self, order):
        token, operation = order.get("fencing-token", 0), order["operation"]
        if token < self.fence:
            return 412
        if "expected" in order and order["expected"] != self.sequence:
            return 409
        self.fence = token
        status = {"join": self.join, "open": self.open, "close": self.close, "leave": self.leave,
                  "stage": self.stage}[operation](order)
        if status == 202:
            self.sequence += 1
            await self.register()
        return status

    def is_mine(self, order):
        return self.group and (self.group["name"], self.group["epoch"]) == (order["group"], order["epoch"])

    def join(self, order):
        if order["epoch"] < self.epoch or (self.is_mine(order) and self.group["members"] != order["members"]):
            return 412
        if self.is_mine(order):
            return 200
        self.check_two(order)
        self.epoch = order["epoch"]
        self.group = {"name": order["group"], "epoch": order["epoch"], "model": order["model"],
                      "members": order["members"], "phase": "joining"}
        _, load_s, warm_s = self.models[order["model"]]
        load_s *= 1 if Engine.traffic else 0.1
        seconds = 0.2 if order["model"] == self.last_model else warm_s if order["model"] in self.staged else load_s
        asyncio.create_task(self.become_ready(self.group, seconds))
        return 202

    def check_two(self, order):
        """RULES, TWO: a join of another group while the head of its group is open or closing."""
        if not self.group:
            return
        head = self.fleet[self.group["members"][0]].group
        if head and (head["name"], head["epoch"]) == (self.group["name"], self.group["epoch"]) and \
                head["phase"] in ("open", "closing"):
            self.faults.append(f"TWO: server {self.name} takes a join of {order['group']} (epoch {order['epoch']}, "
                               f"fencing token {order.get('fencing-token')}) while the head "
                               f"{self.group['members'][0]} of its group {self.group['name']} is {head['phase']}")
            self.record(self.faults[-1])

    async def become_ready(self, group, seconds):
        await asyncio.sleep(seconds)
        if self.group is group and group["phase"] == "joining":
            group["phase"] = "ready"
            self.staged = [group["model"]]
            self.last_model = group["model"]
            self.record(f"server {self.name}: ready in {group['name']}")
            await self.register()

    def open(self, order):
        if not self.is_mine(order) or self.group["members"][0] != self.name:
            return 409
        if self.group["phase"] == "open":
            return 200
        if self.group["phase"] != "ready":
            return 409
        asyncio.create_task(self.become_open(self.group))
        return 202

    async def become_open(self, group):
        await asyncio.sleep(0.3)
        if self.group is group and group["phase"] == "ready":
            group["phase"] = "open"
            self.record(f"server {self.name}: open as head of {group['name']}")
            await self.register()

    def close(self, order):
        if not self.is_mine(order):
            return 409
        if self.group["phase"] == "ready":
            return 200
        self.group["phase"] = "ready"
        return 202

    def leave(self, order):
        if not self.is_mine(order):
            return 200
        self.group = None
        return 202

    def stage(self, order):
        if order["model"] in self.staged:
            return 200
        load_s = self.models[order["model"]][1] * (1 if Engine.traffic else 0.1)
        asyncio.create_task(self.become_staged(order["model"], load_s))
        return 202

    async def become_staged(self, model, seconds):
        await asyncio.sleep(seconds)
        self.staged = [model]
        self.record(f"server {self.name}: weights of {model} are staged")
        await self.register()

    def is_whole(self):
        group = self.group
        return all(member in self.fleet and self.fleet[member].group and
                   self.fleet[member].group["epoch"] == group["epoch"] for member in group["members"])

    async def stream(self, request, writer):
        attempt = request.header("attempt-id")
        group = self.group
        if not group or group["members"][0] != self.name or group["phase"] != "open" or \
                request.header("model") != group["model"]:
            writer.write(answer_bytes(421, {"Instance-Id": self.name}, b""))
            return
        self.record(f"server {self.name} ({group['name']}) runs {attempt}")
        Engine.traffic = True
        self.running += 1
        try:
            first = int(request.header("last-event-id") or "0") + 1
            head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: sig.{self.name}\r\n"
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(head.encode())
            for number in range(first, 11):
                stalled = 0.0
                while not self.is_whole():
                    await asyncio.sleep(0.02)
                    stalled += 0.02
                    if stalled > STALL_S:
                        group["phase"] = "broken"
                        await self.register()
                        raise ConnectionResetError
                event = f"id: {number}\ndata: {attempt}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(0.04)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1

    def end(self):
        for task in self.tasks:
            task.cancel()
        self.socket.close()


def engine_service(models):
    return {"name": "llm", "health-path": "/healthz", "max-connections": 278, "protocol": "h1", "tls": False,
            "engine": {"batch-slots": 17, "kv-capacity": 1860000, "stride": 5, "step_ms": 7.8,
                       "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0,
                       "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loads-per-s": 5.0,
                       "loads_at_once": 7, "usual": {"prompt": 979, "answer": 154}, "kept-models-count": 1,
                       "far_x": 3.0, "form-ms": 300.0,
                       "models": [{"name": name, "size": size, "share": 1.0, "pace": 1.0, "load-s": load_s,
                                   "warm-s": warm_s} for name, (size, load_s, warm_s) in models.items()]}}


async def call(port, path, attempt, model="", method="GET", body=b"", timeout=9.0):
    """Sends one request as a client would; returns status, headers and body, status 0 when none came."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0, {}, b""
    text = (f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 8000\r\n"
            f"Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: {len(body)}\r\n")
    if model:
        text += f"Model: {model}\r\nToken-Usage: 100,50\r\nPrefix-Hash: {attempt}:100\r\n"
    try:
        writer.write(text.encode() + b"\r\n" + body)
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)).decode("latin-1").split("\r\n")
        rest = await asyncio.wait_for(reader.read(-1), timeout)
        headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:] if line}
        return int(head[0].split(" ")[1]), headers, rest
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError):
        return 0, {}, b""
    finally:
        writer.close()
