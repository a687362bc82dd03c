#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs (3.11, no further packages): nothing is
# compiled. The cases need target/ibishinge-fleet, from the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
python3 - <<'PROGRAM'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in glob.glob("standins-2/*.py") + glob.glob("[6-9]/*.py") + glob.glob("10/*.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
