"""The operator removes a route while accepted jobs of its queue are under way."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "standins-3"))

import stand  # noqa: E402

FIRST_MS, SECOND_MS = 3000, 500
JOBS = 6
CONFIG_S = 2  # config-ms
FINISH_S = 14  # finish_s
GAP_S = 3  # LOST: for 3 s nothing of the job runs although a work unit's turn has come


def two_steps():
    return {"spec": "two", "steps": [
        {"count": 2, "cpu": 1000, "mem-mb": 100, "estimate-ms": FIRST_MS},
        {"count": 2, "cpu": 1000, "mem-mb": 100, "estimate-ms": SECOND_MS, "after": [0]}]}


def routes(version, both):
    queues = [("two", "q.example", "/two/", "svc-a")]
    if both:
        queues.insert(0, ("one", "q.example", "/one/", "svc-a"))
    return stand.manifest(version, queues, ["svc-a"], [("amber", ["key-amber"])])


async def play(logs):
    def run_ms(task, _spec):
        return FIRST_MS if task.split(".")[2] == "0" else SECOND_MS

    lab = stand.Lab(HERE / "record.txt", logs, run_ms)
    async with lab:
        record = lab.record
        lab.store.put("op/config", routes(2, True))
        if not await lab.ready():
            return 2, "the processes were not ready in time"
        other = stand.Callers(record, lab.fleet, "q.example", "/two/", "key-amber")
        jobs = [f"0a{number:014x}" for number in range(JOBS)]
        beside = [f"0b{number:014x}" for number in range(JOBS)]
        for job, side in zip(jobs, beside):
            answers = [(await lab.callers.submit(job, two_steps()))[-1],
                       (await other.submit(side, two_steps()))[-1]]
            if answers != [200, 200]:
                return 2, f"jobs were not accepted before the disruption: {answers}"
        await asyncio.sleep(0.5)
        begun = {task.split(".")[0] for worker in lab.workers for _, task, _ in worker.starts}
        if not begun.issuperset(jobs + beside):
            return 2, "not every job had begun before the disruption"
        # The other route stays, so that the manifest is a valid one with work to do.
        lab.store.put("op/config", routes(3, not stand.trouble()))
        record.add("manifest 3 is acknowledged; route /one/", "removed" if stand.trouble()
                   else "kept")
        await asyncio.sleep(FIRST_MS / 1000 + CONFIG_S + FINISH_S)

        def unfinished(among):
            done = {task for worker in lab.workers for task in worker.done}
            return [job for job in among
                    if len([task for task in done if task.startswith(job)]) < 4]

        running = {task.split(".")[0] for worker in lab.workers for task in worker.running}
        for job in jobs + beside:
            ends = sorted((at, task) for worker in lab.workers for task, at in worker.done.items()
                          if task.startswith(job))
            record.add("job", job, "ended done:", [f"{at:.1f} {task[17:]}" for at, task in ends],
                       "runs now" if job in running else "nothing runs")
        lost = [job for job in unfinished(jobs) if job not in running]
        last = max(at for worker in lab.workers for task, at in worker.done.items()
                   if task.split(".")[0] in jobs)
        if unfinished(beside):
            return 2, f"jobs of the route that stayed are not done: {unfinished(beside)}"
        waited = record.now() - last
        answers = [await lab.callers.state(job) for job in lost]
        busy = sum(len(worker.running) for worker in lab.workers)
        text = (f"accepted jobs with nothing running although their second step's turn has come: "
                f"{len(lost)} of {JOBS}, for {waited:.1f} s; cores in use {busy} of "
                f"{32 * len(lab.workers)}; asked for, they are answered {answers}; jobs of the "
                f"other route done: {JOBS} of {JOBS}")
        record.add(text)
        return (1 if lost and waited > GAP_S else 0), text


stand.main(play)
