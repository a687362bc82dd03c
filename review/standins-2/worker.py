"""A minion that guards its capacity, as PROTOCOL.md gives it."""

import asyncio
import json
import time

from http_loop import Lost

ENDS_AT_A_TIME = 500
HEARTBEAT_S = 1.5


class Run:
    def __init__(self, task, number, need, seconds, persistent):
        self.task, self.number, self.need = task, number, need
        self.seconds = seconds
        self.persistent = persistent
        self.began = time.monotonic()
        self.stopping = False
        self.timer = None

    def percent(self):
        if self.persistent:
            return 100 if time.monotonic() - self.began > 0.5 else 0
        return min(99, int(100 * (time.monotonic() - self.began) / self.seconds))


class Worker:
    """`describe(task)` returns (need, seconds, persistent) of a work unit."""

    def __init__(self, name, machine, service, zone, rack, capacity, describe, record, stop_ms=400,
                 hold_max_ms=10000):
        self.name, self.machine, self.service = name, machine, service
        self.zone, self.rack, self.capacity = zone, rack, capacity
        self.describe, self.record = describe, record
        self.stop_ms, self.hold_max_ms = stop_ms, hold_max_ms
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.address = None
        self.fence = 0
        self.until = 0
        self.lapses = []  # times at which the lease lapsed, with runs or without
        self.lapsed = True  # there is no lease yet
        self.running = {}  # task -> Run
        self.highest = {}  # task -> highest run stopped or ended here
        self.ended = []  # rows not taken note of
        self.seen = 0
        self.number = 0
        self.sequence = 0
        self.news = asyncio.Event()
        self.gone = False
        self.kind = "a"
        self.refuses_ticket = None  # called with a task and its ticket, on a queue with advice

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
                "capacity": self.capacity, "labels": [self.kind, self.rack], "machine": self.machine,
                "clock-ms": self.clock(), "sequence": self.sequence, "born": self.born}

    async def report(self, store):
        """Writes the registry entry; it stands while the store is down."""
        while not self.gone:
            if not store.down:
                store.put_document("servers/" + self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def leave(self):
        """The machine goes down: everything that runs here terminates."""
        self.gone = True
        for run in self.running.values():
            run.timer.cancel()
            self.record("killed", worker=self.name, task=run.task, run=run.number)
        self.running.clear()
        self.news.set()

    async def watch_lease(self):
        while not self.gone:
            if not self.lapsed and self.clock() > self.until:
                self.lapsed = True
                self.lapses.append(time.monotonic())
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            await asyncio.sleep(0.01)

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.number += 1
        self.ended.append([self.number, run.task, run.number, how, ""])
        self.record("end", worker=self.name, number=self.number, task=run.task, run=run.number,
                    how=how)
        self.news.set()
        self.news = asyncio.Event()

    def _take_lease(self, until):
        if until:
            self.until = max(self.until, min(until, self.clock() + self.hold_max_ms))
            self.lapsed = self.lapsed and self.until <= self.clock()

    async def handle(self, _method, target, headers, body):
        if self.gone:
            raise Lost
        if target == "/health":
            return 200, {}
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        fence = call.get("fencing-token", 0)
        if fence < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = fence
        if target == "/-/run-start":
            return self._start(call)
        if target == "/-/run-stop":
            return self._stop(call)
        if target == "/-/pace":
            return 200, {"clock-ms": self.clock()}
        return await self._hold(call)

    def _start(self, call):
        task, number = call["task"], call["run"]
        present = self.running.get(task)
        if present and present.number == number:
            return 200, {"clock-ms": self.clock()}
        if number <= self.highest.get(task, 0) or present:
            self._take_lease(call["until-ms"])
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        if call["until-ms"] <= self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}
        if self.refuses_ticket and self.refuses_ticket(self, task, call.get("ticket", "")):
            return 409, {"clock-ms": self.clock(), "reason": "ticket"}
        need, seconds, persistent = self.describe(task)
        self._take_lease(call["until-ms"])
        for kind, most in self.capacity.items():
            held = sum(run.need.get(kind, 0) for run in self.running.values())
            if held + need.get(kind, 0) > most:
                return 409, {"clock-ms": self.clock(), "reason": "room"}
        run = Run(task, number, need, seconds, persistent)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(3600 if persistent else seconds, self._end, run, "done")
        self.running[task] = run
        self.record("start", worker=self.name, task=task, run=number, fence=self.fence)
        return 200, {"clock-ms": self.clock()}

    def _stop(self, call):
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if run and run.number <= number:
            if not run.stopping:
                run.stopping = True
                asyncio.get_running_loop().call_later(self.stop_ms / 2000, self._end, run,
                                                      "stopped")
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {"clock-ms": self.clock()}

    async def _hold(self, call):
        self._take_lease(call.get("until-ms", 0))
        seen = call.get("last-seen", 0)
        if seen > self.seen:
            self.seen = seen
            self.ended = [row for row in self.ended if row[0] > seen]
            self.record("seen", worker=self.name, number=seen)
        wait = call.get("wait-ms", 0) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except TimeoutError:
                pass
            if self.gone:
                raise Lost
        if call.get("fencing-token", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        return 200, {"clock-ms": self.clock(), "born": self.born,
                     "running": [[run.task, run.number, "", run.percent(), 0]
                                 for run in self.running.values()],
                     "ended": self.ended[:ENDS_AT_A_TIME]}
