#!/bin/sh
# The stand-ins of the cases are Python programs (3.11, no further packages): nothing is compiled.
# They need target/ibishinge-fleet, from the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
python3 - <<'PROGRAM'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in glob.glob("standins/*.py") + glob.glob("[1-5]/*.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
