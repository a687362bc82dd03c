"""A job is shown as failed although only one minion has crashed under its work unit."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import lab as stand  # noqa: E402

DOWN_S = 2.5  # each minion is down for this long
CRASH_AFTER_START_S = 0.3


async def case(lab, trouble):
    crashed_under, starts = [], []

    async def restart(minion):
        await asyncio.sleep(DOWN_S)
        await minion.begin()

    def crash(minion, why):
        crashed_under.extend(minion.running)
        minion.crash(why, dark=True)
        lab.spawn(restart(minion))

    lab.add_minions(8, lambda task, spec: 3.0)
    await lab.begin(processes=3)
    await asyncio.sleep(3)
    entry = lab.processes[0]

    # An idle minion crashes; its entry in the store stays until three beats are missed.
    first = lab.minions[0]
    if trouble:
        crash(first, "srv_crash, idle")
    await asyncio.sleep(0.2)

    def on_start(minion, task, spec):
        starts.append(minion.id)
        if trouble and len(starts) == 1:
            asyncio.get_running_loop().call_later(
                CRASH_AFTER_START_S, lambda: crash(minion, "srv_crash, at work"))
        return False

    for minion in lab.minions:
        minion.on_start = on_start
    job = await lab.submit(entry, [{"count": 1, "cpu": 4000, "mem-mb": 4000,
                                    "estimate-ms": 3000}])
    until = lab.record.now() + 40
    state = b""
    while lab.record.now() < until:
        await asyncio.sleep(0.5)
        _, state = await lab.call("GET", entry, "/q/" + job)
        if b"completed" in state or b"failed" in state:
            break
    lab.record.write("result", starts=len(starts), crashes_under_it=len(crashed_under),
                     state=state.decode())
    if b"failed" in state and len(crashed_under) < 2:
        lab.violate(f"LOST: job {job} is shown as failed; minions that have crashed under its "
                    f"work unit: {len(crashed_under)}; ends 'failed': 0")
    elif b"completed" not in state:
        lab.violate(f"LOST: job {job} is not completed after 40 s")


if __name__ == "__main__":
    stand.play(case, os.path.join(HERE, "record.txt"))
