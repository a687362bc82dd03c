"""Evacuations of data centres in the soak: the operator's requests, and the check of starts."""

import asyncio
import os
import time
from pathlib import Path

BOUND_MS = 5000  # within which an evacuation takes effect
ZONES = ["zone-a", "zone-b"]


def zone_of(worker_id):
    return ZONES[int(worker_id.rpartition("-")[2], 16) % len(ZONES)]


def launcher(program, folder):
    """Returns a program that starts `program` with the setting for evacuations. It replaces itself,
    so that signals reach the process."""
    path = Path(folder) / "ibishinge-fleet"
    path.write_text(f'#!/bin/sh\nexec "{program}" --evacuation-ms={BOUND_MS} "$@"\n',
                    encoding="utf-8")
    os.chmod(path, 0o755)
    return str(path)


class ZonedStore:
    """Mixin of a store: the workers are in several data centres."""

    async def put_by_operator(self, key, document):
        if key.startswith("servers/"):
            document = dict(document, zone=zone_of(key.removeprefix("servers/")))
        await super().put_by_operator(key, document)


class Evacuations:
    """The requests that are in force, by data centre."""

    def __init__(self, lab):
        self.lab = lab
        self.acknowledged_at = {}

    async def evacuate(self, zone, seconds):
        if zone in self.acknowledged_at:
            return
        await self.lab.store.put_by_operator("op/evacuate/" + zone, {})
        self.acknowledged_at[zone] = time.monotonic()
        self.lab.record.write("evacuation", zone=zone)
        await asyncio.sleep(seconds)
        del self.acknowledged_at[zone]
        await self.lab.store.delete_by_platform("op/evacuate/" + zone)
        self.lab.record.write("evacuation_over", zone=zone)

    def check_start(self, worker, task, run):
        zone = zone_of(worker.id)
        if zone not in self.acknowledged_at:
            return
        age_s = time.monotonic() - self.acknowledged_at[zone]
        if age_s > BOUND_MS / 1000:
            self.lab.violate(f"EVAC: run {run} of {task} starts in {zone} {age_s:.1f} s after its "
                             "evacuation was acknowledged")
