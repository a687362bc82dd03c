"""See claim.txt. Empty minions join a service that has a queue with advice."""

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
TROUBLE = sys.argv[1:] != ["0"]  # run.sh hands on the variable TROUBLE
sys.path.insert(0, str(HERE.parent / "standins-2"))

import installation as setup  # noqa: E402
from http_loop import port_of, serve  # noqa: E402

MINIONS = 24
ADDED = 6
ADDED_OVER_S = 2.0
PERMITTED = {"m-20", "m-21", "m-22"}
LASTING = "00000000000000b1"
JOB = "00000000000000b2"
ADVICE_PREFIX = "/queue2/"
ADVICE = {"decide-ms": 20, "each-ms": 1, "validity-ms": 3000}
FINISH_S = 14
STARVED_S = 3


def describe(task):
    return {"cpu": 5000, "mem-mb": 1000}, 1.0, task.startswith(LASTING)


class AdviceService:
    """Permits the step of JOB on the machines of PERMITTED; a minion checks its ticket."""

    def __init__(self, what):
        self.what = what
        self.turn = asyncio.Lock()

    async def handle(self, _method, _target, _headers, body):
        call = json.loads(body)
        async with self.turn:
            await asyncio.sleep((ADVICE["decide-ms"]
                                 + ADVICE["each-ms"] * len(call["workers"])) / 1000)
        by_name = {w.name: w for w in self.what.workers if not w.gone}
        good = [[name, f"{call['step']}|{name}|{time.monotonic() + ADVICE['validity-ms'] / 1000}"]
                for name in call["workers"]
                if name in by_name and by_name[name].machine in PERMITTED]
        self.what.record("advice", step=call["step"], workers=call["workers"],
                         good=[row[0] for row in good])
        return 200, {"good": good, "validity-ms": ADVICE["validity-ms"]}


def refuses_ticket(worker, task, ticket):
    if not task.startswith(JOB):
        return False
    step, name, end = (ticket + "||").split("|")[:3]
    return (step != task.rsplit(".", 1)[0] or name != worker.name
            or time.monotonic() > float(end or 0))


async def add(what, name, kind):
    what.add_machine(name, "pool1", kind=kind)
    worker = await what.add_worker(name)
    worker.refuses_ticket = refuses_ticket


async def case(what, trouble):
    document = setup.manifest()
    second = dict(document["routes"][0], name="route2", prefix=ADVICE_PREFIX, advice=ADVICE)
    document["routes"].append(second)
    what.store.put_document("op/config", document)
    for i in range(MINIONS):
        name = f"m-{i:02d}"
        await add(what, name, "b" if name in PERMITTED else "a")
    advice = await serve(AdviceService(what).handle)
    what.servers.append(advice)
    setup.SETTINGS["advice"] = f"127.0.0.1:{port_of(advice)}"
    for name in ("edge-a", "edge-b"):
        what.start_fleet(name)
    await what.until_ready()
    await asyncio.sleep(2)
    # Work units that last occupy 5 of the 64 cores of each permitted minion.
    await what.submit(LASTING, [{"count": 3, "cpu": 5000, "mem-mb": 1000, "estimate-ms": 700,
                                 "required-label": "b", "max-per-server": 1, "persistent": True,
                                 "image": "serving", "max-unavailable": 1}])
    await asyncio.sleep(3)
    if trouble:
        for i in range(ADDED):
            await add(what, f"m-new-{i}", "a")
            await asyncio.sleep(ADDED_OVER_S / ADDED)
        what.record("minions_added", count=ADDED)
    await asyncio.sleep(8)
    await what.submit(JOB, [{"count": 4, "cpu": 5000, "mem-mb": 1000, "estimate-ms": 1000}],
                      prefix=ADVICE_PREFIX)
    await asyncio.sleep(FINISH_S)
    _, answer = await what.call(what.children[0], "GET", ADVICE_PREFIX + JOB)
    starts = [row for row in what.record.of("start") if row["task"].startswith(JOB)]
    await asyncio.sleep(STARVED_S)
    later = [row for row in what.record.of("start") if row["task"].startswith(JOB)]
    used = sum(sum(run.need["cpu"] for run in w.running.values()) for w in what.workers)
    free = [w.capacity["cpu"] - sum(run.need["cpu"] for run in w.running.values())
            for w in what.workers if w.machine in PERMITTED]
    what.record("room", service_cpu_in_use=used, free_cpu_on_permitted=free)
    asked = {name for row in what.record.of("advice") for name in row["workers"]}
    if answer.get("state") != "completed" and not later and not starts:
        return [f"LOST: job {JOB} was accepted, is `{answer.get('state')}` after {FINISH_S} s and "
                f"has run nothing; the permitted minions have {free} thousandths of a core free; "
                f"{len(what.record.of('advice'))} calls for advice named {len(asked)} minions, "
                f"{sum(w.name in asked for w in what.workers if w.machine in PERMITTED)} of the "
                f"3 permitted ones"]
    return []


setup.main(case, HERE / "record.txt", describe, trouble=TROUBLE)
