#!/usr/bin/env bash
# The walk of README.md. Needs the environment that examples/local_fleet.py prints.
set -euo pipefail

# 1. Apply the first catalogue. It was made from nothing: revision 0.
ibishingectl catalogue apply examples/catalogue.json --revision=0

# 2. Give a key to a team. The secret is shown only here.
given=$(ibishingectl key give amber --output=json)
id=$(python3 -c 'import json, sys; print(json.load(sys.stdin)["id"])' <<<"$given")
key=$(python3 -c 'import json, sys; print(json.load(sys.stdin)["key"])' <<<"$given")

# 3. Send a request. curl repeats it, with the same id, while the answer has a Retry-After.
curl --silent --show-error --fail --retry 20 "http://$CALLERS_API/v1/services/search/requests" \
    --header 'Ibishinge-Request-Id: walk-1' --header 'Ibishinge-Team: amber' \
    --header "Ibishinge-Key: $key" --header 'Ibishinge-Deadline-Ms: 5000' \
    --data 'hello'
echo

# 4. Send it again: it is not run a second time, the kept response is returned.
curl --silent --show-error --fail --retry 20 "http://$CALLERS_API/v1/services/search/requests" \
    --header 'Ibishinge-Request-Id: walk-1' --header 'Ibishinge-Team: amber' \
    --header "Ibishinge-Key: $key" --header 'Ibishinge-Deadline-Ms: 5000' \
    --data 'hello'
echo

# 5. Withdraw the key; the answer names the members in which that is in effect.
ibishingectl key withdraw "$id"

# 6. The key no longer works: 401.
curl --silent --output /dev/null --write-out '%{http_code}\n' \
    "http://$CALLERS_API/v1/services/search/requests" \
    --header 'Ibishinge-Request-Id: walk-2' --header 'Ibishinge-Team: amber' \
    --header "Ibishinge-Key: $key" --header 'Ibishinge-Deadline-Ms: 5000' \
    --data 'hello'

# 7. See how the services keep their objectives.
ibishingectl report burn
