"""Stand-ins for the operators' platform, its workers and its callers, on loopback and the real clock.

They follow PROTOCOL.md and DEPLOY.md: the store, the interface to machines and the workers answer as
the pages say, and where a page is silent they do what a sound one would do.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS = itertools.count(16000 + os.getpid() * 37 % 9000)


def free_address():
    """A loopback address below the range that the kernel gives to outgoing connections."""
    while True:
        port = 15000 + next(PORTS) % 17000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"


def wall_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def add(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


class Drop(Exception):
    """The connection is closed without an answer."""


class HttpServer:
    """Calls `handle(method, path, query, headers, body)`, which returns (status, document)."""

    def __init__(self, address=None):
        self.address = address or free_address()
        self.server = None
        self.writers = set()

    async def open(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), backlog=512)
        return self

    def shut(self):
        """Nobody listens any more, and all connections are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := (await reader.readline()).decode().strip()):
                    name, value = line.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {name: values[-1] for name, values in parse_qs(url.query).items()}
                status, document = await self.handle(method, url.path, query, headers, body)
                data = b"" if document is None else json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (Drop, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, query, headers, body):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store."""

    VALUE_BYTES = 1_048_576  # value-bytes of DEPLOY.md's example

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.leases = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        self.lease_numbers = itertools.count(1000)
        self.refused_values = 0

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """A write of the operator or of a worker."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), lease)
        self._notify()
        return self.revision

    def _put(self, key, text, lease):
        before = self.items.get(key)
        item = {"key": key, "value": text, "revision": self.revision,
                "created": before["created"] if before else self.revision, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def delete(self, keys):
        keys = [key for key in keys if key in self.items]
        if keys:
            self.revision += 1
            for key in keys:
                del self.items[key]
                self.history.append((self.revision, key,
                                     {"key": key, "revision": self.revision, "deleted": True}))
            self._notify()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _expire(self):
        now = time.monotonic()
        for lease, (_, until) in list(self.leases.items()):
            if until <= now:
                del self.leases[lease]
                self.delete([key for key, item in self.items.items() if item["lease"] == lease])

    async def watch_leases(self):
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        self._expire()
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current-rev": self.revision}
            return 200, dict(item, **{"current-rev": self.revision})
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"])
                          and key > query.get("after", ""))
            page, size = [], 0
            for key in keys:
                size += len(self.items[key]["value"])
                if len(page) >= 500 or (page and size > 1_400_000):
                    break
                page.append(self.items[key])
            return 200, {"items": page, "more-pages": len(page) < len(keys),
                         "current-rev": self.revision}
        if path == "/-/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
            while True:
                events = [item for revision, key, item in self.history
                          if revision > after and key.startswith(query["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current-rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            lease = next(self.lease_numbers)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if self.leases.pop(lease, None) is None:
                return 404, {}
            self.delete([key for key, item in self.items.items() if item["lease"] == lease])
            return 200, {}
        return 404, {}

    def transaction(self, change):
        entries = sum(len(change.get(part, [])) for part in ("precondition", "puts", "deletes"))
        for each in change.get("puts", []):
            size = len(base64.b64decode(each["value"]))
            if size > self.VALUE_BYTES:
                self.refused_values += 1
                if self.refused_values <= 5 or self.refused_values % 50 == 0:
                    self.record.add("store refuses a value of", size, "bytes for", each["key"],
                                    "refusals", self.refused_values)
                return 400, {"message": "value too large"}
        if entries > 32 or any(each["key"].startswith(("op/", "servers/"))
                               for each in change.get("puts", [])):
            return 403, {}
        if any(self.items.get(each["key"], {"revision": 0})["revision"] != each["revision"]
               for each in change.get("precondition", [])):
            return 412, {"items": [self.items[each["key"]] for each in change["precondition"]
                                   if each["key"] in self.items]}
        if any(each.get("lease") and each["lease"] not in self.leases
               for each in change.get("puts", [])):
            return 404, {}
        self.revision += 1
        for each in change.get("puts", []):
            self._put(each["key"], each["value"], each.get("lease", 0))
        for key in change.get("deletes", []):
            if self.items.pop(key, None):
                self.history.append((self.revision, key, {"key": key, "revision": self.revision,
                                                          "deleted": True}))
        self._notify()
        return 200, {"revision": self.revision}


class Machines(HttpServer):
    """The platform's interface to machines. One pool only, so that there is no place to move to."""

    def __init__(self, workers):
        super().__init__()
        self.workers = workers

    async def handle(self, method, path, query, headers, body):
        if path == "/-/machines":
            return 200, {"next-token": None, "machines": [
                {"machine": worker.machine, "pool": worker.service, "state": "up",
                 "zone": worker.zone, "labels": worker.labels, "capacity": worker.capacity,
                 "id": worker.id} for worker in self.workers]}
        return 400, {}


class Worker(HttpServer):
    """A minion. `run_ms(task, spec)` gives the length of a run; None: until it is stopped."""

    MAX_ENDS = 500

    def __init__(self, record, number, service, run_ms, hold_max_ms=10000, cpu=32000,
                 zone="zone-a"):
        super().__init__()
        self.record, self.service, self.run_ms, self.zone = record, service, run_ms, zone
        self.id, self.machine = f"i-{number:08x}", f"m-{number:05x}"
        self.labels = ["a", f"r1-{(number - 1) // 4}"]
        self.capacity = {"cpu": cpu, "mem-mb": 131072, "gpu": 0}
        self.hold_max_ms = hold_max_ms
        self.up = True
        self.cut = False
        self.silent_until = 0  # it writes its entry from then on
        self.catch = None  # a function that may take a start, which then has no answer
        self.runs = []  # [task, run, begin, end, how]; end None: it runs
        self._begin()
        self.end_seen = asyncio.Event()
        self.taken_note = 0
        self.ends_listed = 0
        self.starts = []  # (time, task, run)
        self.done = {}  # task: time of its end `done`

    def _begin(self):
        """A new process of the minion holds and knows nothing of before."""
        self.born, self.started = wall_ms(), time.monotonic()
        self.fence, self.until = 0, 0
        for each in self.runs:
            if each[3] is None:
                each[3:] = [self.record.now(), "crashed"]
        self.running, self.ended, self.over = {}, [], {}
        self.numbers = itertools.count(1)
        self.sequence = itertools.count(1)

    def says(self):
        """Whether it writes its entry, and which life it names there."""
        return self.up and not self.cut and time.monotonic() >= self.silent_until, self.born

    async def crash(self, down_s, entry_after_s=0.0):
        """The minion crashes and is back under its id after `down_s`. It writes its entry
        `entry_after_s` later, as it does so once in each heartbeat-ms."""
        self.record.add("minion", self.id, "crashes with", sorted(self.running))
        self.up = False
        self.shut()
        self._begin()
        await asyncio.sleep(down_s)
        self._begin()
        await self.open()
        self.silent_until = time.monotonic() + entry_after_s
        self.up = True
        self.record.add("minion", self.id, "is back")

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
                "sequence": next(self.sequence), "capacity": self.capacity, "labels": self.labels,
                "clock-ms": self.clock(), "machine": self.machine, "born": self.born}

    def _end(self, task, how):
        run = self.running.pop(task)
        run["row"][3:] = [self.record.now(), how]
        number = next(self.numbers)
        self.ended.append([number, task, run["run"], how, ""])
        self.ends_listed += 1
        self.over[task] = max(self.over.get(task, 0), run["run"])
        if how == "done":
            self.done.setdefault(task, self.record.now())
        self.end_seen.set()
        self.end_seen = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            if not self.up:
                continue
            now = self.clock()
            for task, run in list(self.running.items()):
                if self.until <= now:
                    self._end(task, "lapsed")
                elif run["ends"] is not None and run["ends"] <= now:
                    self._end(task, "done")

    def _held(self):
        return sum(run["cpu"] for run in self.running.values())

    def _extend(self, order):
        if order.get("until-ms"):
            self.until = max(self.until, min(order["until-ms"], self.clock() + self.hold_max_ms))

    async def handle(self, method, path, query, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, None
        order = json.loads(body)
        if self.cut or (path == "/-/run-start" and self.catch and self.catch(self, order)):
            await asyncio.sleep(3600)  # silent
        answer = await self.carry_out(path, order)
        if self.cut:
            await asyncio.sleep(3600)
        return answer

    async def carry_out(self, path, order):
        if order.get("fencing-token", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fencing-token", 0)
        clock = {"clock-ms": self.clock()}
        if path == "/-/run-start":
            task, run = order["task"], order["run"]
            if order["until-ms"] <= self.clock():
                return 409, dict(clock, reason="late")
            self._extend(order)
            if task in self.running and self.running[task]["run"] == run:
                return 200, clock
            if run <= self.over.get(task, 0) or task in self.running:
                return 409, dict(clock, reason="old")
            cpu = 1000
            if self._held() + cpu > self.capacity["cpu"]:
                return 409, dict(clock, reason="room")
            length = self.run_ms(task, order["spec"])
            row = [task, run, self.record.now(), None, "runs"]
            self.runs.append(row)
            self.running[task] = {"run": run, "cpu": cpu, "began": self.clock(), "row": row,
                                  "ends": None if length is None else self.clock() + length}
            self.starts.append((self.record.now(), task, run))
            return 200, clock
        if path == "/-/run-stop":
            task, run = order["task"], order["run"]
            if task in self.running and self.running[task]["run"] <= run:
                self._end(task, "stopped")
            self.over[task] = max(self.over.get(task, 0), run)
            return 200, clock
        if path == "/-/hold":
            self._extend(order)
            seen = order.get("last-seen", 0)
            self.taken_note += sum(1 for end in self.ended if end[0] <= seen)
            self.ended = [end for end in self.ended if end[0] > seen]
            if not self.ended and order.get("wait-ms"):
                try:
                    await asyncio.wait_for(self.end_seen.wait(), order["wait-ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            rows = []
            for task, run in self.running.items():
                spent, length = self.clock() - run["began"], (run["ends"] or 0) - run["began"]
                percent = 100 if run["ends"] is None else min(99, 100 * spent // max(length, 1))
                rows.append([task, run["run"], "", percent, 1.0])
            return 200, {"clock-ms": self.clock(), "born": self.born, "running": rows,
                         "ended": self.ended[:self.MAX_ENDS]}
        if path == "/-/pace":
            return 200, clock
        return 400, clock


class Fleet:
    """The project's program, one process for each entry host, started as the deploy file says."""

    def __init__(self, record, folder, store, machines, count=3, memory_mb=260, values=None):
        self.record, self.folder, self.memory_mb = record, Path(folder), memory_mb
        self.nodes = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["fleet"]["run"].split()
        for number in range(count):
            peers = free_address()
            fields = {"node-name": f"edge-{number + 1}", "listen.front": free_address(),
                      "listen.ready": free_address(), "ip": peers.split(":")[0],
                      "internal-ports.0": peers.split(":")[1], "platform.address": store,
                      "cloud-api.address": machines, "advice": "", "zone": "zone-a",
                      "limits.cpu-share": "0.25", "platform.writes-per-s": "400",
                      "cloud-api.duty-per-s": "64.0", "bounds.stop-ms": "200",
                      "bounds.hold-max-ms": "10000", "bounds.far-x": "2"}
            fields.update(values or {})
            command = [re.sub(r"\{\{([^}]*)\}\}", lambda m, f=fields: f.get(m.group(1), ""), word)
                       for word in words]
            command[0] = str(ROOT / command[0])
            self.nodes.append({"name": fields["node-name"], "front": fields["listen.front"],
                               "ready": fields["listen.ready"], "peers": peers,
                               "command": command, "process": None, "peak_mb": 0, "ends": 0,
                               "watched": True})

    async def start(self, node):
        log = open(self.folder / f"{node['name']}.log", "ab")
        node["process"] = await asyncio.create_subprocess_exec(
            *node["command"], stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            cwd=ROOT)
        log.close()
        self.record.add("started", node["name"])

    async def start_all(self):
        for node in self.nodes:
            await self.start(node)

    def memory(self, node):
        try:
            text = Path(f"/proc/{node['process'].pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0

    async def platform(self):
        """Kills a process above its memory, and starts one again that has ended (DEPLOY.md)."""
        while True:
            await asyncio.sleep(0.05)
            for node in self.nodes:
                process = node["process"]
                if process is None or not node["watched"]:
                    continue
                if process.returncode is None:
                    used = self.memory(node)
                    node["peak_mb"] = max(node["peak_mb"], used)
                    if used > self.memory_mb:
                        self.record.add(node["name"], f"uses {used:.0f} MB, more than memory-mb",
                                        self.memory_mb, "and is killed")
                        process.kill()
                        await process.wait()
                if process.returncode is not None:
                    node["ends"] += 1
                    self.record.add(node["name"], "has ended, code", process.returncode)
                    await asyncio.sleep(0.3)
                    await self.start(node)

    def stop_all(self):
        for node in self.nodes:
            process = node["process"]
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()


async def call(address, method, path, document=None, headers=None, timeout=3.0):
    """Returns (status, document); status 0: no answer."""
    host, port = address.split(":")
    data = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
             "Content-Type: application/json", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        answer = await reader.read()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body) if body else None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, IndexError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Callers:
    """Requesters: a call that gets no answer, 502 or 504 is sent again to another process, one that
    is answered 429 or 503 after a pause."""

    def __init__(self, record, fleet, host, prefix, key):
        self.record, self.fleet, self.prefix = record, fleet, prefix
        self.headers = {"Host": host, "Authorization": f"Bearer {key}", "Request-Deadline": "3000"}
        self.turn = itertools.count()

    def address(self):
        return self.fleet.nodes[next(self.turn) % len(self.fleet.nodes)]["front"]

    async def submit(self, job, document, attempts=5, pause=0.5):
        """Returns the answers to all attempts; the last one is 200 if the job was accepted."""
        answers = []
        for _ in range(attempts):
            status, _ = await call(self.address(), "POST", self.prefix + job, document,
                                   self.headers)
            answers.append(status)
            if status in (200, 400, 401, 404):
                break
            await asyncio.sleep(pause)
        self.record.add("submit", job, "answers", answers)
        return answers

    async def state(self, job, attempts=4):
        """Returns the job's state, the last status if there is none."""
        status = 0
        for _ in range(attempts):
            status, document = await call(self.address(), "GET", self.prefix + job, None,
                                          self.headers)
            if status == 200:
                return document["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return str(status)


def manifest(version, queues, services, tenants):
    return json.dumps({
        "version": version,
        "routes": [{"name": f"r-{name}", "host": host, "prefix": prefix, "route-type": "unsafe",
                    "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0,
                    "service": service, "max-attempts": 2, "stretch": 1.6, "skip-auth": False}
                   for name, host, prefix, service in queues],
        "services": [{"name": name, "health-path": "/health", "conn-limit": 64, "protocol": "h1",
                      "tls": False, "rejects-overload": True, "spare": False}
                     for name in services],
        "limits": {"header-bytes": 16384, "body-bytes": 262144, "header-timeout-ms": 3000,
                   "idle-timeout-ms": 15000},
        "tenants": [{"name": name, "api-keys": keys, "priority": 1, "weight": 10,
                     "cap": {"cpu": 0, "mem-mb": 0, "gpu": 0}} for name, keys in tenants],
    }).encode()


class Lab:
    """A small deployment: store, machines, workers of one service and entry processes."""

    make_store = Store

    def __init__(self, record, logs, run_ms, workers=8, processes=3, values=None):
        self.record = Record(record)
        self.logs, self.run_ms = logs, run_ms
        self.worker_count, self.process_count, self.values = workers, processes, values
        self.tasks, self.memory_mb, self.fleet = [], 260, None

    async def __aenter__(self):
        try:
            return await self.open()
        except BaseException:
            await self.__aexit__()
            raise

    async def open(self):
        self.store = await self.make_store(self.record).open()
        self.workers = [await Worker(self.record, number + 1, "svc-a", self.run_ms).open()
                        for number in range(self.worker_count)]
        self.machines = await Machines(self.workers).open()
        self.store.put("op/config", manifest(1, [("one", "q.example", "/one/", "svc-a")],
                                             ["svc-a"], [("amber", ["key-amber"])]))
        self.fleet = Fleet(self.record, self.logs, self.store.address, self.machines.address,
                           self.process_count, self.memory_mb, self.values)
        for worker in self.workers:
            self.spawn(worker.work())
            self.spawn(self.report(worker))
        self.spawn(self.store.watch_leases())
        await self.fleet.start_all()
        self.spawn(self.fleet.platform())
        self.callers = Callers(self.record, self.fleet, "q.example", "/one/", "key-amber")
        return self

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def report(self, worker):
        heartbeat_s, silent = 1.5, 0
        while True:
            if worker.up and not worker.cut and time.monotonic() >= worker.silent_until:
                self.store.put("servers/" + worker.id, json.dumps(worker.entry()).encode())
                silent = 0
            else:
                silent += 1
                if silent == 3:
                    self.store.delete(["servers/" + worker.id])
            for _ in range(30):  # sooner after a cut or a crash: what it says has changed
                before = worker.says()
                await asyncio.sleep(heartbeat_s / 30)
                if before != worker.says() and worker.says()[0]:
                    break

    async def ready(self, limit=20):
        """Waits until every process reports itself ready."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            states = [(await call(node["ready"], "GET", "/-/readiness", timeout=1))[0]
                      for node in self.fleet.nodes]
            if all(status == 200 for status in states):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        """The process named by the record of the leader, or None."""
        value = self.store.value("fleet/leader")
        name = json.loads(value)["name"] if value else None
        return next((node for node in self.fleet.nodes if node["name"] == name), None)

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        nodes = self.fleet.nodes if self.fleet else []
        if self.fleet:
            self.fleet.stop_all()
        for node in nodes:
            if node["process"] is not None:
                await node["process"].wait()
        self.record.add("all processes have ended")
        self.record.close()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play):
    """Runs `play(folder for logs)`, which returns (exit code, text). All processes that it started
    have ended afterwards, also if it is broken off."""

    async def run():
        task = asyncio.ensure_future(play(logs))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2, "broken off"
        except (OSError, RuntimeError, asyncio.TimeoutError, KeyError) as problem:
            return 2, f"the case couldn't run: {problem!r}"

    with tempfile.TemporaryDirectory() as logs:
        code, text = asyncio.run(run())
    print(text)
    sys.exit(code)
