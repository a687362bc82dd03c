"""A work unit crashes each minion that starts it, before the minion has answered the start."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import lab as stand  # noqa: E402

BACK_AFTER_S = 3  # "the minion is back after some seconds"
CRASHES_BEFORE = 3  # minions that have crashed under the work unit ...
STARTS_AFTER = 3  # ... before this many further starts break the rule
WATCHED_S = 60


async def case(lab, trouble):
    crashed, starts_after = [], []

    async def restart(minion):
        await asyncio.sleep(BACK_AFTER_S)
        await minion.begin()

    def on_start(minion, task, spec):
        if spec != "deadly" or not trouble:
            return False
        if len(crashed) >= CRASHES_BEFORE:
            starts_after.append(task)
            if len(starts_after) == STARTS_AFTER:
                lab.violate(f"BUDGET: {task} started {STARTS_AFTER} times more after "
                            f"{CRASHES_BEFORE} minions had crashed under it")
        crashed.append(minion.id)
        minion.crash("work unit " + task)
        lab.spawn(restart(minion))
        return True

    lab.add_minions(8, lambda task, spec: 0.4)
    for minion in lab.minions:
        minion.on_start = on_start
    await lab.begin(processes=3)
    await asyncio.sleep(3)  # the start of the deployment is over: all machines are in touch
    entry = lab.processes[0]
    deadly = await lab.submit(entry, [{"count": 1, "cpu": 4000, "mem-mb": 4000,
                                       "estimate-ms": 400}], spec="deadly")
    until = lab.record.now() + WATCHED_S
    while lab.record.now() < until and not lab.broken:
        await asyncio.sleep(2)
        _, body = await lab.call("GET", entry, "/q/" + deadly)
        if b"completed" in body or b"failed" in body:
            break
    lab.record.write("result", crashes=len(crashed), starts_after=len(starts_after))


if __name__ == "__main__":
    stand.play(case, os.path.join(HERE, "record.txt"))
