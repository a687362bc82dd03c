"""Measures the idle control cost of entry processes on loopback and fits its slopes.

Store and host list are reached through a relay in this process that counts TCP payload bytes and
HTTP calls of each entry process. Bytes between entry processes are read from the kernel's counters
of their connections (ss -ti).
"""

import argparse
import asyncio
import base64
import copy
import json
import math
import os
import re
import subprocess
import threading
import time
from collections import Counter

import fleet

CALL_LINE = re.compile(rb"(?:POST|GET|PUT|DELETE) (/[^ ]*) HTTP/1\.1\r\n")
BASE = {"entries": 4, "hosts": 50, "teams": 6, "pools": 4, "keys": 6}
TARGET = {"entries": 16, "hosts": 2500, "teams": 69, "pools": 42, "keys": 138}
SWEEPS = {"entries": (2, 4, 8, 16), "hosts": (50, 500, 2500), "teams": (6, 24, 69),
          "pools": (4, 16, 42), "keys": (6, 500, 1900)}
COLUMNS = (("cpu_percent", "CPU, % of a core"), ("rss_mb", "RSS, MB"), ("store", "store, B/s"),
           ("host_list", "host list, B/s"), ("peers", "peers, B/s"), ("total", "sum, B/s"),
           ("reads", "store reads/s"), ("writes", "store writes/s"))
BOUND_CPU_PERCENT, BOUND_MB, BOUND_BYTES = 2.8, 256, 16 * 1024


class Relay:
    """Forwards TCP connections to one address and counts bytes and calls by name."""

    def __init__(self):
        self.bytes = Counter()
        self.calls = Counter()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def listen(self, name, port):
        """Returns the port on which connections to `port` are accepted for `name`."""
        async def accept(reader, writer):
            try:
                to_reader, to_writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                writer.close()
                return
            await asyncio.gather(self._copy(name, reader, to_writer, True),
                                 self._copy(name, to_reader, writer, False))

        server = asyncio.run_coroutine_threadsafe(
            asyncio.start_server(accept, "127.0.0.1", 0), self.loop).result()
        return server.sockets[0].getsockname()[1]

    async def _copy(self, name, reader, writer, is_request):
        try:
            while data := await reader.read(1 << 16):
                self.bytes[name] += len(data)
                if is_request:
                    for path in CALL_LINE.findall(data):
                        self.calls[name, path.decode()] += 1
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def scaled_catalogue(teams, pools):
    """The example catalogue with more teams, and with a service, a queue and a wave entry a pool."""
    value = json.loads((fleet.ROOT / "examples/catalogue.json").read_text())
    rows = {name: value[name] for name in ("teams", "services", "queues", "pools")}
    for number in range(len(rows["teams"]), teams):
        rows["teams"].append({**rows["teams"][number % 6], "name": f"team-{number}"})
    names = [team["name"] for team in rows["teams"]]
    for number in range(len(rows["pools"]), pools):
        pool = {**rows["pools"][number % 3], "name": f"pool-{number}"}
        rows["pools"].append(pool)
        value["waves"][1]["pools"].append(pool["name"])
        rows["services"].append({**rows["services"][number % 4], "name": f"service-{number}"})
        rows["queues"].append({**rows["queues"][0], "name": f"queue-{number}", "pool": pool["name"]})
    for number, entry in enumerate(rows["services"] + rows["queues"]):
        if entry["open_to"] != "all":
            entry["open_to"] = [names[(number + k) % teams] for k in range(min(6, teams))]
    return value


class MeasuredFleet(fleet.Fleet):
    """Entry processes behind a counting relay, with a host list and keys of a given size."""

    def __init__(self, binaries, size):
        super().__init__(binaries, entries=size["entries"], controls=0, targets_per_service=0,
                         workers=0)
        self.size = size
        self.closed = threading.Event()
        self.relay = Relay()
        self.catalogue = scaled_catalogue(size["teams"], size["pools"])

    def launch_entry(self, name, number):
        store = self.relay.listen(f"{name}/store", self.ports["store"]["listen"])
        hosts = self.relay.listen(f"{name}/host_list", self.ports["hosts"]["listen"])
        return self.launch(
            name, "ibishinge-entry",
            [f"--store=127.0.0.1:{store}", f"--host-list=127.0.0.1:{hosts}",
             f"--data-centre=dc{number % 5 + 1}", f"--host={name}",
             f"--operators-token-file={self.token_file}", f"--peer-secret-file={self.peer_file}"],
            ("listen", "operators-listen", "peers-listen"))

    def publish_hosts(self):
        # No request is sent, so the targets' addresses need no listener.
        services = [service["name"] for service in self.catalogue["services"]]
        self.hosts = [
            {"id": f"host-{n:05}", "address": f"10.0.{n // 250}.{n % 250 + 1}", "state": "live",
             "data_centre": f"dc{n % 5 + 1}", "rack": f"rack-{n // 4:04}",
             "services": [{"name": services[n % len(services)], "slots": 8, "connections": 64,
                           "endpoint": f"10.0.{n // 250}.{n % 250 + 1}:9000"}]}
            for n in range(self.size["hosts"] - self.size["entries"])]
        super().publish_hosts()

    def give_keys(self):
        """Issues one key and writes copies of its record to the store, one call for all."""
        self.operators("POST", "/v1/keys", {"team": self.catalogue["teams"][0]["name"]})
        key = base64.b64encode(b"config/keys").decode()
        found = self.admin("store", "/v3/kv/range", {"key": key})["kvs"][0]
        document = json.loads(base64.b64decode(found["value"]))
        first = document["keys"][0]
        teams = [team["name"] for team in self.catalogue["teams"]]
        document["keys"] = [{**first, "id": f"{n:016x}", "team": teams[n % len(teams)]}
                            for n in range(self.size["keys"])]
        text = json.dumps(document, separators=(",", ":")).encode()
        self.sizes_in_bytes = {"keys": len(text)}
        put = {"key": key, "value": base64.b64encode(text).decode()}
        self.admin("store", "/v3/kv/txn", {"success": [{"request_put": put}]})

    def counters(self):
        """Bytes and calls of each entry process since its start."""
        counted = {}
        peers = self._peer_bytes()
        for name in self.names("entry"):
            stat = open(f"/proc/{self.processes[name].child.pid}/stat").read().rsplit(")", 1)[1]
            ticks = sum(int(field) for field in stat.split()[11:13])
            calls = {path: count for (who, path), count in self.relay.calls.items()
                     if who == f"{name}/store"}
            counted[name] = {
                "cpu_percent": 100 * ticks / os.sysconf("SC_CLK_TCK"),
                "store": self.relay.bytes[f"{name}/store"],
                "host_list": self.relay.bytes[f"{name}/host_list"], "peers": peers[name],
                "reads": calls.get("/v3/kv/range", 0),
                "writes": sum(calls.values()) - calls.get("/v3/kv/range", 0)}
            counted[name]["total"] = sum(counted[name][part]
                                         for part in ("store", "host_list", "peers"))
        return counted

    def _start_all(self):
        self.connections = {}
        self.sampled = threading.Lock()
        threading.Thread(target=self._sample, daemon=True).start()
        super()._start_all()

    def _sample(self):
        # An idle connection is closed after 2 s and takes its counters with it.
        while not self.closed.wait(0.5):
            self._peer_bytes()

    def close(self):
        self.closed.set()
        super().close()

    def _peer_bytes(self):
        """Payload bytes of the peer connections seen so far, as client and as server."""
        pids = {str(self.processes[name].child.pid): name for name in self.names("entry")}
        listeners = {self.ports[name]["peers-listen"] for name in self.names("entry")}
        text = subprocess.run(["ss", "-tinpOH", "state", "established"], capture_output=True,
                              text=True, check=True).stdout
        found = []
        for line in text.splitlines():
            ports = [int(port) for port in re.findall(r"127\.0\.0\.1\]?:(\d+)", line)[:2]]
            pid = re.search(r"pid=(\d+)", line)
            if pid and pid[1] in pids and listeners & set(ports):
                found.append(((pids[pid[1]], *ports), sum(
                    int(count) for count in re.findall(r"bytes_(?:sent|received):(\d+)", line))))
        owner = Counter()
        with self.sampled:
            for connection, count in found:
                self.connections[connection] = max(count, self.connections.get(connection, 0))
            for (name, *_), count in self.connections.items():
                owner[name] += count
        return owner

    def memory_mb(self):
        """Resident memory of each entry process."""
        found = []
        for name in self.names("entry"):
            status = open(f"/proc/{self.processes[name].child.pid}/status").read()
            found.append(int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024)
        return found

    def idle(self, settle, seconds):
        """Rates of one entry process: mean over all, and the highest of the sum of bytes."""
        time.sleep(settle)
        before, start = self.counters(), time.monotonic()
        time.sleep(seconds)
        after, elapsed = self.counters(), time.monotonic() - start
        rates = {part: [(after[name][part] - before[name][part]) / elapsed for name in after]
                 for part in next(iter(after.values()))}
        mean = {part: sum(values) / len(values) for part, values in rates.items()}
        mean["rss_mb"] = max(self.memory_mb())
        mean["highest_total"] = max(rates["total"])
        mean["members_seen"] = len(self.names("entry"))
        return mean

    def calls_within(self, act, seconds, condition):
        """Runs `act`; returns reads, writes and bytes of one process in `seconds`, and the time
        until `condition` holds."""
        before, start = self.counters(), time.monotonic()
        act()
        fleet.wait_until(condition, "recovery", 60)
        took = time.monotonic() - start
        time.sleep(max(0, start + seconds - time.monotonic()))
        after = self.counters()
        mean = {part: sum(after[name][part] - before[name][part] for name in after) / len(after)
                for part in ("reads", "writes", "store", "host_list")}
        return {**mean, "took": took}

    def all_ready(self):
        return all(fleet.http("GET", self.url(name, "/readyz"))[0] == 200
                   for name in self.names("entry"))

    def restart_entries(self):
        for name in self.names("entry"):
            self.processes[name].kill()
        for name in self.names("entry"):
            self.processes[name].start()

    def revision_in_force(self, name):
        text = fleet.http("GET", self.url(name, "/metrics"))[2].decode()
        found = re.search(r"^ibishinge_configuration_revision\S* (\S+)", text, re.M)
        return float(found[1]) if found else 0

    def changes(self, count):
        """Makes `count` changes one after the other; returns the cost and time of one."""
        _, headers, _ = self.operators("GET", "/v1/catalogue")
        revision = int(json.loads(headers["ETag"].strip('W/')))
        idle = self.idle(0, 5)
        catalogue, times = copy.deepcopy(self.catalogue), []
        before, start = self.counters(), time.monotonic()
        for number in range(count):
            catalogue["teams"][0]["upper_limit"] = 100 + number
            sent = time.monotonic()
            revision = self.apply_catalogue(catalogue, revision)["revision"]
            fleet.wait_until(lambda: all(self.revision_in_force(name) >= revision
                                         for name in self.names("entry")), "change in force", 20)
            times.append(time.monotonic() - sent)
        time.sleep(2)
        after, elapsed = self.counters(), time.monotonic() - start
        cost = {}
        for part in ("store", "peers", "total", "reads", "writes", "cpu_percent"):
            grown = [after[name][part] - before[name][part] for name in after]
            cost[part] = (sum(grown) / len(grown) - idle[part] * elapsed) / count
        cost["first_entry"] = (after["entry-0"]["total"] - before["entry-0"]["total"]
                               - idle["total"] * elapsed) / count
        cost.update(mean_ms=1000 * sum(times) / count, max_ms=1000 * max(times),
                    document=len(json.dumps(catalogue, separators=(",", ":"))))
        return cost


def fit(points):
    """Least squares y = a + b x; returns (a, b, standard error of b)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    rest = sum((y - intercept - slope * x) ** 2 for x, y in points)
    error = math.sqrt(rest / (count - 2) / spread) if count > 2 else float("nan")
    return intercept, slope, error


def number(value):
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def print_sweep(name, rows):
    print(f"\n### {name}\n")
    print(f"| {name} | " + " | ".join(title for _, title in COLUMNS) + " |")
    print("| --- |" + " --- |" * len(COLUMNS))
    for x, measured in rows:
        print(f"| {x} | " + " | ".join(number(measured[part]) for part, _ in COLUMNS) + " |")
    if len(rows) < 3:
        return
    cells = []
    for part, _ in COLUMNS:
        _, slope, error = fit([(x, measured[part]) for x, measured in rows])
        cells.append(f"{slope:.3g} ± {error:.1g}")
    print("| slope | " + " | ".join(cells) + " |")


def print_bursts(options):
    """An outage of the store, its end, and the restart of all entry processes at once."""
    with MeasuredFleet(options.binaries, TARGET) as run:
        time.sleep(options.settle)
        run.admin("store", "/admin/fault", {"mode": "down", "close": True})
        print_sweep("store down", [(f"{TARGET['entries']} entries",
                                    run.idle(options.settle, options.seconds))])
        print(f"\nAll ready for work with keys during the outage: {run.all_ready()}")
        back = run.calls_within(
            lambda: run.admin("store", "/admin/fault", {"mode": "none"}), 5, run.all_ready)
        restart = run.calls_within(run.restart_entries, 10, run.all_ready)
        print("\n| burst | s until all are ready | reads of a process | writes of a process "
              "| store, B of a process | host list, B of a process |\n" + "| --- " * 6 + "|")
        for what, cost in (("store back, first 5 s", back),
                           ("all entries killed and started, first 10 s", restart)):
            print(f"| {what} | {cost['took']:.2f} | {cost['reads']:.1f} | {cost['writes']:.1f} "
                  f"| {number(cost['store'])} | {number(cost['host_list'])} |")
        rejected = run.admin("store", "/admin/counters")["rejected"]
        print(f"\nCalls rejected by the store for their rate: {rejected}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build/release")
    parser.add_argument("--sweeps", default=",".join(SWEEPS) + ",target",
                        help="comma-separated: " + ", ".join(SWEEPS) + ", target, changes, bursts, bench")
    parser.add_argument("--settle", type=float, default=5, help="seconds before a measurement")
    parser.add_argument("--seconds", type=float, default=8, help="seconds of a measurement")
    options = parser.parse_args()
    measured = {}

    def idle(size):
        key = tuple(size.values())
        if key not in measured:
            with MeasuredFleet(options.binaries, size) as run:
                measured[key] = run.idle(options.settle, options.seconds)
        return measured[key]

    print(f"Idle, {options.seconds:g} s after {options.settle:g} s of settling. Sizes if not "
          f"varied: {BASE}.", flush=True)
    for name in options.sweeps.split(","):
        if name in SWEEPS:
            print_sweep(name, [(x, idle({**BASE, name: x})) for x in SWEEPS[name]])
            if name == "entries":
                print("\nBy pairs: peers = a + b * entries * (entries - 1): b = {1:.3g} ± {2:.1g} "
                      "B/s".format(*fit([(x * (x - 1), idle({**BASE, name: x})["peers"])
                                         for x in SWEEPS[name]])))
        elif name == "target":
            print_sweep("entries at the target's sizes", [(TARGET["entries"], idle(TARGET))])
            got = idle(TARGET)
            print(f"\nBounds: {BOUND_CPU_PERCENT}% of a core, {BOUND_MB} MB, {BOUND_BYTES} B/s; "
                  f"highest sum of one process {number(got['highest_total'])} B/s.")
        elif name == "changes":
            print("\n### One change of the catalogue\n")
            print("| entries | teams | pools | document, B | in force everywhere, mean / max ms "
                  "| B of a process | B of the accepting process | reads | writes "
                  "| CPU ms of a process |")
            print("| --- |" + " --- |" * 9)
            for size in (BASE, {**BASE, "entries": 16}, TARGET):
                with MeasuredFleet(options.binaries, size) as run:
                    time.sleep(options.settle)
                    cost = run.changes(10)
                print(f"| {size['entries']} | {size['teams']} | {size['pools']} "
                      f"| {cost['document']} | {cost['mean_ms']:.0f} / {cost['max_ms']:.0f} "
                      f"| {number(cost['total'])} | {number(cost['first_entry'])} "
                      f"| {cost['reads']:.2f} | {cost['writes']:.2f} "
                      f"| {10 * cost['cpu_percent']:.1f} |", flush=True)
        elif name == "bursts":
            print_bursts(options)
        elif name == "bench":
            print(flush=True)
            subprocess.run([f"{options.binaries}/bench-capacity"], check=True)
        else:
            parser.error(f"unknown sweep {name}")
        print(flush=True, end="")


if __name__ == "__main__":
    main()
