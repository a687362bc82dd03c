"""The platform's metadata store, as PROTOCOL.md gives it, in memory."""

import asyncio
import base64
import itertools
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http_loop import Lost

MAX_ENTRIES = 32
PAGE_ITEMS = 500
ANSWER_S = 0.004


class Store:
    def __init__(self):
        self.revision = 1
        self.items = {}  # key -> item
        self.events = []
        self.leases = {}  # id -> [ttl in s, end]
        self.numbers = itertools.count(1000)
        self.changed = asyncio.Event()
        self.down = False
        self.on_commit = None  # called with the keys of each applied transaction

    # Changes.

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self._notify(self.items[key])

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "deleted": True})

    def put_document(self, key, document):
        self.put(key, json.dumps(document).encode())

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        """Leases run on while the store is down; their keys go when they end."""
        while True:
            for lease, (_, end) in list(self.leases.items()):
                if time.monotonic() >= end:
                    self._end_lease(lease)
            await asyncio.sleep(0.01)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)

    # Calls.

    async def handle(self, method, target, _headers, body):
        if self.down:
            raise Lost
        await asyncio.sleep(ANSWER_S)
        if self.down:
            raise Lost
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (404, {"current-rev": self.revision}) if item is None else (
                200, item | {"current-rev": self.revision})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                         "more-pages": len(keys) > PAGE_ITEMS, "current-rev": self.revision}
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self._transaction(json.loads(body))
        if path == "/-/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            lease = next(self.numbers)
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl-ms": ttl}
        number = int(unquote(path.rsplit("/", 1)[1]))
        if number not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            ttl = self.leases[number][0]
            self.leases[number][1] = time.monotonic() + ttl
            return 200, {"ttl-ms": int(ttl * 1000)}
        self._end_lease(number)
        return 200, {}

    async def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            found = [e for e in self.events
                     if e["revision"] > after and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
            if self.down:
                raise Lost

    def _transaction(self, change):
        conditions, puts = change.get("precondition", []), change.get("puts", [])
        deletes = change.get("deletes", [])
        keys = [p["key"] for p in puts] + deletes
        if len(conditions) + len(keys) > MAX_ENTRIES or len(set(keys)) != len(keys):
            return 400, {}
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        current = [self.items.get(c["key"], {"key": c["key"], "revision": 0}) for c in conditions]
        if any(item["revision"] != c["revision"] for item, c in zip(current, conditions)):
            return 412, {"items": current}
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        # All changes of a transaction have one revision.
        self.revision += 1
        for p in puts:
            created = self.items[p["key"]]["created"] if p["key"] in self.items else self.revision
            self.items[p["key"]] = {"key": p["key"], "value": p["value"], "created": created,
                                    "revision": self.revision, "lease": p.get("lease", 0)}
            self.events.append(self.items[p["key"]])
        for key in deletes:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()
        if self.on_commit:
            self.on_commit(keys)
        return 200, {"revision": self.revision}
