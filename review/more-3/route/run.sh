#!/usr/bin/env bash
# No case: see note.txt and review/REPORT-3.md. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# Writes record.txt. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" && export TROUBLE="${TROUBLE:-1}" && exec timeout --kill-after=4 114 python3 case.py
