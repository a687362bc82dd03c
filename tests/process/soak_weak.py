"""Weak hosts for `fleet_soak.py`: narrow links to the store and shares of a processor."""

import asyncio
import contextlib
import dataclasses
import json
import os
import signal

import lab as stand
from soak_links import SEGMENT, LinkedProcess, NarrowLink

PAGE_BYTES = 1_000_000  # the store's bound of a page
TCP_WINDOW = 65536
SHARE_PERIOD_S = 0.1
STRONG_SHARE = 1.0
ALL_WEAK = 0.4  # of the plays; in the others one host is strong
RATES = [10, 2]  # Mbit/s
SHARES = (0.15, 0.5)


class PagedStore(stand.Store):
    """A store whose pages have a limited size, as the platform's. Records new terms."""

    async def handle(self, method, path, query, headers, body):
        answer = await super().handle(method, path, query, headers, body)
        if path != "/-/kv-range" or answer is None or answer[0] != 200:
            return answer
        document, size = answer[1], 0
        for count, item in enumerate(document["items"]):
            size += len(json.dumps(item))
            if size > PAGE_BYTES:
                return 200, dict(document, items=document["items"][:count], **{"more-pages": True})
        return answer

    def _put(self, key, value, lease):
        super()._put(key, value, lease)
        if key == "fleet/term":
            self.record.write("term", number=value.decode())

    def terms(self):
        return int(self.value("fleet/term") or 0)


class NarrowProcess(stand.Process):
    """A process whose link to the store can be narrow."""

    async def add_links(self):
        await super().add_links()
        plain = self.links["store"]
        plain.server.close()
        self.links["store"] = NarrowLink(plain.target)
        await self.links["store"].begin()


@dataclasses.dataclass
class Host:
    """What a process has of its host."""
    mbit_per_s: float | None = None  # None: no limit
    window: int = SEGMENT
    share: float | None = None  # of a processor; None: no limit

    @property
    def is_weak(self):
        return self.mbit_per_s is not None or self.share is not None


def draw_weak_host(rng):
    rate = rng.choice([*RATES, None])
    share = rng.uniform(*SHARES) if rate is None or rng.random() < 0.5 else None
    return Host(rate, rng.choice([SEGMENT, TCP_WINDOW]), share)


def draw_hosts(rng, count):
    hosts = [draw_weak_host(rng) for _ in range(count)]
    if rng.random() >= ALL_WEAK:
        hosts[rng.randrange(count)] = Host()
    return hosts


class WeakProcess(NarrowProcess):
    """A process that is held to the limits of its host."""

    def __init__(self, lab, index):
        super().__init__(lab, index)
        self.host = lab.hosts[index - 1]
        self.share = self.host.share  # None: it runs all the time
        self.frozen = 0  # faults that suspend it
        self.handle = None

    async def add_links(self):
        await super().add_links()
        if self.host.mbit_per_s:
            self.links["store"].limit(self.host.mbit_per_s, self.host.window)
        self.lab.spawn(self.keep_to_share())
        self.lab.record.write("host", name=self.name, mbit=self.host.mbit_per_s,
                              window=self.host.window, share=self.host.share)

    async def begin(self):
        words = [stand.PROGRAM, f"--name={self.name}", f"--callers-listen=127.0.0.1:{self.front}",
                 f"--ready-listen=127.0.0.1:{self.ready}",
                 f"--peers-listen=127.0.0.1:{self.peers}",
                 f"--store={self.address_of('store', self.lab.store)}",
                 f"--machines={self.address_of('machines', self.lab.machines)}",
                 f"--advice={self.lab.machines.http.address}", "--data-centre=zone-a",
                 f"--processor-share={self.host.share or STRONG_SHARE}", "--store-writes=400",
                 "--host-orders=64.0", f"--stop-ms={stand.STOP_MS}"]
        with open(os.path.join(self.lab.folder, self.name + ".log"), "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})
        if self.handle is not None:
            os.close(self.handle)
        self.handle = os.pidfd_open(self.child.pid)
        stand.STARTED.append(self)
        self.lab.record.write("process_started", name=self.name)

    def send(self, number):
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.handle, number)

    async def keep_to_share(self):
        while True:
            share = self.share
            if share is None or self.handle is None or self.frozen:
                await asyncio.sleep(SHARE_PERIOD_S)
                continue
            handle = self.handle
            self.send(signal.SIGSTOP)
            await asyncio.sleep((1 - share) * SHARE_PERIOD_S)
            if not self.frozen and handle == self.handle:
                self.send(signal.SIGCONT)
            await asyncio.sleep(share * SHARE_PERIOD_S)


class WeakLinkedProcess(WeakProcess, LinkedProcess):
    """Such a process that the others reach by a link."""
