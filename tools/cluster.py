"""Starts and stops a deployment on loopback: stand-ins, routers and placers, each a process of its
own on ports counted from a base, so that several deployments can run side by side."""
import fcntl
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

import strictclient

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("PERSIMMON_BIN", ROOT / "build" / "bin"))
ZONES = ["nyarugenge", "gasabo", "kicukiro"]
MESH_KEY = "demo-mesh-key"
STOP_SECONDS = 15
# Below the ports that the system gives to outgoing connections. The tests take blocks in the same
# way (platform/standin/portblock.h), by a lock on the same files.
FIRST_BLOCK, LAST_BLOCK, PORTS_IN_BLOCK = 10000, 32000, 500


def call(method, url, body=None, headers=None, timeout=10):
    """Sends one request; returns (status, headers, text). Status 0 means that no answer came."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with strictclient.OPENER.open(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode(errors="replace")
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode(errors="replace")
    except (OSError, http.client.HTTPException):
        return 0, {}, ""


def open_connection(address, timeout):
    """Returns a connection to `ip:port` whose responses fail when their head is none of HTTP."""
    return strictclient.StrictConnection(address, timeout=timeout)


def wait_until(condition, seconds, interval=0.1):
    """Waits until the condition gives a true value and returns it, or the last value in the end."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value or time.monotonic() > deadline:
            return value
        time.sleep(interval)


def free_block():
    """Takes a block of ports that no other deployment of this machine uses; returns its first port
    and the lock, which holds until it is closed."""
    blocks = list(range(FIRST_BLOCK, LAST_BLOCK, PORTS_IN_BLOCK))
    random.SystemRandom().shuffle(blocks)
    for base in blocks:
        lock = open(pathlib.Path(tempfile.gettempdir()) / f"persimmon-ports-{base}.lock", "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        if not any(is_used(base + offset) for offset in range(0, PORTS_IN_BLOCK, 10)):
            return base, lock
        lock.close()
    raise SystemExit("no free block of ports")


def is_used(port):
    """Tells whether somebody accepts connections at a port of the loopback address."""
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


class Cluster:
    """A deployment. Names of processes: platform, router-N, placer-N, engine-DOMAIN, service-NAME."""

    def __init__(self, out, base_port=17000, routers=9, extra=None):
        self.out = pathlib.Path(out)
        self.out.mkdir(parents=True, exist_ok=True)
        self.base = base_port
        self.routers = routers
        self.extra = extra or {}
        self.commands = {}
        self.processes = {}
        self.lives = {}
        self.engines = {}
        self.services = {}

    def address(self, offset):
        return f"127.0.0.1:{self.base + offset}"

    @property
    def store_url(self):
        return "http://" + self.address(0)

    def router_address(self, number):
        return self.address(10 + number)

    def router_url(self, number):
        return "http://" + self.router_address(number)

    def mesh_address(self, number):
        return self.address(30 + number)

    def test_control_address(self, number):
        return self.address(100 + number)

    def placer_url(self, number):
        return "http://" + self.address(50 + number)

    def history_files(self):
        return sorted(str(path) for path in self.out.glob("*.jsonl"))

    def launch(self, name, program, flags):
        """Starts a process under a name; a later start of the same name is a new life of it."""
        life = self.lives.get(name, 0) + 1
        self.lives[name] = life
        command = [str(BIN / program)]
        for flag, value in {**flags, **self.extra.get(program, {})}.items():
            command += ["--" + flag, str(value)]
        self.commands[name] = (program, flags)
        log = open(self.out / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def restart(self, name):
        program, flags = self.commands[name]
        self.launch(name, program, flags)

    def start_platform(self, **flags):
        self.launch("platform", "standin-platform",
                    {"listen": self.address(0), "history": self.out / "platform.jsonl", **flags})

    def start_router(self, number, **flags):
        name = f"router-{number}"
        peers = ",".join(self.mesh_address(i) for i in range(1, self.routers + 1) if i != number)
        self.launch(name, "persimmon-router", {
            "id": name, "zone": ZONES[number % len(ZONES)], "listen": self.router_address(number),
            "mesh-listen": self.mesh_address(number), "peers": peers, "mesh-key": MESH_KEY,
            "store-url": self.store_url, "history": self.out / f"{name}.jsonl", **flags})

    def start_placer(self, number, **flags):
        name = f"placer-{number}"
        self.launch(name, "persimmon-placer", {
            "id": name, "zone": ZONES[number % len(ZONES)], "store-url": self.store_url,
            "router": self.mesh_address(number), "mesh-key": MESH_KEY, "lease-ms": 3000,
            "admin-listen": self.address(50 + number), "history": self.out / f"{name}.jsonl", **flags})

    def start_engine(self, domain, zone, instances, **flags):
        index = len(self.engines)
        control = self.address(70 + index)
        self.engines[domain] = "http://" + control
        self.launch(f"engine-{domain}", "standin-engine", {
            "domain": domain, "zone": zone, "instances": instances, "ip": "127.0.0.1",
            "base-port": self.base + 200 + 40 * index, "platform-url": self.store_url,
            "control-listen": control, "history": self.out / f"engine-{domain}.jsonl", **flags})

    def start_service(self, service, zone, instances, **flags):
        index = len(self.services)
        control = self.address(90 + index)
        self.services[service] = "http://" + control
        self.launch(f"service-{service}", "standin-service", {
            "service": service, "zone": zone, "instances": instances, "ip": "127.0.0.1",
            "base-port": self.base + 120 + 10 * index, "platform-url": self.store_url,
            "control-listen": control, "history": self.out / f"service-{service}.jsonl", **flags})

    def ctl(self, *words):
        """Runs persimmonctl; returns (exit code, output)."""
        routers = ",".join(self.router_url(i) for i in range(1, self.routers + 1))
        run = subprocess.run([str(BIN / "persimmonctl"), *words, "--store-url", self.store_url, "--routers", routers],
                             capture_output=True, text=True, timeout=90)
        return run.returncode, run.stdout + run.stderr

    def tables(self):
        """Returns the domain tables that the platform holds."""
        status, _, text = call("GET", self.store_url + "/objects/domain")
        return [json.loads(item["value"]) for item in json.loads(text)["items"]] if status == 200 else []

    def serving_groups(self, service):
        return [group for table in self.tables() for group in table["groups"]
                if group["service"] == service and group["state"] == "serving"]

    def record_fault(self, detail, instance="", address=""):
        """Appends a fault event (docs/HISTORY.md) to the deployment's own history."""
        event = {"kind": "fault", "at": int(time.monotonic() * 1000), "process": "script", "detail": detail}
        event.update({key: value for key, value in (("instance", instance), ("object", address)) if value})
        with open(self.out / "faults.jsonl", "a") as file:
            file.write(json.dumps(event) + "\n")

    def signal(self, name, number):
        process = self.processes.get(name)
        if process and process.poll() is None:
            process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop_all(self):
        """Stops all processes gracefully, ours first; returns the exit codes that are not 0."""
        codes = {}
        for group in (("router", "placer"), ("engine", "service", "platform")):
            chosen = [name for name in self.processes if name.startswith(group)]
            for name in chosen:
                self.signal(name, signal.SIGCONT)
                self.signal(name, signal.SIGTERM)
            deadline = time.monotonic() + STOP_SECONDS
            for name in chosen:
                codes[name] = self.wait_for(name, deadline)
        return {name: code for name, code in codes.items() if code != 0}

    def wait_for(self, name, deadline):
        process = self.processes[name]
        try:
            return process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return "did not stop"
