"""Seeded schedules of faults for a deployment, as data, and what begins and ends each fault."""
import json
import random
import signal
import subprocess
import threading
import time

import cluster as deployment

LANES = 2
SHORTEST_GAP, LONGEST_GAP = 0.3, 2.0
MEND_SECONDS = 12
EDIT_SECONDS = 15
MARKER = "poisonous claim"
MODELS = {"verifier-llm": "kigali", "vakt-model": "tjaldleid"}

# kind: (weight, shortest and longest duration in seconds)
KINDS = {
    "router_killed": (3, 0.5, 4),
    "router_paused": (3, 0.5, 6),
    "router_stopped": (2, 0.5, 2),
    "placer_killed": (2, 0.5, 5),
    "placer_paused": (3, 2, 8),
    "store_down": (2, 1, 8),
    "store_hangs": (1, 1, 5),
    "store_slow": (2, 2, 8),
    "replies_lost": (3, 2, 8),
    "store_limited": (1, 2, 6),
    "watch_stalled": (1, 2, 6),
    "member_dead": (4, 0.1, 6),
    "member_paused": (3, 0.2, 5),
    "member_slow": (2, 2, 8),
    "member_leaving": (3, 6, 10),
    "domain_dark": (1, 1, 6),
    "service_dead": (2, 0.5, 4),
    "service_paused": (2, 0.5, 4),
    "service_slow": (1, 1, 5),
    "service_drops": (3, 2, 8),
    "mesh_cut": (2, 1, 8),
    "mesh_split": (2, 1, 8),
    "poison": (2, 1, 4),
    "document_race": (4, 0.5, 2),
    "rollout": (2, 6, 10),
}


class Fault:
    """One fault of a schedule: what, on whom, from when to when (seconds from the start)."""

    def __init__(self, kind, target, begin, end, salt):
        self.kind, self.target, self.begin, self.end, self.salt = kind, target, begin, end, salt

    def __str__(self):
        return f"{self.begin:6.1f}-{self.end:6.1f} {self.kind} {self.target}"


def subject(kind, target):
    """What a fault takes hold of; two faults on one subject are not in force at once."""
    for prefix, name in (("store_", "store"), ("replies_", "store"), ("mesh_", "mesh"), ("watch_", "store"), ("domain_", "engine"),
                         ("member_", "engine"), ("service_", "service")):
        if kind.startswith(prefix):
            return name + (target.rsplit("-", 1)[0] if name in ("engine", "service") else "")
    return target or kind


def pick_target(rng, kind, plan):
    if kind.startswith("router_"):
        return f"router-{rng.randint(1, plan['routers'])}"
    if kind.startswith("placer_"):
        return f"placer-{rng.randint(1, plan['routers'])}"
    if kind.startswith("member_"):
        domain = rng.choice(plan["domains"])
        return f"{domain}-{rng.randrange(plan['instances'])}"
    if kind == "domain_dark":
        return rng.choice(plan["domains"]) + "-all"
    if kind.startswith("service_"):
        service = rng.choice(plan["services"])
        return f"{service}-{rng.randrange(plan['service_instances'])}"
    if kind == "mesh_cut":
        return f"router-{rng.randint(1, plan['routers'])}"
    if kind in ("document_race", "rollout"):
        return rng.choice(sorted(MODELS))
    return ""


def make_schedule(seed, seconds, plan, kinds=None):
    """Returns the faults of a seed in the order of their beginnings; at most LANES at once."""
    rng = random.Random(seed)
    chosen = sorted(kinds or KINDS)
    weights = [KINDS[kind][0] for kind in chosen]
    faults = []
    for lane in range(LANES):
        now = rng.uniform(0, LONGEST_GAP)
        while True:
            kind = rng.choices(chosen, weights)[0]
            _, shortest, longest = KINDS[kind]
            end = now + rng.uniform(shortest, longest)
            if end > seconds:
                break
            fault = Fault(kind, pick_target(rng, kind, plan), now, end, rng.randrange(1 << 30))
            busy = any(subject(other.kind, other.target) == subject(fault.kind, fault.target)
                       and other.begin < fault.end and fault.begin < other.end for other in faults)
            if not busy:
                faults.append(fault)
                now = end
            now += rng.uniform(SHORTEST_GAP, LONGEST_GAP)
    return sorted(faults, key=lambda fault: fault.begin)


class FaultHistory:
    """Writes fault events; one line a write, times of CLOCK_MONOTONIC as all processes use."""

    def __init__(self, path):
        self.file = open(path, "a", buffering=1)
        self.lock = threading.Lock()

    def write(self, detail, instance="", obj=""):
        event = {"kind": "fault", "at": int(time.monotonic() * 1000), "process": "soak", "detail": detail}
        event.update({"instance": instance} if instance else {})
        event.update({"object": obj} if obj else {})
        with self.lock:
            self.file.write(json.dumps(event) + "\n")


class Injector:
    """Begins and ends faults of a running cluster."""

    def __init__(self, cluster, history, log, out):
        self.cluster, self.history, self.log, self.out = cluster, history, log, out
        self.lock = threading.Lock()
        self.plans = {}
        self.broken = set()
        self.version = {}

    def begin(self, fault):
        getattr(self, "begin_" + fault.kind)(fault)

    def end(self, fault):
        getattr(self, "end_" + fault.kind)(fault)

    # Plans of the stand-ins' faults. A list in a plan holds the targets of all faults in force.
    def set_fault(self, url, change):
        status, _, text = deployment.call("POST", url + "/control/faults", json.dumps(change))
        if status != 200:
            self.log(f"faults not taken by {url}: {status} {text}")

    def engine_of(self, fault):
        return self.cluster.engines[fault.target.rsplit("-", 1)[0]]

    def service_of(self, fault):
        return self.cluster.services[fault.target.rsplit("-", 1)[0]]

    def change_list(self, url, member, target, add):
        with self.lock:
            targets = self.plans.setdefault((url, member), set())
            (targets.add if add else targets.discard)(target)
            self.set_fault(url, {member: sorted(targets)})

    # Our own processes.
    def restart(self, name):
        """Starts a process again; it writes a history of its own."""
        program, flags = self.cluster.commands[name]
        life = self.cluster.lives[name] + 1
        self.cluster.commands[name] = (program, {**flags, "history": self.out / f"{name}.{life}.jsonl"})
        self.cluster.restart(name)

    def router_number(self, fault):
        return int(fault.target.rsplit("-", 1)[1])

    def kill(self, fault):
        self.history.write("begin kill", fault.target)
        self.cluster.kill(fault.target)

    def come_back(self, fault):
        self.restart(fault.target)
        if fault.target.startswith("router"):
            url = self.cluster.router_url(self.router_number(fault)) + "/ready"
            deployment.wait_until(lambda: deployment.call("GET", url, timeout=1)[0] == 200, 5)
        self.history.write("end kill", fault.target)

    begin_router_killed = begin_placer_killed = kill
    end_router_killed = end_placer_killed = come_back

    def pause(self, fault):
        self.history.write("begin pause", fault.target)
        self.cluster.signal(fault.target, signal.SIGSTOP)

    def wake(self, fault):
        self.cluster.signal(fault.target, signal.SIGCONT)
        self.history.write("end pause", fault.target)

    begin_router_paused = begin_placer_paused = pause
    end_router_paused = end_placer_paused = wake

    def begin_router_stopped(self, fault):
        self.history.write("begin stop", fault.target, self.cluster.router_address(self.router_number(fault)))
        self.cluster.signal(fault.target, signal.SIGTERM)
        code = self.cluster.wait_for(fault.target, time.monotonic() + deployment.STOP_SECONDS)
        if code != 0:
            self.log(f"PROBLEM {fault.target} ended its planned stop with {code}")
            self.broken.add(f"{fault.target} stopped with {code}")

    def end_router_stopped(self, fault):
        self.restart(fault.target)
        url = self.cluster.router_url(self.router_number(fault)) + "/ready"
        deployment.wait_until(lambda: deployment.call("GET", url, timeout=1)[0] == 200, 5)
        self.history.write("end stop", fault.target)

    # The platform.
    def begin_store_down(self, fault):
        self.history.write("begin store_down")
        self.set_fault(self.cluster.store_url, {"down": True})

    def end_store_down(self, fault):
        self.set_fault(self.cluster.store_url, {"down": False})
        self.history.write("end store_down")

    def begin_store_hangs(self, fault):
        self.history.write("begin store_down")
        self.cluster.signal("platform", signal.SIGSTOP)

    def end_store_hangs(self, fault):
        self.cluster.signal("platform", signal.SIGCONT)
        self.history.write("end store_down")

    def begin_store_slow(self, fault):
        self.history.write("begin store_slow")
        self.set_fault(self.cluster.store_url, {"slow_ms": 50 + fault.salt % 450})

    def end_store_slow(self, fault):
        self.set_fault(self.cluster.store_url, {"slow_ms": 0})
        self.history.write("end store_slow")

    def begin_replies_lost(self, fault):
        self.history.write("begin replies_lost")
        self.set_fault(self.cluster.store_url, {"lose_reply_percent": 10 + fault.salt % 60})

    def end_replies_lost(self, fault):
        self.set_fault(self.cluster.store_url, {"lose_reply_percent": 0})
        self.history.write("end replies_lost")

    def begin_store_limited(self, fault):
        self.history.write("begin store_limited")
        self.set_fault(self.cluster.store_url, {"calls_per_second": 30 + fault.salt % 70})

    def end_store_limited(self, fault):
        self.set_fault(self.cluster.store_url, {"calls_per_second": 0})
        self.history.write("end store_limited")

    def begin_watch_stalled(self, fault):
        self.history.write("begin watch_stalled")
        self.set_fault(self.cluster.store_url, {"stall_watch": True})

    def end_watch_stalled(self, fault):
        self.set_fault(self.cluster.store_url, {"stall_watch": False})
        self.history.write("end watch_stalled")

    # The mesh. A router that is killed meanwhile comes back with all its links.
    def cut(self, faults):
        """Cuts the links between each router and those that it is given with."""
        for number, others in faults.items():
            self.history.write("begin partition", f"router-{number}")
            url = "http://" + self.cluster.test_control_address(number) + "/control/faults"
            deployment.call("POST", url, json.dumps({"blocked_peers": [f"router-{other}" for other in others]}), timeout=2)

    def mend(self, numbers):
        for number in numbers:
            url = "http://" + self.cluster.test_control_address(number) + "/control/faults"
            # A router that is stopped by another fault takes the change when it is back.
            deployment.wait_until(
                lambda: deployment.call("POST", url, '{"blocked_peers": []}', timeout=1)[0] == 200, MEND_SECONDS)
            self.history.write("end partition", f"router-{number}")

    def all_routers(self):
        return list(range(1, self.cluster.routers + 1))

    def begin_mesh_cut(self, fault):
        number = self.router_number(fault)
        self.cut({number: [other for other in self.all_routers() if other != number]})

    def end_mesh_cut(self, fault):
        self.mend([self.router_number(fault)])

    def begin_mesh_split(self, fault):
        """Cuts the routers into two sides that do not hear each other."""
        left = [number for number in self.all_routers() if (fault.salt >> number) % 2]
        right = [number for number in self.all_routers() if number not in left]
        self.cut({**{number: right for number in left}, **{number: left for number in right}})

    def end_mesh_split(self, fault):
        self.mend(self.all_routers())

    # Instances.
    def begin_member_dead(self, fault):
        self.history.write("begin member_dead", fault.target)
        self.change_list(self.engine_of(fault), "die", fault.target, True)

    def end_member_dead(self, fault):
        self.change_list(self.engine_of(fault), "die", fault.target, False)
        self.history.write("end member_dead", fault.target)

    def begin_member_paused(self, fault):
        self.history.write("begin member_paused", fault.target)
        self.change_list(self.engine_of(fault), "pause", fault.target, True)

    def end_member_paused(self, fault):
        self.change_list(self.engine_of(fault), "pause", fault.target, False)
        self.history.write("end member_paused", fault.target)

    def begin_member_slow(self, fault):
        self.history.write("begin member_slow", fault.target)
        self.set_fault(self.engine_of(fault), {"straggle": {fault.target: 2 + fault.salt % 20}})

    def end_member_slow(self, fault):
        self.set_fault(self.engine_of(fault), {"straggle": {}})
        self.history.write("end member_slow", fault.target)

    def begin_member_leaving(self, fault):
        self.history.write("begin member_leaving", fault.target)
        self.change_list(self.engine_of(fault), "leave", fault.target, True)

    def end_member_leaving(self, fault):
        """The platform takes the instance away; another life of it is listed a little later."""
        self.change_list(self.engine_of(fault), "die", fault.target, True)
        time.sleep(0.5)
        self.change_list(self.engine_of(fault), "leave", fault.target, False)
        self.change_list(self.engine_of(fault), "die", fault.target, False)
        self.history.write("end member_leaving", fault.target)

    def begin_domain_dark(self, fault):
        self.history.write("begin domain_dark", fault.target)
        self.set_fault(self.engine_of(fault), {"dark": True})

    def end_domain_dark(self, fault):
        self.set_fault(self.engine_of(fault), {"dark": False})
        self.history.write("end domain_dark", fault.target)

    def begin_service_dead(self, fault):
        self.history.write("begin service_dead", fault.target)
        self.change_list(self.service_of(fault), "die", fault.target, True)

    def end_service_dead(self, fault):
        self.change_list(self.service_of(fault), "die", fault.target, False)
        self.history.write("end service_dead", fault.target)

    def begin_service_paused(self, fault):
        self.history.write("begin service_paused", fault.target)
        self.change_list(self.service_of(fault), "pause", fault.target, True)

    def end_service_paused(self, fault):
        self.change_list(self.service_of(fault), "pause", fault.target, False)
        self.history.write("end service_paused", fault.target)

    def begin_service_slow(self, fault):
        self.history.write("begin service_slow", fault.target)
        self.set_fault(self.service_of(fault), {"slow_ms": 100 + fault.salt % 900})

    def end_service_slow(self, fault):
        self.set_fault(self.service_of(fault), {"slow_ms": 0})
        self.history.write("end service_slow", fault.target)

    def begin_service_drops(self, fault):
        self.history.write("begin service_drops", fault.target)
        self.set_fault(self.service_of(fault), {"drop_before_percent": 10, "drop_after_percent": 10 + fault.salt % 20})

    def end_service_drops(self, fault):
        self.set_fault(self.service_of(fault), {"drop_before_percent": 0, "drop_after_percent": 0})
        self.history.write("end service_drops", fault.target)

    # Requests and documents.
    def begin_poison(self, fault):
        """One caller sends a request that crashes each upstream that runs it, again and again."""
        self.history.write("begin poison")
        for url in self.cluster.engines.values():
            self.set_fault(url, {"crash_marker": MARKER, "crash_return_ms": 1500})
        body = json.dumps({"model": "verifier-llm", "messages": [{"role": "user", "content": MARKER}]})
        headers = {"Authorization": "Bearer newsroom-key", "Content-Type": "application/json"}

        def insist():
            for turn in range(8):
                router = 1 + (fault.salt + turn) % self.cluster.routers
                deployment.call("POST", self.cluster.router_url(router) + "/v1/chat/completions", body, headers, 3)
                time.sleep(0.3)
        threading.Thread(target=insist, daemon=True).start()

    def end_poison(self, fault):
        self.history.write("end poison")

    def document(self, service):
        path = deployment.ROOT / "examples" / MODELS[service] / f"{service}.json"
        return json.loads(path.read_text())

    def version_of(self, service):
        """Returns the version that an operator would edit; nothing while the platform cannot be read."""
        status, headers, _ = deployment.call("GET", f"{self.cluster.store_url}/objects/service/{service}", timeout=2)
        return headers.get("ETag", "").strip('"') if status == 200 else None

    def edit(self, name, documents):
        """Applies several edits of one version at the same time; returns how each ended."""
        service = documents[0]["service"]
        version = deployment.wait_until(lambda: self.version_of(service), EDIT_SECONDS)
        if not version:
            return ["not read"]
        runs = []
        for editor, document in enumerate(documents):
            path = self.out / f"{name}-{editor}.json"
            path.write_text(json.dumps(document))
            runs.append(subprocess.Popen(
                [str(deployment.BIN / "persimmonctl"), "apply", str(path), "--expect", version,
                 "--store-url", self.cluster.store_url], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL))
        return [self.end_of(run) for run in runs]

    @staticmethod
    def end_of(run):
        try:
            return run.wait(EDIT_SECONDS)
        except subprocess.TimeoutExpired:
            run.kill()
            run.wait()
            return "did not end"

    def begin_document_race(self, fault):
        """Two operators edit one document at the same time."""
        self.history.write("begin document_race", fault.target)
        documents = []
        for editor in (0, 1):
            document = self.document(fault.target)
            document["model"]["version"] = self.version.get(fault.target, document["model"]["version"])
            document["limits"]["queue"] = 64 + (fault.salt + editor) % 128
            documents.append(document)
        ends = self.edit(f"race-{fault.salt}", documents)
        self.log(f"race on {fault.target} ended with {ends}")
        if ends.count(0) > 1:
            self.broken.add(f"both edits of {fault.target} from one version were accepted")

    def end_document_race(self, fault):
        self.history.write("end document_race", fault.target)

    def begin_rollout(self, fault):
        """An operator asks for another version of the model."""
        self.history.write("begin rollout", fault.target)
        document = self.document(fault.target)
        document["model"]["version"] = f"v{10 + fault.salt % 1000}"
        ends = self.edit(f"rollout-{fault.salt}", [document])
        self.log(f"rollout of {fault.target} ended with {ends}")
        if ends == [0]:
            self.version[fault.target] = document["model"]["version"]

    def end_rollout(self, fault):
        self.history.write("end rollout", fault.target)
