"""See claim.txt. Many short work units end while the store is down."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
TROUBLE = sys.argv[1:] != ["0"]  # run.sh hands on the variable TROUBLE
sys.path.insert(0, str(HERE.parent / "standins-2"))

from installation import manifest, main  # noqa: E402

JOB = "00000000000000a1"
UNITS = 1000
NEED = {"cpu": 100, "mem-mb": 100}
UNIT_S = 1.2
OUTAGE_S = 4.5


def describe(_task):
    return NEED, UNIT_S, False


def find_second_starts(record, workers):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""
    seen = {}
    for row in record.of("seen"):
        seen.setdefault(row["worker"], []).append(row)
    lapses = {w.name: [at - record.began for at in w.lapses] for w in workers}
    broken = []
    for end in (row for row in record.of("end") if row["how"] == "done"):
        noted = next((row for row in seen.get(end["worker"], []) if row["number"] >= end["number"]),
                     None)
        if not noted or any(end["at"] <= at <= noted["at"] for at in lapses[end["worker"]]):
            continue
        for start in STARTS.get(end["task"], []):
            if start["at"] > end["at"]:
                broken.append(
                    f"TWICE: {end['task']} ended done on {end['worker']} (run {end['run']}) at "
                    f"{end['at']} s, noted at {noted['at']} s, and run {start['run']} was started "
                    f"on {start['worker']} at {start['at']} s")
    return broken


STARTS = {}


async def case(installation, trouble):
    installation.store.put_document("op/config", manifest())
    for i in range(2):
        installation.add_machine(f"m-{i}", "pool1")
        await installation.add_worker(f"m-{i}")
    for name in ("edge-a", "edge-b", "edge-c"):
        installation.start_fleet(name)
    await installation.until_ready()
    await asyncio.sleep(2)
    await installation.submit(JOB, [{"count": UNITS, "cpu": NEED["cpu"], "mem-mb": NEED["mem-mb"],
                                     "estimate-ms": int(UNIT_S * 1000)}])
    await asyncio.sleep(0.4)
    if trouble:
        installation.record("store_down")
        installation.store.down = True
        await asyncio.sleep(OUTAGE_S)
        installation.store.down = False
        installation.record("store_up")
    for _ in range(60):
        await asyncio.sleep(0.25)
        child = installation.children[_ % 3]
        _, answer = await installation.call(child, "GET", "/queue1/" + JOB)
        if answer == {"state": "completed"}:
            break
    await asyncio.sleep(1.5)
    for start in installation.record.of("start"):
        STARTS.setdefault(start["task"], []).append(start)
    return find_second_starts(installation.record, installation.workers)


main(case, HERE / "record.txt", describe, trouble=TROUBLE)
