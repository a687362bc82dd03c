"""Runs the whole system under load and faults and audits the outcome. Called by scripts/demo."""

import argparse
import json
import subprocess
import sys
import threading
import time

import audit
from jobs import JobLoad
from fleet import Fleet, wait_until

LEAVING_GRACE_MS = 6000


def teams_demand(fleet):
    """Demand of each team of the sample catalogue on the services it may use."""
    services = {team["name"]: [] for team in fleet.catalogue["teams"]}
    for service in fleet.catalogue["services"]:
        open_to = services if service["open_to"] == "all" else service["open_to"]
        for team in open_to:
            services[team].append(service["name"])
    return [{"name": team["name"], "key": fleet.keys[team["name"]]["key"],
             "services": services[team["name"]], "rate_per_second": 10 * team["share_weight"] + 5,
             "urgent_fraction": 0.2, "non_idempotent_fraction": 0.4, "repeat_fraction": 0.05}
            for team in fleet.catalogue["teams"]]


def start_load(fleet, seconds, seed):
    """Starts the load tool; returns its process and the path of the callers' log."""
    demand = fleet.directory / "teams.json"
    demand.write_text(json.dumps(teams_demand(fleet)))
    log = fleet.directory / "callers.jsonl"
    entries = ",".join(fleet.address(name) for name in fleet.names("entry"))
    load = subprocess.Popen([str(fleet.binaries / "ibishinge-load"), f"--entries={entries}",
                             f"--teams-file={demand}", f"--seconds={seconds}", f"--seed={seed}",
                             "--attempts=8", "--deadline-ms=8000", f"--log={log}"],
                            stdout=subprocess.PIPE)
    return load, log


def inject_faults(fleet, killed, left):
    """Kills an entry, a worker and a control process, lets a target leave, stops the store a while."""
    time.sleep(2)
    victim = fleet.names("entry")[-1]
    killed.append(fleet.address(victim))
    fleet.processes[victim].kill()
    time.sleep(2)
    target = fleet.names("target-")[0]
    fleet.admin(target, "/admin/fault", {"mode": "leave"})
    left.append((target, time.time() * 1000))
    fleet.processes[fleet.names("worker-")[0]].kill()
    fleet.processes[fleet.names("control-")[0]].kill()
    time.sleep(1)
    fleet.admin("store", "/admin/fault", {"mode": "down"})
    time.sleep(3)
    fleet.admin("store", "/admin/fault", {"mode": "none"})


def audit_leaving(result, logs, left):
    for target, since_ms in left:
        late = [run for run in logs[target]["runs"] if run["start_ms"] > since_ms + LEAVING_GRACE_MS]
        if late:
            result.violation(f"{target}: {len(late)} runs started {LEAVING_GRACE_MS} ms after it "
                             "said that it was leaving")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True, help="folder of the built programs")
    parser.add_argument("--seconds", type=int, default=14, help="duration of the load")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()

    with Fleet(arguments.binaries, controls=2, workers=4) as fleet:
        print(f"{len(fleet.processes)} processes, logs in {fleet.directory}")
        jobs = JobLoad(fleet, fleet.catalogue["queues"][0], jobs_per_team=6)
        jobs.submit()
        jobs.cancel([name for name in jobs.jobs if name.endswith("-5")])
        load, log = start_load(fleet, arguments.seconds, arguments.seed)
        killed, left = [], []
        faults = threading.Thread(target=inject_faults, args=(fleet, killed, left))
        faults.start()
        out, _ = load.communicate(timeout=arguments.seconds + 60)
        faults.join()
        wait_until(lambda: all(http_idle(fleet, name) for name in fleet.names("target-")),
                   "targets idle")
        logs = {name: fleet.admin(name, "/admin/log") for name in fleet.names("target-")}
        limits = {team["name"]: team["upper_limit"] for team in fleet.catalogue["teams"]}
        result = audit.audit_run(audit.read_attempts(log), logs, limits, killed)
        audit_leaving(result, logs, left)
        wait_until(jobs.all_final, "all jobs ended", timeout=180)
        workers = [name for name in fleet.names("worker-") if fleet.processes[name].alive()]
        jobs.audit(result, {name: fleet.admin(name, "/admin/log") for name in workers},
                   any_worker_died=True)
        audit.check_counts(result, json.loads(out)["requests"])
        counters = fleet.admin("store", "/admin/counters")
        exit_statuses = {name: fleet.processes[name].stop() for name in fleet.names("entry")
                         if fleet.processes[name].alive()}
    audit.print_table(result)
    print()
    jobs.print_table()
    print(f"store calls: {counters}")
    for name, status in exit_statuses.items():
        if status != 0:
            result.violation(f"{name}: exit status {status} after SIGTERM")
    for violation in result.violations[:20]:
        print(f"BROKEN: {violation}")
    print(f"{len(result.violations)} broken promises")
    return 1 if result.violations else 0


def http_idle(fleet, name):
    """Returns true if nothing runs at the target: every run of its log has ended."""
    return all(run["end_ms"] > 0 for run in fleet.admin(name, "/admin/log")["runs"])


if __name__ == "__main__":
    sys.exit(main())
