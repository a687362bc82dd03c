"""A start has no answer; its minion restarts behind a cut and carries it out there, and the
coordinator that sent it is killed."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "standins-3"))

import stand  # noqa: E402

JOB = "1a7e000000000001"
WORK_MS = 20_000
REBORN_S, LATE_S, CUT_S = 1.0, 3.0, 5.5  # counted from the order; the page: 2 to 12 s late


def one_unit():
    return {"spec": "once", "steps": [{"count": 1, "cpu": 1000, "mem-mb": 100,
                                       "estimate-ms": WORK_MS}]}


async def play(logs):
    lab = stand.Lab(HERE / "record.txt", logs, lambda _task, _spec: WORK_MS)
    async with lab:
        if not await lab.ready():
            return 2, "the processes were not ready in time"
        record, caught = lab.record, asyncio.get_running_loop().create_future()

        def catch(worker, order):
            if caught.done():
                return False
            record.add("start without an answer:", worker.id, order)
            caught.set_result((worker, order))
            return True

        if stand.trouble():
            for worker in lab.workers:
                worker.catch = catch
        else:
            caught.set_result((None, None))
        # Minions have been up for a while, as in any deployment.
        await asyncio.sleep(10)
        submit = asyncio.ensure_future(lab.callers.submit(JOB, one_unit()))
        await asyncio.wait_for(asyncio.shield(caught), 20)
        worker, order = caught.result()
        if worker is not None:
            leader = lab.leader()
            worker.cut = True
            record.add("minion", worker.id, "is cut off from all machines")
            leader["process"].kill()
            record.add("the coordinator", leader["name"], "is killed")
            await asyncio.sleep(REBORN_S)
            worker._begin()
            record.add("minion", worker.id, "has crashed and started again behind the cut")
            await asyncio.sleep(LATE_S - REBORN_S)
            status, answer = await worker.carry_out("/-/run-start", order)
            record.add("minion", worker.id, "carries the start out late:", status, answer)
            await asyncio.sleep(CUT_S - LATE_S)
            worker.cut = False
            record.add("the cut has ended")
        answers = await submit
        if answers[-1] != 200:
            return 2, f"the job was not accepted: {answers}"
        await asyncio.sleep(WORK_MS / 1000 + 8)
        runs = sorted((row[2], row[3] or record.now(), row[1], each.id, row[4])
                      for each in lab.workers for row in each.runs if row[0].startswith(JOB))
        for begin, end, run, where, how in runs:
            record.add(f"run {run} on {where} from {begin:.2f} to {end:.2f} s, {how}")
        overlap = max((min(a[1], b[1]) - b[0] for number, a in enumerate(runs)
                       for b in runs[number + 1:]), default=0)
        text = (f"runs of the work unit: {len(runs)}; two at the same time for "
                f"{max(overlap, 0):.2f} s; the job is shown as {await lab.callers.state(JOB)}")
        record.add(text)
        return (1 if overlap > 0 else 0), text


stand.main(play)
