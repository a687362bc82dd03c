"""Take-overs by a process with a narrow link to the store. Incident: weak-coordinator.md."""

import asyncio
import contextlib
import json
import random
import shutil
import signal
import string
import sys
import tempfile
import time
import unittest
import warnings
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "review/standins"))

import lab as stand  # noqa: E402
import support  # noqa: E402
from soak_links import SEGMENT  # noqa: E402
from soak_weak import TCP_WINDOW, NarrowProcess, PagedStore  # noqa: E402

RECOVERY_S = 15  # the platform's bound, from the moment when all processes are back
PROCESSES = 3
WORKERS = 3
PAYLOAD_BYTES = (1000, 4000)
DUE_IN_S = 3600
AT_ONCE = 24  # calls of callers
WAITING_JOBS = 40  # each task takes a whole worker for RUN_S
RUN_S = 1.0
LOOKUPS = 20  # for each process
MAX_TERMS = 6  # from the start of the fleet to its recovery
ELECTION_S = 20  # only a bound against a test that never ends


class Play:
    """A small fleet with stored jobs, whose processes are killed and come back."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="weak-"))
        self.lab = stand.Lab(self.folder / "record.txt")
        shutil.rmtree(self.lab.folder)
        self.lab.folder = str(self.folder)
        self.lab.rng = random.Random(seed)
        self.lab.store = PagedStore(self.lab.record)
        self.lab.on_started = self.on_started
        self.started = asyncio.Event()
        self.started_at = None  # of the first task after `started` was cleared
        self.jobs = []  # those that were accepted
        self.calls = asyncio.Semaphore(AT_ONCE)

    async def __aenter__(self):
        stand.PROGRAM = str((support.BINARIES / "ibishinge-fleet").resolve())
        process = stand.Process
        stand.Process = NarrowProcess
        try:
            self.lab.add_minions(WORKERS, lambda task, spec: RUN_S)
            await self.lab.begin(PROCESSES, links=True)
        except BaseException:
            await self.end()
            raise
        finally:
            stand.Process = process
        return self

    async def __aexit__(self, *_):
        await self.end()

    async def end(self):
        await self.lab.end()
        shutil.rmtree(self.folder)

    def on_started(self, _worker, _task, _run):
        if not self.started.is_set():
            self.started_at = time.monotonic()
        self.started.set()

    async def hand_in(self, document):
        process = self.rng.choice(self.lab.processes)
        job = self.lab.new_id()
        self.lab.jobs[job] = document
        async with self.calls:
            for _ in range(20):
                status, _ = await self.lab.call("POST", process, "/q/" + job, document)
                if 200 <= status < 300:
                    self.jobs.append(job)
                    return
                await asyncio.sleep(0.5)
        raise stand.CannotRun("a job was not accepted")

    async def hand_in_scheduled(self, count):
        """Jobs that are stored and due long after the test."""
        due_ms = int((time.time() + DUE_IN_S) * 1000)
        await asyncio.gather(*[
            self.hand_in({"spec": "".join(self.rng.choices(string.ascii_letters,
                                                           k=self.rng.randint(*PAYLOAD_BYTES))),
                          "steps": [{"count": 1, "cpu": 1000, "estimate-ms": 1000}],
                          "repetitions": 1, "first-ms": due_ms}) for _ in range(count)])

    async def hand_in_waiting(self):
        await asyncio.gather(*[
            self.hand_in({"spec": "work",
                          "steps": [{"count": 1, "cpu": self.lab.minions[0].cpu,
                                     "estimate-ms": int(RUN_S * 1000)}]})
            for _ in range(WAITING_JOBS)])

    async def kill_all(self):
        for process in self.lab.processes:
            process.signal(signal.SIGKILL)
        await asyncio.gather(*[process.child.wait() for process in self.lab.processes])

    async def elect_first(self):
        """Starts all processes again, the first one so much sooner that it is elected."""
        weak, *others = self.lab.processes
        term = self.lab.store.terms()
        await weak.begin()

        async def is_elected():
            return self.lab.store.terms() > term and self.lab.leader() is weak

        await self.lab.wait_for(is_elected, ELECTION_S, "the first process was not elected")
        for process in others:
            await process.begin()

    async def look_up(self, process):
        """Returns the answers to lookups of accepted jobs, without retries."""
        async def answer(job):
            async with self.calls:
                return await self.lab.call("GET", process, "/q/" + job)

        return await asyncio.gather(*[answer(job) for job in
                                      self.rng.sample(self.jobs, LOOKUPS)])

    async def wait_until_served(self):
        """Returns once all processes have answered all lookups and a waiting task has started."""
        for process in self.lab.processes:
            while any(status != 200 for status, _ in await self.look_up(process)):
                await asyncio.sleep(0.2)
        await self.started.wait()

    async def answers_to_all(self):
        """Returns the statuses by which lookups of all accepted jobs are answered."""
        async def answer(job):
            async with self.calls:
                for _ in range(3):
                    status, _ = await self.lab.call("GET", self.rng.choice(self.lab.processes),
                                                    "/q/" + job)
                    if status in (200, 410):
                        break
                return status

        return await asyncio.gather(*[answer(job) for job in self.jobs])

    def log_lines(self):
        """The lines of the processes' logs that tell of a take-over."""
        events = ("leading", "read_failed", "leadership_offered_to", "stopped_leading",
                  "coordinator_loaded")
        lines = []
        for process in self.lab.processes:
            for text in (self.folder / (process.name + ".log")).read_text().splitlines():
                with contextlib.suppress(ValueError):
                    line = json.loads(text)
                    if line.get("event") in events:
                        lines.append(text)
        return sorted(lines)


class WeakCoordinatorTest(unittest.TestCase):
    """Guards against a coordinator that holds its lease and never finishes its take-over."""

    def setUp(self):
        warnings.simplefilter("ignore", ResourceWarning)  # the stand-ins leave log files open

    def take_over(self, jobs, mbit_per_s, narrow, window):
        """All processes are killed, `narrow` of them come back with a narrow link to the store,
        and one of these is elected."""
        async def play():
            async with Play(support.SEED) as fleet:
                await fleet.hand_in_scheduled(jobs)
                await fleet.hand_in_waiting()
                await fleet.kill_all()
                for process in fleet.lab.processes[:narrow]:
                    process.links["store"].limit(mbit_per_s, window)
                await fleet.elect_first()
                back_at = time.monotonic()
                fleet.started.clear()
                served = asyncio.create_task(fleet.wait_until_served())
                await asyncio.wait({served}, timeout=RECOVERY_S)
                if not served.done():
                    served.cancel()
                    self.fail(f"{RECOVERY_S} s after the processes were back, lookups of accepted "
                              "jobs are not answered or no waiting task has started "
                              f"(started: {fleet.started.is_set()}):\n"
                              + "\n".join(fleet.log_lines()))
                await served
                print(f"after the processes were back: first start {fleet.started_at - back_at:.1f}"
                      f" s, served {time.monotonic() - back_at:.1f} s; terms used: "
                      f"{fleet.lab.store.terms()}", file=sys.stderr)
                self.assertEqual(set(await fleet.answers_to_all()), {200})
                self.assertLessEqual(fleet.lab.store.terms(), MAX_TERMS)

        asyncio.run(play())

    def test_takes_over_by_a_link_of_10_mbit(self):
        """A page of records takes longer than the answer to a small request may take."""
        self.take_over(jobs=1000, mbit_per_s=10, narrow=1, window=SEGMENT)

    def test_takes_over_by_a_link_of_2_mbit(self):
        """Small answers wait behind the page. Fails if a process takes its own full link for a lost
        store, or all of them one after the other."""
        self.take_over(jobs=300, mbit_per_s=2, narrow=PROCESSES, window=TCP_WINDOW)


if __name__ == "__main__":
    support.main()
