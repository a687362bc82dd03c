"""Starts three entry processes with stand-ins on loopback, without a catalogue or keys.

Prints the environment that examples/walk.sh needs and runs until it is interrupted, or, with
--run, runs one program in that environment and returns its exit status.
"""

import argparse
import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
from fleet import Fleet, wait_until  # noqa: E402  pylint: disable=wrong-import-position


def environment(fleet):
    """Returns the variables by which the fleet is reached."""
    entries = fleet.names("entry")
    return {
        "PATH": f"{fleet.binaries.resolve()}:{os.environ['PATH']}",
        "IBISHINGE_OPERATORS_API":
            ",".join(fleet.address(name, "operators-listen") for name in entries),
        "IBISHINGE_OPERATORS_TOKEN_FILE": fleet.token_file,
        "CALLERS_API": fleet.address(entries[0]),
    }


def lists_hosts(fleet, entry):
    """Returns true if an entry process has read a host list that is not empty."""
    status, _, answer = fleet.operators("GET", "/v1/hosts", entry=entry)
    return status == 200 and answer["hosts"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default=ROOT / "build/release",
                        help="folder of the built programs")
    parser.add_argument("--run", nargs=argparse.REMAINDER, help="program with its arguments")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with Fleet(arguments.binaries, entries=3, controls=0, targets_per_service=2, workers=0,
               configure=False) as fleet:
        variables = environment(fleet)
        # Until then requests are refused with not_ready, although /readyz answers 200.
        for name in fleet.names("entry"):
            wait_until(lambda name=name: lists_hosts(fleet, name), f"{name} with the host list")
        if arguments.run:
            return subprocess.run(arguments.run, env={**os.environ, **variables}, cwd=ROOT,
                                  check=False).returncode
        for name, value in variables.items():
            print(f"export {name}='{value}'", flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass
    return 0


if __name__ == "__main__":
    sys.exit(main())
