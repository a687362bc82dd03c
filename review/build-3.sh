#!/usr/bin/env bash
# Builds what the cases 11 to 15 start besides the program of the deploy file. Their stand-ins are in
# Python and need no build: this only checks that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/stand.py 1[1-5]/case.py more-3/*/case.py <<'END'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed (tomllib)"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as text:
        ast.parse(text.read(), name)
END
