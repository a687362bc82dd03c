#!/usr/bin/env bash
# Runs the README's walk and checks what it prints. Guards against a first contact that fails: a
# request that is not answered, run twice, or still accepted after its key was withdrawn.
set -euo pipefail
out=$(examples/walk.sh)
echo "$out"
expect()
{
    local count
    count=$(grep -c -- "$2" <<<"$out" || true)
    [ "$count" -eq "$1" ] || { echo "expected $1 lines '$2', found $count" >&2; exit 1; }
}
expect 2 '^walk-1:hello$'
expect 1 '^401$'
expect 1 '^version 1, revision '
expect 1 '^withdrawn$'
expect 1 '^search .* 99.9% in 200 ms '
expect 0 'INCOMPLETE'
ibishingectl report burn --output=json | python3 -c '
import json, sys
window = json.load(sys.stdin)["services"]["search"]["windows"]["3d"]
sys.exit(0 if window["total"] >= 2 else f"the burn report lacks the requests: {window}")'
