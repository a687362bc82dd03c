"""A seeded fault soak of `ibishinge-fleet`: real processes on loopback, beside stand-ins.

    fleet_soak.py --binaries FOLDER [--seeds 1,2,3 | --count 50] [--processes 3] [--seconds 40]
                  [--faults NAME,...] [--weak | --timed] [--logs FOLDER]

Callers hand jobs in through all processes and try again as the platform's callers do; meanwhile
faults come in series and overlap. What callers are answered and what workers start and end is
checked against the promises. The exit status is 1 if one was broken. Without `--faults`, links
between the processes fail too if the seed is even, and data centres are evacuated if it is a
multiple of five. With `--weak`, all hosts or all but one have
narrow links to the store or a share of a processor, large records are stored before the faults,
and the strong lose elections. With `--timed`, jobs of hundreds of occurrences that are late, or become
due faster than they run, are handed in before the faults. `--logs` keeps the record and the logs of the processes of each seed.
"""

import argparse
import asyncio
import os
import random
import signal
import string
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "review/standins"))

import lab as stand  # noqa: E402
from soak_callers import (Caller, CallerWhoGivesUp, CancellingCaller,  # noqa: E402
                          KeptConnections, LastingCaller, ScheduledCaller)
from soak_evacuation import ZONES, Evacuations, ZonedStore, launcher  # noqa: E402
from soak_links import LinkedProcess  # noqa: E402
from soak_weak import (SHARES, PagedStore, WeakLinkedProcess, WeakProcess,  # noqa: E402
                       draw_hosts)

WORKERS_PER_PROCESS = 3
JOBS_PER_S = 2.7  # for each process
LASTING_SHARE = 0.06  # of the jobs
GIVE_UP_SHARE = 0.2  # of the other jobs: callers who leave before the answer, and cancel
CANCEL_SHARE = 0.12  # of the other jobs: callers who cancel what was accepted
CANCEL_S = 3.0  # cancel_ms: from the acknowledgement of a cancellation until no task starts
SETTLE_S = 14  # from the last fault until all accepted jobs have to be complete
DRAIN_S = 3.0  # a process that is stopped answers requests that come within this time
PROBES = 40  # jobs handed in after the last fault
PROBES_SERVED = 0.9
MOST_BROKEN = 20  # promises; a play that has broken more is not checked further
# With `--weak`, by the slowest link: a take-over reads the records of so many in some four seconds.
SCHEDULED_JOBS = {2: [100, 300], 10: [300, 1000], None: [300, 1000]}
SCHEDULED_AT_ONCE = 24
SCHEDULED_CHECKED = 100
STRONG_HELD_BACK_S = 6  # longest time for which the strong wait for the election of a weak one


class FaultyStore(ZonedStore, stand.Store):
    """A store whose answers to transactions can be lost."""

    def __init__(self, record):
        super().__init__(record)
        self.lost_share = 0.0  # of transactions that are carried out without an answer
        self.busy_after_loss_s = 0.0  # time for which the store answers 503 after such a loss
        self.late_s = 0.0  # such transactions are carried out so much later
        self.lost_key = b""  # only transactions that name such a key are lost
        self.rng = random.Random(1)

    async def handle(self, method, path, query, headers, body):
        lost = (path == "/-/kv-txn" and not self.down and self.lost_key in body
                and self.rng.random() < self.lost_share)
        if not lost:
            return await super().handle(method, path, query, headers, body)
        if self.late_s:
            asyncio.get_running_loop().call_later(
                self.late_s, lambda: stand.hold(asyncio.ensure_future(
                    super(FaultyStore, self).handle(method, path, query, headers, body))))
        else:
            await super().handle(method, path, query, headers, body)
        self.record.write("answer_lost", late_s=self.late_s)
        if self.busy_after_loss_s:
            self.lost_share = 0.0
            self.down = "busy"
            self.record.write("store_busy", seconds=self.busy_after_loss_s)
            asyncio.get_running_loop().call_later(self.busy_after_loss_s, self.recover)
            self.busy_after_loss_s = 0.0
        return None

    def recover(self):
        self.down = None
        self.record.write("store_back")


class PagedFaultyStore(PagedStore, FaultyStore):
    """The store of weak hosts."""


class Soak:
    """One run: load, faults and checks, all drawn from the seed."""

    def __init__(self, lab, seed, processes, seconds, faults):
        self.lab, self.processes, self.seconds = lab, processes, seconds
        self.rng = random.Random(seed)
        self.faults = [getattr(self, name) for name in faults]
        self.until = 0.0  # when the load ends
        self.callers = {}
        self.kept = KeptConnections(self)
        self.evacuations = Evacuations(lab)
        self.started = set()  # jobs of which a task was started
        self.restarting = set()  # processes that a fault is about to start again
        self.signals = {}  # by process and its start: [(time, signal)]
        self.done = set()  # tasks whose end `done` was acknowledged
        self.done_ends = {}  # by worker and its start, as ends are numbered anew: [(number, task)]

    def may_break_off(self, child, sent_at):
        """Returns true if the process was killed since the request was sent, or was about to end
        after a stop signal."""
        return any(number == signal.SIGKILL and at >= sent_at - 0.5
                   or number == signal.SIGTERM and at < sent_at - DRAIN_S
                   for at, number in self.signals.get(child, []))

    # What workers see.
    def on_started(self, worker, task, run):
        job = task.split(".")[0]
        if job not in self.callers:
            self.lab.violate(f"UNASKED: {task} was started, and nobody handed its job in")
        elif self.callers[job].cancelled_at is not None:
            late_s = time.monotonic() - self.callers[job].cancelled_at
            if late_s > CANCEL_S:
                self.lab.violate(f"UNASKED: run {run} of {task} starts {late_s:.1f} s after the "
                                 "cancellation was acknowledged")
        self.evacuations.check_start(worker, task, run)
        for other in self.lab.minions:
            if other is not worker and other.up and task in other.running:
                self.lab.violate(f"TWICE: run {run} of {task} starts on {worker.id} while it runs "
                                 f"on {other.id}")
        if task in self.done:
            self.lab.violate(f"TWICE: run {run} of {task} starts after its end was acknowledged")
        self.started.add(job)

    def on_gone(self, worker, task, run, how):
        if how == "done":
            self.done_ends.setdefault((worker, worker.born), []).append((worker.count, task))

    def on_taken_note(self, worker, last_seen):
        ends = self.done_ends.get((worker, worker.born), [])
        self.done.update(task for number, task in ends if number <= last_seen)
        ends[:] = [row for row in ends if row[0] > last_seen]

    # Faults. Each returns when it is over.
    async def store_busy(self):
        self.lab.store.down = "busy"
        await asyncio.sleep(self.rng.uniform(0.3, 5.0))
        self.lab.store.down = None

    async def store_silent(self):
        self.lab.store.down = "silent"
        await asyncio.sleep(self.rng.uniform(0.3, 3.5))
        self.lab.store.down = None

    async def store_answers_lost(self):
        self.lab.store.lost_share = self.rng.uniform(0.2, 0.8)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.lab.store.lost_share = 0.0

    async def store_answers_late(self):
        self.lab.store.late_s = self.rng.uniform(0.3, 3.0)
        await self.store_answers_lost()
        self.lab.store.late_s = 0.0

    async def store_answer_lost_then_busy(self):
        """The outage begins with a job that is stored without an answer."""
        self.lab.store.busy_after_loss_s = self.rng.uniform(1.0, 5.0)
        self.lab.store.lost_key = b"fleet/job/"
        self.lab.store.lost_share = 1.0
        await asyncio.sleep(5.5)
        self.lab.store.lost_share = 0.0
        self.lab.store.lost_key = b""

    async def leader_cut_from_store(self):
        leader = self.lab.leader()
        if leader:
            leader.links["store"].cut()
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            leader.links["store"].heal()

    def peer_link(self):
        """Returns the way to a process from the others, mostly to the leader; None: no links."""
        leader = self.lab.leader()
        if leader is None or self.rng.random() < 0.2:
            leader = self.rng.choice(self.lab.processes)
        return leader.links.get("peers")

    async def peers_cut(self):
        """What was sent in the meantime arrives afterwards, also if its sender has given up."""
        link = self.peer_link()
        if link:
            link.cut()
            await asyncio.sleep(self.rng.uniform(0.3, 4.0))
            link.heal()

    async def peer_answers_lost(self):
        link = self.peer_link()
        if link:
            link.answers_lost = True
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            link.answers_lost = False

    async def peer_answers_late(self):
        link = self.peer_link()
        if link:
            link.answers_late_s = self.rng.uniform(0.1, 3.0)
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            link.answers_late_s = 0.0

    async def leader_killed(self):
        await self.restart(self.lab.leader(), signal.SIGKILL)

    async def all_processes_killed(self):
        await asyncio.gather(*[self.restart(process, signal.SIGKILL)
                               for process in self.lab.processes])

    async def power_lost(self):
        """All processes and workers end at the same moment."""
        workers = [each for each in self.lab.minions if each.up and not each.silent]
        for worker in workers:
            worker.crash("power lost", dark=True)
        await self.all_processes_killed()
        for worker in workers:
            await worker.begin(self.rng.uniform(0.0, 1.5))

    async def process_stopped(self):
        await self.restart(self.rng.choice(self.lab.processes), signal.SIGTERM)

    async def restart(self, process, number, until=None):
        """`until`, if given, is awaited before the process starts again."""
        if process is None or process.child.returncode is not None:
            return
        self.signals.setdefault(process.child, []).append((time.monotonic(), number))
        process.signal(number)
        if process in self.restarting:
            return  # another fault starts it again
        self.restarting.add(process)
        await process.child.wait()
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        if until:
            await until()
        self.restarting.discard(process)
        await process.begin()

    async def freeze(self, process, seconds):
        if process and process.child.returncode is None:
            child = process.child
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            if child.returncode is None:
                self.lab.record.write("signal", name=process.name, number=int(signal.SIGCONT))
                child.send_signal(signal.SIGCONT)

    async def leader_frozen(self):
        await self.freeze(self.lab.leader(), self.rng.uniform(0.5, 5.0))

    async def process_frozen(self):
        await self.freeze(self.rng.choice(self.lab.processes), self.rng.uniform(0.5, 5.0))

    async def draining_process_frozen(self):
        process = self.rng.choice(self.lab.processes)
        await asyncio.gather(self.restart(process, signal.SIGTERM),
                             self.freeze_later(process, self.rng.uniform(0.0, 3.0)))

    async def freeze_later(self, process, after_s):
        child = process.child
        await asyncio.sleep(after_s)
        if process.child is child:
            await self.freeze(process, self.rng.uniform(0.3, 4.0))

    async def two_processes_signalled(self):
        """Two signals at once, to two processes: each is stopped, killed or suspended."""
        pair = self.rng.sample(self.lab.processes, min(2, len(self.lab.processes)))
        numbers = [self.rng.choice([signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP])
                   for _ in pair]
        await asyncio.gather(*[
            self.freeze(process, self.rng.uniform(0.5, 5.0)) if number == signal.SIGSTOP
            else self.restart(process, number) for process, number in zip(pair, numbers)])

    async def worker_crashes(self):
        worker = self.rng.choice(self.lab.minions)
        if worker.up and not worker.silent:
            worker.crash("soak", dark=self.rng.random() < 0.5)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            await worker.begin(self.rng.uniform(0.0, 1.5))

    async def worker_cut_off(self):
        worker = self.rng.choice(self.lab.minions)
        if worker.up and not worker.silent:
            worker.silent = True
            await asyncio.sleep(self.rng.uniform(0.5, 5.5))
            worker.silent = False

    async def data_centre_evacuated(self):
        await self.evacuations.evacuate(self.rng.choice(ZONES), self.rng.uniform(6.0, 14.0))

    def hand_in_lasting(self):
        job = self.lab.new_id()
        self.lab.jobs[job] = {"spec": "lasting", "steps": [
            {"count": 2, "cpu": 1000, "mem-mb": 200, "estimate-ms": 500, "persistent": True}]}
        cancels_after_s = self.rng.uniform(1, 12) if self.rng.random() < 0.7 else None
        self.callers[job] = LastingCaller(self, job, cancels_after_s)
        return asyncio.create_task(self.callers[job].run())

    def hand_in(self, make_caller=Caller):
        job = self.lab.new_id()
        steps = [{"count": self.rng.randint(1, 3), "cpu": 2000, "mem-mb": 500, "estimate-ms": 500}]
        if self.rng.random() < 0.4:
            steps.append(dict(steps[0], after=[0]))
        self.lab.jobs[job] = {"spec": "work", "steps": steps}
        self.callers[job] = make_caller(self, job)
        return asyncio.create_task(self.callers[job].run())

    def hand_in_some_kind(self):
        if self.rng.random() < LASTING_SHARE:
            return self.hand_in_lasting()
        kind = self.rng.random()
        if kind < GIVE_UP_SHARE:
            leaves_after_s = self.rng.choice([0.02, 0.3, 3.0]) * self.rng.random()
            return self.hand_in(lambda soak, job: CallerWhoGivesUp(soak, job, leaves_after_s))
        if kind < GIVE_UP_SHARE + CANCEL_SHARE:
            cancels_after_s = self.rng.uniform(0.0, 2.0)
            return self.hand_in(lambda soak, job: CancellingCaller(soak, job, cancels_after_s))
        return self.hand_in()

    async def load(self, until):
        pending = []
        while time.monotonic() < until:
            pending.append(self.hand_in_some_kind())
            await asyncio.sleep(self.rng.expovariate(JOBS_PER_S * self.processes))
        await asyncio.gather(*pending)

    async def disturb(self, until):
        pending = []
        while time.monotonic() < until:
            fault = self.rng.choice(self.faults)
            self.lab.record.write("fault", name=fault.__name__)
            pending.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        await asyncio.gather(*pending)
        self.lab.record.write("faults_over")

    async def run(self):
        lab = self.lab
        lab.on_started, lab.on_gone, lab.on_taken_note = (self.on_started, self.on_gone,
                                                          self.on_taken_note)
        lab.spawn(self.kept.watch_stalls())
        lab.add_minions(WORKERS_PER_PROCESS * self.processes, self.run_time)
        await lab.begin(self.processes, links=True)
        await asyncio.sleep(2)
        await self.prepare()
        self.until = time.monotonic() + self.seconds
        await asyncio.gather(self.load(self.until), self.disturb(self.until))
        await asyncio.sleep(SETTLE_S)
        await self.check()

    async def prepare(self):
        """Is called before the load and the faults."""

    def run_time(self, _task, spec):
        return None if spec == "lasting" else self.rng.uniform(0.2, 1.0)

    def runs_of(self, job):
        return [task for worker in self.lab.minions if worker.up for task in worker.running
                if task.startswith(job)]

    def check_lasting(self, caller):
        runs = self.runs_of(caller.job)
        wanted = self.lab.jobs[caller.job]["steps"][0]["count"]
        if caller.cancels_after_s is None and len(runs) != wanted:
            self.lab.violate(f"LOST: of the tasks of {caller.job} only {runs} run")

    def check_cancelled(self, job):
        runs = self.runs_of(job)
        if runs:
            self.lab.violate(f"UNASKED: {runs} run on, although the cancellation was acknowledged")

    async def check(self):
        lab = self.lab
        for job, caller in self.callers.items():
            if len(lab.broken) > MOST_BROKEN:
                return
            lab.record.write("attempts", job=job, statuses=caller.statuses)
            if caller.rejected and job in self.started:
                lab.violate(f"REFUSED: job {job} ran, and all attempts to hand it in were "
                            f"rejected: {caller.statuses}")
            if caller.cancelled_at is not None:
                self.check_cancelled(job)
            elif isinstance(caller, ScheduledCaller):
                pass  # checked by `WeakSoak`
            elif caller.accepted and isinstance(caller, LastingCaller):
                self.check_lasting(caller)
            elif caller.accepted:
                await self.check_complete(job)
        probes = [self.hand_in() for _ in range(PROBES)]
        before = list(self.callers)[-PROBES:]
        await asyncio.gather(*probes)
        served = sum(self.callers[job].accepted for job in before)
        if served < PROBES_SERVED * PROBES:
            lab.violate(f"RECOVER: {served} of {PROBES} jobs were accepted {SETTLE_S} s after the "
                        "last fault")
        lab.record.write("result", jobs=len(self.callers),
                         accepted=sum(c.accepted for c in self.callers.values()),
                         rejected=sum(c.rejected for c in self.callers.values()),
                         cancelled=sum(c.cancelled_at is not None
                                       for c in self.callers.values()),
                         on_kept=self.kept.requests, closed_at_once=self.kept.races,
                         over_links=sum(process.links["peers"].carried for process in lab.processes
                                        if "peers" in process.links))

    async def check_complete(self, job, state=b"completed"):
        for _ in range(6):
            status, body = await self.lab.call("GET", self.rng.choice(self.lab.processes),
                                               "/q/" + job)
            if state in body:
                return
            if status == 410:
                break
            await asyncio.sleep(0.5)
        self.lab.violate(f"LOST: accepted job {job} is answered {status} {body.decode()}")


class TimedSoak(Soak):
    """A run with repeated jobs that are behind during the faults and complete after them."""

    async def prepare(self):
        now_ms = int(time.time() * 1000)
        for late_s, interval_ms in ((3600, 1000), (0, 20)):
            job = self.lab.new_id()
            self.lab.jobs[job] = {
                "spec": "timed", "repetitions": self.rng.randint(300, 600),
                "first-ms": now_ms - late_s * 1000, "interval-ms": interval_ms,
                "steps": [{"count": 2, "cpu": 200, "mem-mb": 20, "estimate-ms": 100}]}
            self.callers[job] = Caller(self, job)
            await self.callers[job].run()

    def run_time(self, task, spec):
        return self.rng.uniform(0.05, 0.2) if spec == "timed" else super().run_time(task, spec)


class WeakSoak(Soak):
    """A run on weak hosts."""

    def __init__(self, lab, seed, processes, seconds, faults):
        super().__init__(lab, seed, processes, seconds, faults)
        self.scheduled = []  # jobs

    async def freeze(self, process, seconds):
        if process:
            process.frozen += 1
            await super().freeze(process, seconds)
            process.frozen -= 1

    async def prepare(self):
        """Hands in jobs that are due long after the run, so that a take-over has much to read."""
        due_ms = int((time.time() + 3600) * 1000)
        free = asyncio.Semaphore(SCHEDULED_AT_ONCE)

        async def hand_in():
            job = self.lab.new_id()
            payload = "".join(self.rng.choices(string.ascii_letters,
                                               k=self.rng.randint(1000, 4000)))
            self.lab.jobs[job] = {"spec": payload, "repetitions": 1, "first-ms": due_ms,
                                  "steps": [{"count": 1, "cpu": 1000, "estimate-ms": 500}]}
            self.scheduled.append(job)
            self.callers[job] = ScheduledCaller(self, job)
            async with free:
                await self.callers[job].run()

        slowest = min((host.mbit_per_s for host in self.lab.hosts if host.mbit_per_s), default=None)
        await asyncio.gather(*[hand_in()
                               for _ in range(self.rng.choice(SCHEDULED_JOBS[slowest]))])

    async def check(self):
        await self.check_scheduled()
        await super().check()
        self.lab.record.write("terms", used=self.lab.store.terms())

    async def check_scheduled(self):
        if len(self.lab.broken) > MOST_BROKEN:
            return
        accepted = [job for job in self.scheduled if self.callers[job].accepted]
        checked = self.rng.sample(accepted, min(SCHEDULED_CHECKED, len(accepted)))
        free = asyncio.Semaphore(SCHEDULED_AT_ONCE)

        async def check(job):
            async with free:
                await self.check_complete(job, b"queued")

        await asyncio.gather(*[check(job) for job in checked])

    async def weak_elected(self):
        """All processes are killed, and the strong are back later than the weak. If all are weak,
        one of them is back first."""
        processes = list(self.lab.processes)
        first = [each for each in processes if each.host.is_weak]
        if first == processes:
            first = [self.rng.choice(processes)]
        term, latest = self.lab.store.terms(), time.monotonic() + STRONG_HELD_BACK_S

        async def elected():
            while time.monotonic() < latest and (self.lab.store.terms() == term
                                                 or self.lab.leader() not in first):
                await asyncio.sleep(0.02)

        await asyncio.gather(*[
            self.restart(each, signal.SIGKILL, until=None if each in first else elected)
            for each in processes])

    async def link_narrowed(self):
        link = self.rng.choice(self.lab.processes).links["store"]
        rate = link.bytes_per_s
        link.limit(self.rng.uniform(1, 4))
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        link.bytes_per_s = rate

    async def processor_shared(self):
        process = self.rng.choice(self.lab.processes)
        process.share = self.rng.uniform(*SHARES)
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        process.share = process.host.share


FAULTS = ["store_busy", "store_silent", "store_answers_lost", "store_answers_late",
          "store_answer_lost_then_busy", "leader_cut_from_store", "leader_killed",
          "process_stopped", "leader_frozen", "worker_crashes", "worker_cut_off",
          "all_processes_killed", "power_lost", "process_frozen", "draining_process_frozen",
          "two_processes_signalled"]
FAULTS_OF_EVACUATION = ["data_centre_evacuated"]
FAULTS_OF_LINKS = ["peers_cut", "peer_answers_lost", "peer_answers_late"]
FAULTS_OF_WEAK = ["weak_elected", "link_narrowed", "processor_shared"]
WEAK_WEIGHT = 3  # such a fault is drawn so many times as often as another


async def play(seed, processes, seconds, faults, logs, kind):
    """Plays a seed and ends this process with the exit status: tasks of connections may be left."""
    folder = Path(logs or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    if faults is None:
        # Not in all plays: a link hides that a process that has ended refuses connections.
        faults = FAULTS + FAULTS_OF_LINKS if seed % 2 == 0 else FAULTS
        if seed % 5 == 0:
            faults = faults + FAULTS_OF_EVACUATION
        if kind is WeakSoak:
            faults = faults + WEAK_WEIGHT * FAULTS_OF_WEAK
    with_links = bool(set(faults) & set(FAULTS_OF_LINKS))
    weak = kind is WeakSoak
    if weak:
        stand.Process = WeakLinkedProcess if with_links else WeakProcess
    elif with_links:
        stand.Process = LinkedProcess
    lab = stand.Lab(folder / "record.txt")
    os.rmdir(lab.folder)
    lab.folder = str(folder)
    stand.PROGRAM = launcher(stand.PROGRAM, folder)
    lab.rng = random.Random(seed)
    lab.store = (PagedFaultyStore if weak else FaultyStore)(lab.record)
    lab.store.rng = random.Random(seed + 1)
    if weak:
        lab.hosts = draw_hosts(random.Random(seed + 2), processes)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    soak = kind(lab, seed, processes, seconds, faults)
    try:
        await soak.run()
    finally:
        for process in lab.processes:
            if process.child and process.child.returncode is None:
                process.child.send_signal(signal.SIGCONT)
        await lab.end()
    broken = "; ".join(lab.broken)
    print(f"seed {seed}: {broken or 'all promises kept'}", flush=True)
    os._exit(1 if broken else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binaries", default=ROOT / "build/release", type=Path)
    parser.add_argument("--seeds", default="")
    parser.add_argument("--count", type=int, default=1, help="seeds 1 to COUNT, without --seeds")
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--faults", help="by default all that the seed allows")
    kind = parser.add_mutually_exclusive_group()
    kind.add_argument("--weak", dest="kind", action="store_const", const=WeakSoak, default=Soak)
    kind.add_argument("--timed", dest="kind", action="store_const", const=TimedSoak)
    parser.add_argument("--logs")
    arguments = parser.parse_args()
    stand.PROGRAM = str(arguments.binaries.resolve() / "ibishinge-fleet")
    seeds = ([int(each) for each in arguments.seeds.split(",")] if arguments.seeds
             else range(1, arguments.count + 1))
    if len(seeds) == 1:
        asyncio.run(play(seeds[0], arguments.processes, arguments.seconds,
                         arguments.faults.split(",") if arguments.faults else None,
                         arguments.logs, arguments.kind))
    statuses = [subprocess.run([sys.executable, *sys.argv, "--seeds", str(seed)],
                               check=False).returncode for seed in seeds]
    return max(statuses)


if __name__ == "__main__":
    sys.exit(main())
