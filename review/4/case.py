"""Jobs that last are cancelled while the store is down for a few seconds."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import lab as stand  # noqa: E402

OUTAGES = 5
OUTAGE_S = 2.15
AFTER_RENEWAL_S = 0.3  # an outage begins so long after a renewal of the coordinator's lease
PAUSE_S = 4.0
STABLE_WINDOW_S = 3.0
CANCEL_S = 3.0
STOP_S = stand.STOP_MS / 1000
JOBS = 6  # for each outage
WATCHED_S = 3


async def cancel(lab, job):
    """Cancels as a requester does: again until the answer is 2xx or 410."""
    while True:
        for process in lab.rng.sample(lab.processes, len(lab.processes)):
            status, _ = await lab.call("DELETE", process, "/q/" + job)
            if 200 <= status < 300 or status == 410:
                return lab.record.now()
            await asyncio.sleep(0.3)


async def case(lab, trouble):
    lab.add_minions(8, lambda task, spec: None)
    await lab.begin(processes=3)
    await asyncio.sleep(3)
    acknowledged = {}
    for _ in range(OUTAGES):
        jobs = [await lab.submit(lab.processes[i % 3],
                                 [{"count": 1, "cpu": 4000, "mem-mb": 4000, "estimate-ms": 500,
                                   "persistent": True}])
                for i in range(JOBS)]
        await asyncio.sleep(PAUSE_S)
        running = {task.split(".")[0] for minion in lab.minions for task in minion.running}
        if not running.issuperset(jobs):
            raise stand.CannotRun("not all work units run before the outage")
        lab.store.renewed.clear()
        await lab.store.renewed.wait()
        await asyncio.sleep(AFTER_RENEWAL_S)
        if trouble:
            lab.store.down = "silent"
            lab.record.write("store_down", how=lab.store.down)
        await asyncio.sleep(0.1)
        cancels = [asyncio.create_task(cancel(lab, job)) for job in jobs]
        await asyncio.sleep(OUTAGE_S - 0.1)
        lab.store.down = None
        lab.record.write("store_up")
        acknowledged.update(zip(jobs, await asyncio.gather(*cancels)))
        lab.record.write("all_cancels_acknowledged")
        # The rule counts from the acknowledgement, and only without a disturbance near.
        await asyncio.sleep(STABLE_WINDOW_S + CANCEL_S + STOP_S + WATCHED_S)
        for minion in lab.minions:
            for task in minion.running:
                since = lab.record.now() - acknowledged[task.split(".")[0]]
                lab.violate(f"UNASKED: {task} still runs on {minion.id} {since:.1f} s after the "
                            "job's cancelling was acknowledged")
        if lab.broken:
            break
    lab.record.write("result", cancelled=len(acknowledged), still_running=len(lab.broken))


if __name__ == "__main__":
    stand.play(case, os.path.join(HERE, "record.txt"))
