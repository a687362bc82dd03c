"""A minion is cut off twice; behind the first cut it crashes and starts again."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import lab as stand  # noqa: E402

FIRST_CUT_S = 2.5
BEAT_AFTER_CUT_S = 1.0  # beats come "approximately every heartbeat-ms" (1.5 s)
START_AFTER_CUT_S = 0.3
CUT_AFTER_START_S = 1.0
SECOND_CUT_S = 5.5


async def case(lab, trouble):
    lab.add_minions(8, lambda task, spec: 20.0)
    for minion in lab.minions[:2]:
        minion.labels = ["a", "ssd", "r1"]
    started = asyncio.Event()

    def on_started(minion, task, run):
        started.set()
        for other in lab.minions:
            if other is not minion and other.up and task in other.running:
                lab.violate(f"TWICE: run {run} of {task} starts on {minion.id} while run "
                            f"{other.running[task]['run']} is at work on {other.id}")

    lab.on_started = on_started
    await lab.begin(processes=3)
    await asyncio.sleep(10)
    minion = lab.minions[0]
    if trouble:
        lab.record.write("minion_cut", id=minion.id)
        minion.crash("behind the cut", dark=True)
        await asyncio.sleep(0.5)
        await minion.begin(FIRST_CUT_S - 0.5 + BEAT_AFTER_CUT_S)
        minion.silent = True
        await asyncio.sleep(FIRST_CUT_S - 0.5)
        minion.silent = False
        lab.record.write("minion_back", id=minion.id)
        await asyncio.sleep(START_AFTER_CUT_S)
    job = await lab.submit(lab.processes[0], [{"count": 1, "cpu": 4000, "mem-mb": 4000,
                                               "estimate-ms": 20000, "required-label": "ssd"}])
    await asyncio.wait_for(started.wait(), 5)
    await asyncio.sleep(CUT_AFTER_START_S)
    at_work = next(each for each in lab.minions if each.running)
    if trouble:
        at_work.silent = True
        lab.record.write("minion_cut", id=at_work.id)
        await asyncio.sleep(SECOND_CUT_S)
        at_work.silent = False
        lab.record.write("minion_back", id=at_work.id)
    for _ in range(80):
        await asyncio.sleep(0.5)
        _, state = await lab.call("GET", lab.processes[0], "/q/" + job)
        if b"completed" in state or b"failed" in state:
            break
    lab.record.write("result", state=state.decode())


if __name__ == "__main__":
    stand.play(case, os.path.join(HERE, "record.txt"))
