#!/usr/bin/env bash
# No case: see review/REPORT-3.md and note.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" && exec timeout --kill-after=4 114 python3 case.py
