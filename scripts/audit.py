"""Compares what callers were told with what targets ran. Uses their logs only, not the daemons'."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field

COLUMNS = ("handed_in", "whole", "not_run", "unknown", "run_twice", "cut")


@dataclass
class Run:
    """One run of a request at a target."""
    target: str
    team: str
    attempt: str
    start_ms: float
    end_ms: float
    completed: bool


@dataclass
class Audit:
    """Counts for each team, and every broken promise as a line of text."""
    teams: dict = field(default_factory=lambda: defaultdict(Counter))
    violations: list = field(default_factory=list)

    def violation(self, text):
        self.violations.append(text)


def read_attempts(path):
    """Returns the callers' attempts by request id, in the order of their responses."""
    attempts = defaultdict(list)
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            attempt = json.loads(line)
            attempts[attempt["id"]].append(attempt)
    return attempts


def runs_by_request(target_logs):
    """Returns the runs of all targets by request id. `target_logs`: answers of /admin/log."""
    runs = defaultdict(list)
    for target, log in target_logs.items():
        for run in log["runs"]:
            runs[run["request_id"]].append(Run(target, run["team"], run["attempt_id"],
                                               run["start_ms"], run["end_ms"], run["completed"]))
    return runs


def read_runs(path, ended_ms=()):
    """Returns the log of a target in the form of /admin/log from the file that it appends to.

    A run without an end was cut off when its process was killed, at one of `ended_ms`.
    """
    runs = []
    open_runs = {}
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            event = json.loads(line)
            if "start_ms" in event:
                run = {**event, "end_ms": 0, "completed": False}
                open_runs[event["run"]] = run
                runs.append(run)
            else:
                open_runs[event["run"]].update(event)
    for run in runs:
        if run["end_ms"] == 0:
            run["end_ms"] = min((ended for ended in ended_ms if ended >= run["start_ms"]),
                                default=0)
    return {"runs": runs}


def audit_not_run(audit, identifier, attempts, runs):
    """A "not run" holds for all attempts sent before it was told.

    An attempt that the caller sends after it was told may run.
    """
    for told, attempt in enumerate(attempts):
        if attempt.get("run") != "not_run":
            continue
        later = attempts[told + 1]["sent_at_ms"] if told + 1 < len(attempts) else float("inf")
        if any(run.start_ms < later for run in runs):
            audit.violation(f"{identifier}: told not_run, but ran")


def audit_request(audit, identifier, attempts, runs, killed_entries):
    """Classifies one request by its last answer and checks the promises made about it."""
    first = attempts[0]
    team = audit.teams[first["team"]]
    team["handed_in"] += 1
    results = [attempt["result"] for attempt in attempts]
    if "wrong_body" in results:
        audit.violation(f"{identifier}: response is not the whole answer to this request")
    if not first["idempotent"] and len(runs) > 1:
        team["run_twice"] += 1
        audit.violation(f"{identifier}: not idempotent, ran {len(runs)} times")
    audit_not_run(audit, identifier, attempts, runs)
    for attempt in attempts:
        if attempt["result"] == "cut" and attempt["entry"] not in killed_entries:
            team["cut"] += 1
            audit.violation(f"{identifier}: cut at {attempt['entry']}: {attempt.get('message')}")
    if runs and all(attempt.get("run") == "attempt_not_run" for attempt in attempts):
        audit.violation(f"{identifier}: all attempts told attempt_not_run, but ran")
    if "whole" in results:
        team["whole"] += 1
        if not runs:
            audit.violation(f"{identifier}: answered, but no target ran it")
    elif attempts[-1].get("run") in ("not_run", "attempt_not_run"):
        team["not_run"] += 1
    else:
        team["unknown"] += 1


def audit_limits(audit, runs, limits):
    """Checks that no team ever had more running than its upper limit, over all targets."""
    events = defaultdict(list)
    for group in runs.values():
        for run in group:
            events[run.team].append((run.start_ms, 1))
            events[run.team].append((run.end_ms, -1))
    for team, changes in events.items():
        running = highest = 0
        for _, change in sorted(changes):
            running += change
            highest = max(highest, running)
        audit.teams[team]["highest_running"] = highest
        if team in limits and highest > limits[team]:
            audit.violation(f"team {team}: {highest} running, upper limit {limits[team]}")


LEDGER_STEPS = {None: {"claimed", "released"}, "claimed": {"finished", "released"},
                "released": {"claimed", "released"}, "finished": set()}


def audit_ledger(audit, changes, attempts, runs):
    """Checks the history of each ledger record, and what callers and targets say against it.

    `changes`: list of the store's /admin/history.
    """
    histories = defaultdict(list)
    for change in changes:
        if change["key"].startswith("request/") and change["value"] is not None:
            record = json.loads(change["value"])
            histories[change["key"].split("/", 2)[2]].append((record["state"], record["attempt"]))
    for identifier, history in histories.items():
        state, attempt = None, None
        for next_state, next_attempt in history:
            own = state != "claimed" or next_attempt == attempt
            if next_state not in LEDGER_STEPS[state] or not own:
                audit.violation(f"{identifier}: ledger went from {state} to {next_state}"
                                f"{'' if own else ' by another attempt'}")
            state, attempt = next_state, next_attempt
    for identifier, group in attempts.items():
        if group[0]["idempotent"]:
            continue
        history = histories.get(identifier, [])
        if any(a.get("run") == "not_run" for a in group) and "released" not in dict(history):
            audit.violation(f"{identifier}: told not_run without a release in the store")
        for run in runs.get(identifier, []):
            if ("claimed", run.attempt) not in history:
                audit.violation(f"{identifier}: ran without a claim in the store")


def audit_grants(audit, changes):
    """Checks that the grants of a team never add up to more than its limit."""
    for change in changes:
        if change["key"].startswith("allowance/") and change["value"] is not None:
            record = json.loads(change["value"])
            total = sum(holder["grant"] for holder in record["holders"].values())
            if total > record["limit"]:
                audit.violation(f"{change['key']}: {total} granted, limit {record['limit']}")


def audit_run(attempts, target_logs, limits, killed_entries=()):
    """Returns the audit of one run of the load tool."""
    audit = Audit()
    runs = runs_by_request(target_logs)
    for identifier, group in attempts.items():
        audit_request(audit, identifier, group, runs.get(identifier, []), killed_entries)
    audit_limits(audit, runs, limits)
    return audit


def check_counts(result, offered):
    """The classes of all teams have to add up to what the load tool sent."""
    handed_in = sum(counts["handed_in"] for counts in result.teams.values())
    if handed_in != offered:
        result.violation(f"{offered} requests offered, {handed_in} found in the callers' log")
    for team, counts in result.teams.items():
        if counts["handed_in"] != counts["whole"] + counts["not_run"] + counts["unknown"]:
            result.violation(f"team {team}: the counts do not add up")


def print_table(audit):
    """Prints the counts of each team."""
    header = ("team", *COLUMNS, "highest_running")
    print("  ".join(f"{name:>15}" for name in header))
    for team, counts in sorted(audit.teams.items()):
        row = (team, *(counts[column] for column in COLUMNS), counts["highest_running"])
        print("  ".join(f"{value:>15}" for value in row))
