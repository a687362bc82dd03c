"""Starts a small fleet of real processes on loopback for the demo and the process-level tests.

Every process started here is stopped by its id, also when the script fails.
"""

import base64
import itertools
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 60
# Shorter than the default, so that the jobs of a lost worker start again sooner; longer than the
# outage of the store in the demo, so that tasks outlive it.
TASK_LEASE_MS = 15000
STOP_TIMEOUT_S = 60
OPERATORS_TOKEN = "demo-operators-token"
PEER_SECRET = "demo-peer-secret"


# Below the range that the kernel gives to outgoing connections, which could otherwise take a port
# before the daemon listens. Runs at the same time begin at different places.
PORTS = range(15000, 32000)
_next_ports = itertools.count(os.getpid() * 997)


def free_port():
    """Returns a port that was free a moment ago and was not returned before."""
    while True:
        port = PORTS[next(_next_ports) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def http(method, url, body=None, headers=None, timeout=5):
    """Returns (status, headers, body) of a request; HTTP errors are not exceptions."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_until(condition, what, timeout=START_TIMEOUT_S):
    """Polls until the condition holds; raises TimeoutError with what was waited for."""
    give_up = time.monotonic() + timeout
    while time.monotonic() < give_up:
        try:
            if condition():
                return
        except (OSError, ValueError):
            pass
        time.sleep(0.02)
    raise TimeoutError(f"{what} not reached within {timeout} s")


class Process:
    """One process with its address, log file and arguments."""

    def __init__(self, name, binary, arguments, log):
        self.name = name
        self.command = [str(binary), *arguments]
        self.log = log
        self.child = None
        self.ended_ms = []  # wall-clock times at which it had been killed
        self.start()

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.command, stdout=out, stderr=out)

    def alive(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()
        self.ended_ms.append(time.time() * 1000)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Asks for a graceful stop and returns the exit status."""
        self.resume()
        self.signal(signal.SIGTERM)
        return self.child.wait(timeout)


class Fleet:
    """The stand-ins and daemons of one run. Use as a context manager.

    With `configure=False` no catalogue is applied and no key is given, so no entry process is ready.
    """

    def __init__(self, binaries, entries=3, controls=0, targets_per_service=3, workers=0,
                 catalogue=ROOT / "examples/catalogue.json", target_run_ms=20, configure=True):
        self.binaries = Path(binaries)
        self.directory = Path(tempfile.mkdtemp(prefix="ibishinge-"))
        self.catalogue = json.loads(Path(catalogue).read_text())
        self.sizes = (entries, controls, targets_per_service, workers)
        self.target_run_ms = target_run_ms
        self.configure = configure
        self.processes = {}
        self.ports = {}
        self.keys = {}
        self.hosts = []

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        for process in self.processes.values():
            process.resume()
            if process.alive():
                process.child.kill()
        for process in self.processes.values():
            process.child.wait()

    def url(self, name, path, port="listen"):
        return f"http://127.0.0.1:{self.ports[name][port]}{path}"

    def address(self, name, port="listen"):
        return f"127.0.0.1:{self.ports[name][port]}"

    def names(self, prefix):
        return [name for name in self.processes if name.startswith(prefix)]

    def launch(self, name, binary, arguments, ports=("listen",)):
        """Starts a process whose addresses are given as --PORT=ADDRESS."""
        if name not in self.ports:
            self.ports[name] = {port: free_port() for port in ports}
        addresses = [f"--{port}=127.0.0.1:{self.ports[name][port]}" for port in ports]
        self.processes[name] = Process(name, self.binaries / binary, addresses + arguments,
                                       self.directory / f"{name}.log")
        return self.processes[name]

    def admin(self, name, path, body=None):
        """Calls a stand-in's admin interface and returns the parsed answer."""
        method = "GET" if body is None else "POST"
        data = None if body is None else json.dumps(body)
        status, _, answer = http(method, self.url(name, path), data)
        if status >= 300:
            raise ValueError(f"{name}{path}: status {status}: {answer[:200]}")
        return json.loads(answer) if answer[:1] in (b"{", b"[") else None

    def operators(self, method, path, body=None, headers=None, entry=None):
        """Calls the operators' API of an entry process; returns (status, headers, JSON)."""
        entry = entry or next(name for name in self.names("entry") if self.processes[name].alive())
        all_headers = {"Authorization": f"Bearer {OPERATORS_TOKEN}", **(headers or {})}
        data = None if body is None else json.dumps(body)
        status, answer_headers, answer = http(method, self.url(entry, path, "operators-listen"),
                                              data, all_headers)
        return status, answer_headers, json.loads(answer or b"null")

    def _secret_file(self, name, text):
        path = self.directory / name
        path.write_text(text)
        path.chmod(0o600)
        return str(path)

    def _start_all(self):
        entries, controls, targets_per_service, workers = self.sizes
        self.token_file = self._secret_file("operators-token", OPERATORS_TOKEN)
        self.peer_file = self._secret_file("peer-secret", PEER_SECRET)
        self.launch("store", "standin-kv-store", [])
        self.launch("hosts", "standin-host-list", [])
        wait_until(lambda: http("GET", self.url("store", "/healthz"))[0] > 0, "store listening")
        services = [service["name"] for service in self.catalogue["services"]]
        for service in services:
            for number in range(targets_per_service):
                self.launch_target(f"target-{service}-{number}", service, number)
        for number in range(workers):
            self.launch_worker(f"worker-{number}", number)
        for name in self.processes:
            wait_until(lambda name=name: http("GET", self.url(name, "/healthz"))[0] > 0,
                       f"{name} listening")
        self.publish_hosts()
        for number in range(entries):
            self.launch_entry(f"entry-{number}", number)
        for number in range(controls):
            self.launch_control(f"control-{number}", number)
        for name in self.names("entry"):
            wait_until(lambda name=name: http("GET", self.url(name, "/healthz"))[0] == 200,
                       f"{name} healthy")
        if self.configure:
            self.apply_catalogue(self.catalogue)
            self.give_keys()
            self.wait_ready()

    def launch_target(self, name, service, number):
        self.launch(name, "standin-target", [f"--run-ms={self.target_run_ms}",
                                             f"--log-file={self.runs_file(name)}"])
        self.hosts.append({
            "id": f"host-{name}", "address": "127.0.0.1", "data_centre": f"dc{number % 2 + 1}",
            "rack": f"rack{number}", "state": "live",
            "services": [{"name": service, "endpoint": self.address(name), "slots": 8,
                          "connections": 64}]})

    def runs_file(self, name):
        """The file to which a target appends its runs; it outlives the process."""
        return self.directory / f"{name}.runs.jsonl"

    def launch_worker(self, name, number):
        """Starts a worker of the pool that runs the first queue's jobs."""
        self.launch(name, "standin-worker", ["--run-ms=1500", "--drain-ms=2000"])
        host = f"host-{name}"
        self.hosts.append({
            "id": host, "address": "127.0.0.1", "data_centre": f"dc{number % 2 + 1}",
            "rack": f"rack{number // 4}", "state": "live",
            "services": [{"name": "worker", "endpoint": self.address(name), "slots": 8,
                          "connections": 64}]})
        self.put_record(f"host/{host}", {
            "pool": self.catalogue["queues"][0]["pool"], "state": "in_service",
            "rack": f"rack{number // 4}", "data_centre": f"dc{number % 2 + 1}", "region": "r1"})

    def launch_control(self, name, number):
        return self.launch(
            name, "ibishinge-control",
            [f"--store={self.address('store')}", f"--host-list={self.address('hosts')}",
             f"--data-centre=dc{number % 2 + 1}", f"--host=entry-{number}",
             f"--peer-secret-file={self.peer_file}",
             f"--task-lease-ms={TASK_LEASE_MS}"])

    def put_record(self, key, value):
        """Writes a record that the platform's provisioning would write, such as a host's pool."""
        def text(part):
            return base64.b64encode(part.encode()).decode()
        put = {"request_put": {"key": text(key), "value": text(json.dumps(value))}}
        write = {"compare": [], "success": [put],
                 "failure": [{"request_range": {"key": text(key)}}]}
        self.admin("store", "/v3/kv/txn", {"compare": [], "success": [{"request_txn": write}],
                                           "failure": []})

    def launch_entry(self, name, number, store=None, peer_file=None):
        return self.launch(
            name, "ibishinge-entry",
            [f"--store={store or self.address('store')}", f"--host-list={self.address('hosts')}",
             f"--data-centre=dc{number % 2 + 1}", f"--host={name}",
             f"--operators-token-file={self.token_file}",
             f"--peer-secret-file={peer_file or self.peer_file}"],
            ("listen", "operators-listen", "peers-listen"))

    def publish_hosts(self):
        """Gives the host list all target hosts and the entry hosts."""
        entry_hosts = [{"id": f"entry-{number}", "address": "127.0.0.1", "rack": "entry",
                        "data_centre": f"dc{number % 2 + 1}", "state": "live", "services": []}
                       for number in range(self.sizes[0])]
        self.admin("hosts", "/admin/hosts", {"hosts": self.hosts + entry_hosts, "lag_ms": 500})

    def apply_catalogue(self, catalogue, revision=0):
        status, headers, answer = self.operators("PUT", "/v1/catalogue", catalogue,
                                                 {"If-Match": str(revision)})
        if status != 200:
            raise ValueError(f"catalogue not accepted: {status} {answer}")
        return answer

    def give_keys(self):
        for team in self.catalogue["teams"]:
            status, _, answer = self.operators("POST", "/v1/keys", {"team": team["name"]})
            if status not in (200, 201):
                raise ValueError(f"key not given: {status} {answer}")
            self.keys[team["name"]] = answer

    def wait_ready(self):
        for name in self.names("entry"):
            wait_until(lambda name=name: http("GET", self.url(name, "/readyz"))[0] == 200,
                       f"{name} ready")
