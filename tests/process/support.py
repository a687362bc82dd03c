"""Parts shared by the process-level tests: a fleet, load through all entry processes, the audit."""

import argparse
import copy
import json
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import audit  # noqa: E402
from fleet import OPERATORS_TOKEN, PEER_SECRET, Fleet, http, wait_until  # noqa: E402, F401

SEED = 20261204
# Only a bound against tests that never end; no verdict depends on it.
WAIT_S = 120
# Accepted changes are in force, and leaving targets left alone, after this time (design.md).
PROMISED_S = 6
BINARIES = ROOT / "build/release"


def use_binaries(folder):
    """Names the folder of the built programs."""
    global BINARIES
    BINARIES = Path(folder)


def main():
    """Runs the tests of the calling module. `--binaries FOLDER` names the built programs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--binaries", default=BINARIES, type=Path)
    arguments, rest = parser.parse_known_args()
    use_binaries(arguments.binaries)
    unittest.main(module="__main__", argv=[sys.argv[0], *rest], verbosity=2)


def small_catalogue(teams=("amber", "birch"), upper_limit=40, max_run_ms=2000):
    """One keyed service `work` and one service `status` open to all, with short run times."""
    catalogue = copy.deepcopy(json.loads((ROOT / "examples/catalogue.json").read_text()))
    catalogue["teams"] = [team for team in catalogue["teams"] if team["name"] in teams]
    for team in catalogue["teams"]:
        team["upper_limit"] = upper_limit
    services = {service["name"]: service for service in catalogue["services"]}
    work, status = services["render"], services["status"]
    work.update(name="work", open_to=list(teams), max_run_ms=max_run_ms)
    status.update(max_run_ms=max_run_ms)
    catalogue["services"] = [work, status]
    for queue in catalogue["queues"]:
        queue["open_to"] = list(teams)
    return catalogue


def small_fleet(entries=3, targets=3, run_ms=20, **options):
    """A fleet of the small catalogue."""
    fleet = Fleet(BINARIES, entries=entries, controls=0, targets_per_service=targets, workers=0,
                  target_run_ms=run_ms)
    fleet.catalogue = small_catalogue(**options)
    return fleet


def ask(fleet, entry, identifier, team="amber", service="work", key=None, idempotent=True,
        deadline_ms=5000):
    """Sends one request; returns (status, headers, body)."""
    headers = {"Ibishinge-Request-Id": identifier, "Ibishinge-Team": team,
               "Ibishinge-Deadline-Ms": str(deadline_ms), "Ibishinge-Class": "normal",
               "Ibishinge-Idempotent": "true" if idempotent else "false"}
    if key is not None:
        headers["Ibishinge-Key"] = key
    return http("POST", fleet.url(entry, f"/v1/services/{service}/requests"), "body", headers,
                timeout=deadline_ms / 1000 + WAIT_S)


def metric(fleet, entry, name):
    """Returns the value of a metric without labels, or None."""
    _, _, text = http("GET", fleet.url(entry, "/metrics"))
    for line in text.decode().splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return None


class Load:
    """The load tool, its callers' log, and the audit of the run."""

    def __init__(self, fleet, seconds=8, seed=SEED, rate=40, non_idempotent=0.5, deadline_ms=8000,
                 threads=128, services=("work",), balance=False):
        self.fleet = fleet
        self.seconds = seconds
        self.log = fleet.directory / f"callers-{seed}.jsonl"
        demand = fleet.directory / f"demand-{seed}.json"
        demand.write_text(json.dumps([
            {"name": team["name"], "key": fleet.keys[team["name"]]["key"],
             "services": list(services), "rate_per_second": rate, "urgent_fraction": 0.2,
             "non_idempotent_fraction": non_idempotent, "repeat_fraction": 0.05}
            for team in fleet.catalogue["teams"]]))
        addresses = ",".join(fleet.address(name) for name in fleet.names("entry"))
        self.child = subprocess.Popen(
            [str(fleet.binaries / "ibishinge-load"), f"--entries={addresses}",
             f"--teams-file={demand}", f"--seconds={seconds}", f"--seed={seed}", "--attempts=20",
             f"--deadline-ms={deadline_ms}", f"--threads={threads}", f"--balance={int(balance)}",
             f"--log={self.log}"],
            stdout=subprocess.PIPE)

    def lines(self):
        """The whole lines that the callers have logged so far."""
        text = self.log.read_text() if self.log.exists() else ""
        return [json.loads(line) for line in text[:text.rfind("\n") + 1].splitlines()]

    def wait_answers(self, count, accept=lambda line: True):
        """Waits until callers have logged `count` more answers of this kind."""
        before = sum(map(accept, self.lines()))
        wait_until(lambda: sum(map(accept, self.lines())) >= before + count
                   or self.child.poll() is not None, f"{count} more answers", WAIT_S)

    def finish(self):
        out, _ = self.child.communicate(timeout=self.seconds + WAIT_S)
        return json.loads(out)["requests"]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.child.poll() is None:
            self.child.kill()
        self.child.communicate()


def target_logs(fleet):
    """The runs of all targets, once all have ended."""
    def read(name):
        process = fleet.processes[name]
        return audit.read_runs(fleet.runs_file(name), process.ended_ms)

    def idle():
        return all(run["end_ms"] > 0 for name in fleet.names("target-")
                   for run in read(name)["runs"])

    wait_until(idle, "all runs ended", WAIT_S)
    return {name: read(name) for name in fleet.names("target-")}


def audit_load(fleet, load, disturbed=(), refused=()):
    """Ends the load and returns its audit.

    `disturbed`: entry processes that were killed or frozen, whose callers may see any cut;
    `refused`: those stopped gracefully, whose callers may only see refused connections.
    """
    offered = load.finish()
    attempts = audit.read_attempts(load.log)
    logs = target_logs(fleet)
    excused = {fleet.address(name) for name in refused}
    for group in attempts.values():
        for attempt in group:
            if (attempt["result"] == "cut" and attempt["entry"] in excused
                    and attempt["error"] == "unavailable"):
                attempt["result"] = "refused"
    limits = {team["name"]: team["upper_limit"] for team in fleet.catalogue["teams"]}
    result = audit.audit_run(attempts, logs, limits, {fleet.address(name) for name in disturbed})
    history = fleet.admin("store", "/admin/history")
    if history["dropped"]:
        result.violation(f"store: {history['dropped']} changes are missing in the history")
    audit.audit_ledger(result, history["changes"], attempts, audit.runs_by_request(logs))
    audit.audit_grants(result, history["changes"])
    audit.check_counts(result, offered)
    return result


class ProcessTest(unittest.TestCase):
    """Base of the tests: prints the audit and fails on a broken promise."""

    def check(self, result, least_whole=1):
        print()
        audit.print_table(result)
        self.assertEqual(result.violations[:20], [])
        for team, counts in result.teams.items():
            self.assertGreaterEqual(counts["whole"], least_whole, team)

    def store_calls(self, fleet):
        print(f"store calls: {fleet.admin('store', '/admin/counters')}")


def in_background(function, *arguments):
    thread = threading.Thread(target=function, args=arguments)
    thread.start()
    return thread


def wall_ms():
    return time.time() * 1000
