"""Runs a fleet under load and random faults drawn from a seed. Called by scripts/soak."""

import argparse
import random
import sys
import time

import audit
from fleet import ROOT, wait_until

sys.path.insert(0, str(ROOT / "tests/process"))
import support  # noqa: E402

TARGET_FAULTS = ("stall", "fail", "cut", "late", "wrong_length", "close")
STORE_FAULTS = ("down", "slow", "late", "lost_response")


class Faults:
    """Draws one fault after the other; each lasts up to `longest_s` and is then taken back."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.disturbed = set()
        self.stopped = set()
        self.begun = time.monotonic()
        self.kinds = (self.kill_entry, self.freeze_entry, self.stop_entry, self.kill_target,
                      self.stop_target, self.target_fault, self.store_fault, self.two_at_once)

    def pause(self, longest_s=6):
        """Faults have to overlap with load for some time; no verdict depends on how long."""
        time.sleep(self.random.uniform(0.5, longest_s))

    def say(self, what):
        print(f"{time.monotonic() - self.begun:7.1f} s  {what}", flush=True)

    def pick(self, prefix):
        return self.random.choice(self.fleet.names(prefix))

    def next(self):
        self.random.choice(self.kinds)()

    def kill_entry(self):
        name = self.pick("entry")
        self.say(f"kill {name}")
        self.disturbed.add(name)
        self.fleet.processes[name].kill()
        self.pause()
        self.fleet.processes[name].start()

    def freeze_entry(self):
        name = self.pick("entry")
        self.say(f"freeze {name}")
        self.disturbed.add(name)
        self.fleet.processes[name].freeze()
        self.pause(12)
        self.fleet.processes[name].resume()

    def stop_entry(self):
        name = self.pick("entry")
        self.say(f"stop {name}")
        self.stopped.add(name)
        status = self.fleet.processes[name].stop(timeout=support.WAIT_S)
        if status != 0:
            raise ValueError(f"{name}: exit status {status} after SIGTERM")
        self.pause()
        self.fleet.processes[name].start()

    def kill_target(self):
        name = self.pick("target-")
        self.say(f"kill {name}")
        self.fleet.processes[name].kill()
        self.pause()
        self.fleet.processes[name].start()

    def stop_target(self):
        name = self.pick("target-")
        self.say(f"stop {name}")
        self.fleet.processes[name].stop(timeout=support.WAIT_S)
        self.pause()
        self.fleet.processes[name].start()

    def target_fault(self):
        name = self.pick("target-")
        mode = self.random.choice(TARGET_FAULTS)
        self.say(f"{name}: {mode}")
        self.fleet.admin(name, "/admin/fault", {"mode": mode, "delay_ms": 700})
        self.pause()
        self.fleet.admin(name, "/admin/fault", {"mode": "none"})

    def store_fault(self):
        mode = self.random.choice(STORE_FAULTS)
        self.say(f"store: {mode}")
        self.fleet.admin("store", "/admin/fault", {"mode": mode, "delay_ms": 300})
        self.pause()
        self.fleet.admin("store", "/admin/fault", {"mode": "none"})

    def two_at_once(self):
        mode = self.random.choice(STORE_FAULTS)
        self.say(f"store: {mode}, and")
        self.fleet.admin("store", "/admin/fault", {"mode": mode, "delay_ms": 300})
        self.random.choice((self.kill_entry, self.freeze_entry, self.kill_target))()
        self.fleet.admin("store", "/admin/fault", {"mode": "none"})


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True, help="folder of the built programs")
    parser.add_argument("--seconds", type=int, required=True)
    parser.add_argument("--seed", type=int, required=True)
    arguments = parser.parse_args()
    support.use_binaries(arguments.binaries)

    with (support.small_fleet(entries=4, targets=4, upper_limit=20, run_ms=100) as fleet,
          support.Load(fleet, arguments.seconds, arguments.seed, rate=60, deadline_ms=5000,
                       threads=256, balance=True) as load):
        print(f"{len(fleet.processes)} processes, logs in {fleet.directory}", flush=True)
        faults = Faults(fleet, arguments.seed)
        while time.monotonic() - faults.begun < arguments.seconds - 3:
            faults.next()
        result = support.audit_load(fleet, load, faults.disturbed,
                                    faults.stopped - faults.disturbed)
        for name in fleet.names("entry"):
            wait_until(lambda name=name:
                       support.http("GET", fleet.url(name, "/readyz"))[0] == 200,
                       f"{name} ready", support.WAIT_S)
        counters = fleet.admin("store", "/admin/counters")
    audit.print_table(result)
    print(f"store calls: {counters}")
    for violation in result.violations[:20]:
        print(f"BROKEN: {violation}")
    print(f"{len(result.violations)} broken promises")
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
