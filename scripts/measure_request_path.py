"""Added latency and cost of the request path. Called by scripts/measure-request-path."""

import argparse
import json
import os
import subprocess
import sys

from fleet import Fleet

TEAM = "amber"
SERVICE = "render"


def processor_seconds(process):
    """Returns the processor time that a process has used so far."""
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(fleet, processes, to, path, requests, concurrency, idempotent, prefix):
    """Runs the closed-loop bench once; adds the processor time of `processes` to its result."""
    before = sum(processor_seconds(process) for process in processes)
    out = subprocess.run([str(fleet.binaries / "bench-request-path"), f"--to={to}",
                          f"--path={path}", f"--team={TEAM}", f"--key-file={fleet.key_file}",
                          f"--idempotent={idempotent}", f"--requests={requests}",
                          f"--concurrency={concurrency}", f"--id-prefix={prefix}"],
                         check=True, capture_output=True, text=True).stdout
    result = json.loads(out)
    used = sum(processor_seconds(process) for process in processes) - before
    result["per_core"] = requests / used if used > 0 else float("nan")
    return result


def row(name, concurrency, result, direct):
    return (f"| {name} | {concurrency} | {result['p50_ms']:.2f} | {result['p99_ms']:.2f} "
            f"| {result['p50_ms'] / direct['p50_ms']:.2f} | {result['p99_ms'] / direct['p99_ms']:.2f} "
            f"| {result['requests_per_second']:.0f} | {result['per_core']:.0f} "
            f"| {result['per_core'] / direct['per_core']:.2f} | {result['failures']} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--run-ms", type=int, default=5, help="run time at the target")
    arguments = parser.parse_args()
    with Fleet(arguments.binaries, entries=1, targets_per_service=4,
               target_run_ms=arguments.run_ms) as fleet:
        key_file = fleet.directory / "key"
        key_file.write_text(fleet.keys[TEAM]["key"])
        fleet.key_file = key_file
        targets = fleet.names(f"target-{SERVICE}")
        entry = [fleet.processes["entry-0"]]
        print(f"Run time at the target {arguments.run_ms} ms, body 1 KiB, "
              f"{arguments.requests} requests each.\n")
        print("| path | in progress | p50 ms | p99 ms | p50 ratio | p99 ratio | requests/s "
              "| requests/core-s | ratio | failures |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        failures = 0
        for concurrency in (1, 8):
            direct = measure(fleet, [fleet.processes[targets[0]]], fleet.address(targets[0]),
                             "/run", arguments.requests, concurrency, 1, f"d{concurrency}-")
            print(row("direct", concurrency, direct, direct))
            for name, idempotent in (("entry, idempotent", 1), ("entry, not idempotent", 0)):
                result = measure(fleet, entry, fleet.address("entry-0"),
                                 f"/v1/services/{SERVICE}/requests", arguments.requests,
                                 concurrency, idempotent, f"e{concurrency}{idempotent}-")
                failures += result["failures"]
                print(row(name, concurrency, result, direct))
        print(f"\nStore calls: {fleet.admin('store', '/admin/counters')}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
