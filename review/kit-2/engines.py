"""A stand-in of model servers that form groups, as PROTOCOL.md tells it: orders, reports, entries,
streams. What the pages leave open is done as a sound server would."""
import asyncio
import json
import time

import kit

FORM_S = 0.3        # form-ms
STALL_S = 5.0       # stall-ms
HEARTBEAT_S = 1.2   # heartbeat-ms
LAST_JOIN_S = 0.2   # a join of the model of the last group
EVENTS = 5
EVENT_S = 0.03


def engine_service(name, models, slots=17):
    """models: (name, size, load_s, warm_s)"""
    return {"name": name, "health-path": "/healthz", "max-connections": 278, "protocol": "h1", "tls": False,
            "engine": {"batch-slots": slots, "kv-capacity": 1860000, "kv-bytes": 96256, "bandwidth-mbps": 400000.0,
                       "stride": 5, "models": [{"name": m, "size": size, "share": 1 / len(models), "pace": 1.0,
                                                "load-s": load, "warm-s": warm} for m, size, load, warm in models],
                       "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0,
                       "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loads-per-s": 5.0,
                       "loads_at_once": 7, "delays": [], "usual": {"prompt": 979, "answer": 154},
                       "kept-models-count": 1, "far_x": 3.0, "form-ms": FORM_S * 1000}}


class Fleet:
    """All engines of a deployment; `partial` and `two` collect what was against those rules."""

    def __init__(self, store, record, service, models, domain="d1"):
        self.store, self.record, self.service, self.domain = store, record, service, domain
        self.models = {m: (size, load, warm) for m, size, load, warm in models}
        self.engines = {}
        self.partial, self.two = [], []
        self.orders = 0
        self.is_late = lambda engine, order: False  # whether an order gets no answer and waits in `held`
        self.held = []  # (when it came, name of the engine, order)
        self.has_traffic = False
        self.been_ready = set()  # (engine, group, epoch, members); a former life's count: it is lost then

    async def add(self, name, domain=None):
        engine = Engine(name, self)
        engine.domain = domain or self.domain
        self.engines[name] = engine
        await engine.start()
        engine.write()
        engine.beating = asyncio.create_task(engine.beat())
        return engine

    async def crash(self, name, down_s):
        """A server ends and comes back empty under its id; its host keeps what is staged."""
        old = self.engines[name]
        port = int(old.address.rsplit(":", 1)[1])
        self.record(f"engine {name} ends")
        old.close()
        await asyncio.sleep(down_s)
        new = Engine(name, self)
        new.staged, new.domain = list(old.staged), old.domain
        self.engines[name] = new
        await new.start(port=port)
        new.write()
        new.beating = asyncio.create_task(new.beat())
        self.record(f"engine {name} is back, empty")
        return new

    def close(self):
        for engine in self.engines.values():
            engine.close()


class Engine(kit.HttpServer):
    def __init__(self, name, fleet):
        super().__init__()
        self.name, self.fleet = name, fleet
        self.born = int(time.time() * 1000)
        self.sequence = self.beats = 0
        self.token = -1
        self.seen_epoch = -1
        self.group = None       # {"name", "epoch", "rank", "phase"}
        self.members, self.model = [], ""
        self.last_model, self.staged = "", []
        self.running = 0
        self.is_draining = False
        self.domain = fleet.domain
        self.alive = True
        self.beating = None

    def close(self):
        self.alive = False
        if self.beating:
            self.beating.cancel()
        super().close()

    # What it says of itself.

    def state(self):
        group = dict(self.group) if self.group else None
        return {"stage": "combined", "models": [{"name": self.model, "version": 1, "adapters": []}] if group else [],
                "domain": self.domain, "staged": list(self.staged), "born": self.born,
                **({"group": group} if group else {})}

    def write(self):
        self.beats += 1
        self.fleet.store.put("servers", self.name, {
            "service": self.fleet.service, "address": self.address, "zone": "z1", "version": "v1", "batch-slots": 17,
            "phase": "draining" if self.is_draining else "ready", "warmup-left-ms": 0, "sequence": self.beats,
            **self.state()})

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write()

    # Orders.

    def set_phase(self, phase):
        self.group["phase"] = phase
        self.fleet.record(f"engine {self.name} is {phase} in {self.group['name']} epoch {self.group['epoch']}")
        if phase == "ready":
            self.fleet.been_ready.add((self.name, self.group["name"], self.group["epoch"], tuple(self.members)))
        self.write()

    def carry_out(self, order):
        operation = order.get("operation")
        token = order.get("fencing-token")
        if token is not None and token < self.token:
            return 412
        if "expected" in order and order["expected"] != self.sequence:
            return 409
        if operation not in ("join", "open", "close", "leave", "stage"):
            return 400
        self.token = max(self.token, token if token is not None else self.token)
        return getattr(self, "close_head" if operation == "close" else operation)(order)

    def holds(self, order):
        return self.group and self.group["name"] == order["group"] and self.group["epoch"] == order["epoch"]

    def join(self, order):
        if order["epoch"] < self.seen_epoch:
            return 412
        if self.holds(order):
            return 200 if self.members == order["members"] else 412
        if self.group and self.members:
            head = self.fleet.engines.get(self.members[0])
            if head and head.alive and head.group and (head.group["name"], head.group["epoch"]) == (
                    self.group["name"], self.group["epoch"]) and head.group["phase"] in ("open", "closing"):
                self.fleet.two.append(f"{self.name} joins {order['group']} while the head of {self.group} is open")
        self.seen_epoch = order["epoch"]
        self.sequence += 1
        self.members, self.model = list(order["members"]), order["model"]
        self.group = {"name": order["group"], "epoch": order["epoch"], "rank": self.members.index(self.name),
                      "phase": "joining"}
        _, load, warm = self.fleet.models[self.model]
        load = load if self.fleet.has_traffic else load / 10
        pause = LAST_JOIN_S if self.last_model == self.model else warm if self.model in self.staged else load
        self.write()
        asyncio.get_running_loop().call_later(pause, self.ready, dict(self.group))
        return 202

    def ready(self, joined):
        if self.alive and self.group and self.group["phase"] == "joining" and (
                self.group["name"], self.group["epoch"]) == (joined["name"], joined["epoch"]):
            self.last_model, self.staged = self.model, [self.model]
            self.set_phase("ready")

    def open(self, order):
        if not self.holds(order) or self.group["rank"] != 0 or self.group["phase"] not in ("ready", "open"):
            return 409
        if self.group["phase"] == "open":
            return 200
        self.sequence += 1
        asyncio.get_running_loop().call_later(FORM_S, self.opened, dict(self.group))
        return 202

    def opened(self, group):
        if self.alive and self.group == group:
            self.set_phase("open")

    def close_head(self, order):
        if not self.holds(order) or self.group["phase"] != "open":
            return 200
        self.sequence += 1
        self.set_phase("closing")
        self.close_group()
        return 202

    def close_group(self):
        if self.group and self.group["phase"] == "closing" and self.running == 0:
            self.set_phase("ready")

    def leave(self, order):
        if self.holds(order):
            self.sequence += 1
            self.group, self.members = None, []
            self.write()
        return 200

    def stage(self, order):
        if order["model"] in self.staged:
            return 200
        self.sequence += 1
        _, load, _ = self.fleet.models[order["model"]]
        asyncio.get_running_loop().call_later(load if self.fleet.has_traffic else load / 10, self.stage_done,
                                              order["model"])
        return 202

    def stage_done(self, model):
        self.staged = [model]
        self.write()

    # Calls.

    def is_whole(self):
        for member in self.members:
            other = self.fleet.engines.get(member)
            if not other or not other.alive or not other.group or (other.group["name"], other.group["epoch"]) != (
                    self.group["name"], self.group["epoch"]):
                return False
        return True

    async def handle(self, request, reader, writer):
        body = await kit.read_body(request, reader)
        target = request["headers"].get("target-instance")
        if target and target != self.name:
            answer = kit.response(421, [("Instance-Id", self.name)])
        elif request["path"] == "/healthz":
            answer = kit.response(200, [("Instance-Id", self.name)])
        elif request["path"] == "/v1/report":
            answer = kit.response(200, [("Content-Type", "application/json")], json.dumps({
                **self.state(), "busy": False, "sequence": self.sequence, "queued": 0, "running": self.running,
                "kv-used": 0, "kv-total": 1860000, "kv-handles": 0, "pace": 1.0}).encode())
        elif request["path"] == "/v1/order":
            order = json.loads(body)
            self.fleet.orders += 1
            if self.fleet.is_late(self, order):
                self.fleet.held.append((time.monotonic(), self.name, order))
                self.fleet.record(f"engine {self.name} leaves unanswered {json.dumps(order)}")
                await asyncio.sleep(3)
                return False
            status = self.carry_out(order)
            self.fleet.record(f"engine {self.name} is ordered {json.dumps(order)}: {status}")
            answer = kit.response(status)
        else:
            return await self.stream(request, writer)
        writer.write(answer)
        await writer.drain()
        return True

    async def stream(self, request, writer):
        attempt = request["headers"].get("attempt-id", "")
        if not self.group or self.group["rank"] != 0:
            writer.write(kit.response(421, [("Attempt-Id", attempt), ("At-Server", self.name)]))
            await writer.drain()
            return True
        if self.group["phase"] != "open" or self.running >= 17:
            writer.write(kit.response(503, [("Attempt-Id", attempt), ("Not-Executed", "1"), ("At-Server", self.name)]))
            await writer.drain()
            return True
        self.fleet.has_traffic = True
        key = (self.group["name"], self.group["epoch"], tuple(self.members))
        if len(self.members) != self.fleet.models[self.model][0]:
            self.fleet.partial.append(f"{self.name} runs {attempt} in a group of {len(self.members)}")
        for member in self.members:
            if (member, *key) not in self.fleet.been_ready:
                self.fleet.partial.append(f"{self.name} runs {attempt} in {key}, in which {member} was never ready")
        self.running += 1
        self.fleet.record(f"engine {self.name} runs {attempt}")
        try:
            start = int(request["headers"].get("last-event-id", -1)) + 1
            writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {self.name}.{attempt}\r\n"
                         "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(start, EVENTS):
                await asyncio.sleep(EVENT_S)
                stalled = time.monotonic()
                while not self.is_whole():
                    if time.monotonic() - stalled > STALL_S:
                        self.set_phase("broken")
                        writer.transport.abort()
                        return False
                    await asyncio.sleep(0.05)
                event = f"id: {number}\ndata: {attempt}.{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
            self.close_group()
        return True


def whole_stream(attempt):
    return "".join(f"id: {n}\ndata: {attempt}.{n}\n\n" for n in range(EVENTS)).encode()
