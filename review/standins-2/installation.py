"""A small installation on loopback: store, machines' interface, minions and the project's program.

The figures are those of the site halvorsen-kindling.
"""

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import urlsplit

from http_loop import Lost, port_of, request, serve
from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parent.parent.parent
CAPACITY = {"cpu": 64000, "mem-mb": 131072, "gpu": 0}
SETTINGS = {
    "zone": "cascadia-a", "limits.cpu-share": "0.25", "platform.writes-per-s": "400",
    "cloud-api.duty-per-s": "64.0", "bounds.stop-ms": "400", "bounds.hold-max-ms": "10000",
    "advice": ""}
UPKEEP_S = 2.0
MOVE_S = 1.5
HOST = "desk.example"
PREFIX = "/queue1/"
KEY = "key-of-amber"


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.path = path
        self.began = time.monotonic()
        self.rows = []

    def __call__(self, event, **fields):
        self.rows.append({"at": round(time.monotonic() - self.began, 3), "event": event} | fields)

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for row in self.rows:
                file.write(json.dumps(row) + "\n")

    def of(self, event):
        return [row for row in self.rows if row["event"] == event]


def manifest(version=3, pools=("pool1",), routes=True):
    return {
        "version": version,
        "routes": [{"name": "route1", "host": HOST, "prefix": PREFIX, "route-type": "unsafe",
                    "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0,
                    "service": pools[0], "max-attempts": 4, "stretch": 1.6,
                    "skip-auth": False}] if routes else [],
        "services": [{"name": name, "health-path": "/health", "conn-limit": 64, "protocol": "h1",
                      "tls": False, "rejects-overload": True, "spare": name == "spare"}
                     for name in pools],
        "limits": {"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": "amber", "api-keys": [KEY], "priority": 1, "weight": 32,
                     "cap": {"cpu": 0, "mem-mb": 0, "gpu": 0}}]}


class Machines:
    """The platform's interface to machines; fence numbers are not checked."""

    def __init__(self, installation):
        self.all = {}  # machine -> {"pool", "state", "worker"}
        self.installation = installation
        self.waves = {}  # wave -> machines that have begun their upkeep
        self.on_order = None

    async def handle(self, method, target, headers, body):
        path = urlsplit(target).path
        if method == "GET":
            return 200, {"machines": [
                {"machine": name, "pool": each["pool"], "state": each["state"],
                 "zone": "cascadia-a", "labels": [each["kind"], each["rack"]], "capacity": CAPACITY}
                | ({"id": each["worker"].name} if each["worker"] else {})
                for name, each in sorted(self.all.items())], "next-token": None}
        call = json.loads(body)
        machine = self.all[call["machine"]]
        fence = int(headers["fencing-token"])
        status, reason = 200, ""
        if path == "/-/machine-upkeep":
            begun = self.waves.setdefault(call["wave"], set())
            if call["machine"] not in begun:
                if machine["state"] != "up":
                    status, reason = 409, "busy"
                else:
                    begun.add(call["machine"])
                    self._down(call["machine"], "upkeep", machine["pool"], UPKEEP_S)
        elif machine["pool"] != call["pool"]:
            if machine["state"] != "up":
                status, reason = 409, "busy"
            else:
                self._down(call["machine"], "moving", call["pool"], MOVE_S)
        self.installation.record("machine_order", path=path, machine=call["machine"], fence=fence,
                                 holder=headers["duty-holder"], status=status, reason=reason,
                                 body=call)
        return status, {"reason": reason} if reason else {}

    def _down(self, name, state, pool, seconds):
        machine = self.all[name]
        machine["state"] = state
        worker, machine["worker"] = machine["worker"], None
        if worker:
            self.installation.remove_worker(worker)

        async def back():
            await asyncio.sleep(seconds)
            machine["pool"], machine["state"] = pool, "up"
            if pool != "spare":
                await self.installation.add_worker(name)

        self.installation.spawn(back())


class Installation:
    def __init__(self, record_path, describe):
        self.record = Record(record_path)
        self.describe = describe
        self.store = Store()
        self.machines = Machines(self)
        self.workers = []
        self.servers = []
        self.tasks = []
        self.children = []
        self.numbers = itertools.count(1)
        self.folder = tempfile.TemporaryDirectory()
        self.machines_port = self.store_port = 0

    def spawn(self, what):
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.append(task)
        return task

    async def start_platform(self):
        for handler, name in ((self.store.handle, "store_port"),
                              (self.machines.handle, "machines_port")):
            server = await serve(handler)
            self.servers.append(server)
            setattr(self, name, port_of(server))
        self.spawn(self.store.expire_leases())

    def add_machine(self, name, pool, rack="r1", kind="a"):
        self.machines.all[name] = {"pool": pool, "state": "up", "worker": None, "rack": rack,
                                   "kind": kind}

    async def add_worker(self, machine):
        """Starts a life of a minion on the machine."""
        each = self.machines.all[machine]
        worker = Worker(f"i-{next(self.numbers):04d}", machine, each["pool"], "cascadia-a",
                        each["rack"], CAPACITY, self.describe, self.record)
        server = await serve(worker.handle)
        self.servers.append(server)
        worker.address = f"127.0.0.1:{port_of(server)}"
        worker.server = server
        worker.kind = each["kind"]
        each["worker"] = worker
        self.workers.append(worker)
        self.spawn(worker.report(self.store))
        self.spawn(worker.watch_lease())
        return worker

    def remove_worker(self, worker):
        worker.leave()
        worker.server.close()

        async def expire():
            await asyncio.sleep(4.5)
            self.store.delete("servers/" + worker.name)

        self.spawn(expire())

    def start_fleet(self, name, store_port=None, machines_port=None):
        """Starts the program with the command of the deploy file."""
        with open(ROOT / "deploy/system.toml", "rb") as file:
            line = tomllib.load(file)["roles"]["fleet"]["run"]
        front, ready, peers = free_ports(3)
        values = SETTINGS | {
            "node-name": name, "ip": "127.0.0.1", "listen.front": f"127.0.0.1:{front}",
            "listen.ready": f"127.0.0.1:{ready}", "internal-ports.0": str(peers),
            "platform.address": f"127.0.0.1:{store_port or self.store_port}",
            "cloud-api.address": f"127.0.0.1:{machines_port or self.machines_port}"}
        for key, value in values.items():
            line = line.replace("{{" + key + "}}", value)
        words = line.split(" ")
        if "{{" in line or not (ROOT / words[0]).exists():
            raise CannotRun(f"cannot start: {line}")
        log = open(Path(self.folder.name) / f"{name}.log", "wb")
        child = subprocess.Popen(
            words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ})
        log.close()
        child.name, child.front, child.ready = name, front, ready
        self.children.append(child)
        return child

    def log_of(self, name):
        """Yields the program's structured log lines."""
        text = (Path(self.folder.name) / f"{name}.log").read_text(errors="replace")
        for line in text.splitlines():
            at = line.find("{")
            try:
                yield json.loads(line[at:])
            except ValueError:
                pass

    async def until_ready(self, limit=15.0):
        end = time.monotonic() + limit
        for child in self.children:
            while (await request(child.ready, "GET", "/-/readiness", timeout=1))[0] != 200:
                if time.monotonic() > end or child.poll() is not None:
                    raise CannotRun(f"{child.name} does not become ready")
                await asyncio.sleep(0.05)

    def leader(self):
        """Returns the process that holds the leader's record, or None."""
        value = self.store.value("fleet/leader")
        return next((c for c in self.children if value and c.name == value["name"]), None)

    async def call(self, child, method, path, document=None, timeout=3.0):
        status, answer = await request(child.front, method, path, {
            "Host": HOST, "Authorization": f"Bearer {KEY}",
            "Request-Deadline": str(int(timeout * 1000))}, document, timeout)
        self.record("call", to=child.name, method=method, path=path, status=status, answer=answer)
        return status, answer

    async def submit(self, job, steps, limit=10.0, prefix=PREFIX):
        """Hands a job in as requesters do: again while there is no decision."""
        end = time.monotonic() + limit
        for child in itertools.cycle(self.children):
            if time.monotonic() > end:
                raise CannotRun("a job was not accepted")
            status, _ = await self.call(child, "POST", prefix + job,
                                        {"spec": "text of " + job, "steps": steps})
            if status == 200:
                return
            await asyncio.sleep(0.2)

    def end(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
            child.wait()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        self.record.write()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for child in self.children:
                source = Path(self.folder.name) / f"{child.name}.log"
                (Path(keep) / source.name).write_bytes(source.read_bytes())
        self.folder.cleanup()


def free_ports(count):
    """Returns ports below the range that the kernel gives to outgoing connections."""
    found = []
    for offset in range(16000):
        port = 15000 + (os.getpid() * 997 + next(_offsets) + offset) % 16000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                found.append(port)
            except OSError:
                continue
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


_offsets = itertools.count(0, 17)


def main(case, record_path, describe, trouble, limit=105.0):
    """Runs `case(installation, trouble) -> list of broken rules` and exits with its status.

    What was sent, answered and run is written to `record_path`, also if the case cannot run.
    """

    async def run():
        installation = Installation(record_path, describe)
        try:
            await installation.start_platform()
            async with asyncio.timeout(limit):
                broken = await case(installation, trouble)
            for child in installation.children:
                status = child.poll()
                if status is not None and not getattr(child, "ended_by_case", False):
                    broken.append(f"fault: {child.name} ended by itself with {status}")
            for line in broken:
                installation.record("broken", text=line)
            return broken
        finally:
            installation.end()

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as problem:
        print(f"cannot run: {type(problem).__name__} {problem}")
        sys.exit(2)
    for line in broken[:10]:
        print(line)
    print(f"{len(broken)} breaks of a rule" if broken else "the rule held")
    sys.exit(1 if broken else 0)
