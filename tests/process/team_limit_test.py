"""The upper limit of a team over all entry processes, under faults. Invariant 5."""

import support
from support import Load, ProcessTest, audit_load, small_fleet, wait_until

LIMIT = 6


def running_after(fleet, since_ms):
    """The most runs of one team at the same time that began after `since_ms`."""
    events = []
    for name in fleet.names("target-"):
        runs = support.audit.read_runs(fleet.runs_file(name), fleet.processes[name].ended_ms)
        for run in runs["runs"]:
            if run["team"] == "amber" and run["start_ms"] > since_ms:
                events += [(run["start_ms"], 1), (run["end_ms"] or float("inf"), -1)]
    running = highest = 0
    for _, change in sorted(events):
        running += change
        highest = max(highest, running)
    return highest


def no_fault(_fleet, _load):
    """Demand alone."""


def kill_and_restart(fleet, load):
    """The predecessor's work is still running at the targets when its successor starts."""
    load.wait_answers(20)
    fleet.processes["entry-1"].kill()
    fleet.processes["entry-1"].start()
    load.wait_answers(100)


def freeze(fleet, load):
    fleet.processes["entry-2"].freeze()
    load.wait_answers(100)
    fleet.processes["entry-2"].resume()


def outage(fleet, load):
    fleet.admin("store", "/admin/fault", {"mode": "down"})
    load.wait_answers(100)
    fleet.admin("store", "/admin/fault", {"mode": "none"})


def lost_responses(fleet, load):
    fleet.admin("store", "/admin/fault", {"mode": "lost_response"})
    load.wait_answers(100)
    fleet.admin("store", "/admin/fault", {"mode": "none"})


def all_at_once(fleet, load):
    fleet.processes["entry-2"].freeze()
    fleet.admin("store", "/admin/fault", {"mode": "down"})
    fleet.processes["entry-1"].kill()
    fleet.processes["entry-1"].start()
    load.wait_answers(100)
    fleet.admin("store", "/admin/fault", {"mode": "none"})
    load.wait_answers(50)
    fleet.processes["entry-2"].resume()


class TeamLimitTest(ProcessTest):
    """Guards against starts above the limit, and against allowance lost for good."""

    CASES = (
        ("demand alone", no_fault, ()),
        ("killed and restarted", kill_and_restart, ("entry-1",)),
        ("frozen", freeze, ("entry-2",)),
        ("store down", outage, ()),
        ("store loses responses", lost_responses, ()),
        ("killed, frozen and store down", all_at_once, ("entry-1", "entry-2")),
    )

    def test_limit_holds_and_is_usable_again(self):
        for number, (name, fault, disturbed) in enumerate(self.CASES):
            with (self.subTest(name), small_fleet(run_ms=300, upper_limit=LIMIT) as fleet,
                  Load(fleet, seconds=14, rate=60, seed=support.SEED + number, deadline_ms=4000,
                       non_idempotent=0.2) as load):
                load.wait_answers(20)
                fault(fleet, load)
                self.check(audit_load(fleet, load, disturbed), least_whole=20)
                self.check_usable(fleet, disturbed)
                self.store_calls(fleet)

    def check_usable(self, fleet, disturbed):
        """New demand has to reach the limit; a grant lost for good would keep it below."""
        since = support.wall_ms()
        for number in range(10):
            with Load(fleet, seconds=5, rate=60, seed=number, non_idempotent=0) as load:
                self.check(audit_load(fleet, load, disturbed))
            if running_after(fleet, since) == LIMIT:
                return
        self.fail(f"{running_after(fleet, since)} of {LIMIT} in use after the faults")


if __name__ == "__main__":
    support.main()
