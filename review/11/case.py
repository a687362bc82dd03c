"""A timed job is handed in at noon whose first time was midnight; each process that coordinates then
exceeds its memory. Ordinary jobs go on beside it."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import stand  # noqa: E402

TIMED = "7e11ab0000000002"
HOURS_LATE = 12
INTERVAL_MS = 1000
REPETITIONS = HOURS_LATE * 3600 + 600
WIDTH = 24  # work units of each occurrence, as in the sheets
RUN_MS = {"ordinary": 300, "long": 6_000, "timed": 100}  # by spec
TRAFFIC_S = 20
FINISH_S = 14  # finish_s
MEMORY_MB = 260  # memory-mb
ENDS = 3  # Fault: processes end by themselves three times on two machines at least


def ordinary(spec="ordinary"):
    return {"spec": spec, "steps": [{"count": 4, "cpu": 1000, "mem-mb": 100,
                                     "estimate-ms": RUN_MS[spec]}]}


def timed(late):
    first = stand.wall_ms() - (HOURS_LATE * 3_600_000 if late else 0)
    return {"spec": "timed", "repetitions": REPETITIONS, "first-ms": first,
            "interval-ms": INTERVAL_MS,
            "steps": [{"count": WIDTH, "cpu": 1000, "mem-mb": 100,
                       "estimate-ms": RUN_MS["timed"]}]}


async def play(logs):
    lab = stand.Lab(HERE / "record.txt", logs, lambda _task, spec: RUN_MS[spec])
    lab.memory_mb = MEMORY_MB
    async with lab:
        if not await lab.ready():
            return 2, "the processes were not ready in time"
        record, accepted, refused = lab.record, [], []

        async def hand_in(number, spec="ordinary"):
            job = f"0dd{number:013x}"
            answers = await lab.callers.submit(job, ordinary(spec))
            (accepted if answers[-1] == 200 else refused).append(job)

        for number in range(8):
            await hand_in(number)
        await asyncio.sleep(3)
        states = [await lab.callers.state(job) for job in accepted]
        if len(accepted) != 8 or set(states) != {"completed"}:
            return 2, "ordinary jobs were not done before the disruption"
        for number in range(100, 108):
            await hand_in(number, "long")
        answers = await lab.callers.submit(TIMED, timed(stand.trouble()), attempts=3)
        if set(answers) & {400, 429}:
            return 0, f"the timed job was refused: {answers}"
        calls, begun = [], record.now()
        number = 8
        while record.now() < begun + TRAFFIC_S:
            calls.append(asyncio.ensure_future(hand_in(number)))
            number += 1
            await asyncio.sleep(0.5)
        await asyncio.gather(*calls)
        record.add("end of the traffic; accepted", len(accepted), "not accepted", len(refused))
        await asyncio.sleep(FINISH_S)
        states = await asyncio.gather(*(lab.callers.state(job) for job in accepted))
        for job, state in zip(accepted, states):
            record.add("job", job, "is shown as", state)
        unanswered = sum(1 for state in states if state != "completed")
        ends = [node["ends"] for node in lab.fleet.nodes]
        broken = sum(1 for count in ends if count >= ENDS) >= 2
        text = (f"processes that exceeded {MEMORY_MB} MB: {ends} times; accepted ordinary jobs "
                f"without the answer completed {FINISH_S} s after the traffic: {unanswered} of "
                f"{len(accepted)}; not accepted at any attempt: {len(refused)}; peak MB "
                f"{[round(node['peak_mb']) for node in lab.fleet.nodes]}")
        record.add(text)
        return (1 if broken or unanswered else 0), text


stand.main(play)
