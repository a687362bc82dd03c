"""Hands in jobs, follows them to their end and audits them against the workers' logs."""

import json
from collections import Counter, defaultdict

from fleet import http

# Long enough for the faults of the demo to meet running tasks.
RUN_MS = 8000
FINAL_STATES = ("done", "failed", "cancelled", "lost")


class JobLoad:
    """Jobs of all teams of one queue."""

    def __init__(self, fleet, queue, jobs_per_team):
        self.fleet = fleet
        self.queue = queue["name"]
        self.teams = queue["open_to"]
        self.states = {}
        self.jobs = {f"{team}-job-{number}": (team, number % 2 == 0)
                     for team in self.teams for number in range(jobs_per_team)}

    def call(self, method, path, team, body=None):
        """Calls a live entry process; returns (status, JSON)."""
        entry = next(name for name in self.fleet.names("entry")
                     if self.fleet.processes[name].alive())
        headers = {"Ibishinge-Team": team, "Ibishinge-Key": self.fleet.keys[team]["key"]}
        status, _, answer = http(method, self.fleet.url(entry, path),
                                 None if body is None else json.dumps(body), headers, timeout=10)
        return status, json.loads(answer)

    def submit(self):
        """Hands in every job; one that is refused is left out of `jobs`."""
        for identifier, (team, repeatable) in list(self.jobs.items()):
            status, answer = self.call("POST", f"/v1/queues/{self.queue}/jobs", team,
                                       {"id": identifier, "processors": 4, "memory_mb": 1024,
                                        "run_ms": RUN_MS, "repeatable": repeatable,
                                        "payload": json.dumps({"run_ms": RUN_MS})})
            if status != 201:
                raise ValueError(f"{identifier}: status {status}: {answer}")

    def cancel(self, identifiers):
        for identifier in identifiers:
            self.call("DELETE", f"/v1/jobs/{self.queue}/{identifier}", self.jobs[identifier][0])

    def all_final(self):
        """Reads the state of every job that is not known to be final."""
        for identifier, (team, _) in self.jobs.items():
            if self.states.get(identifier) in FINAL_STATES:
                continue
            status, answer = self.call("GET", f"/v1/jobs/{self.queue}/{identifier}", team)
            if status == 200:
                self.states[identifier] = answer["state"]
        return len(self.states) == len(self.jobs) and all(
            state in FINAL_STATES for state in self.states.values())

    def audit(self, result, worker_logs, any_worker_died):
        """Compares the states told to callers with what the workers ran."""
        runs = defaultdict(list)
        for log in worker_logs.values():
            for run in log["runs"]:
                runs[run["job"].rsplit("/", 1)[-1]].append(run)
        for identifier, (_, repeatable) in self.jobs.items():
            state = self.states.get(identifier)
            if not repeatable and len(runs[identifier]) > 1:
                result.violation(f"{identifier}: not repeatable, ran {len(runs[identifier])} times")
            if state not in FINAL_STATES:
                result.violation(f"{identifier}: lost from sight, last state {state}")
            if state == "lost" and (repeatable or not any_worker_died):
                result.violation(f"{identifier}: lost although it could be run again")
            if state == "done" and not runs[identifier] and not any_worker_died:
                result.violation(f"{identifier}: done, but no worker ran it")

    def print_table(self):
        counts = defaultdict(Counter)
        for identifier, (team, _) in self.jobs.items():
            counts[team][self.states.get(identifier)] += 1
        print("  ".join(f"{name:>15}" for name in ("team", "jobs", *FINAL_STATES)))
        for team, states in sorted(counts.items()):
            row = (team, sum(states.values()), *(states[state] for state in FINAL_STATES))
            print("  ".join(f"{value:>15}" for value in row))
