"""The links between the processes of `fleet_soak.py`, on which answers can be lost or delayed.

A process writes the address at which it listens for its peers to the leader's record. The others
read there the address of a link in front of it: each reads the store through a view of its own.
A process that names itself in an answer to a peer is asked without the link from then on.
"""

import asyncio
import base64

import lab as stand

LEADER_KEY = "fleet/leader"
SEGMENT = 1500  # bytes
BITS = 8


class NarrowLink(stand.Proxy):
    """A link that carries a limited number of bytes a second in each direction, which all of its
    connections share. A connection has up to `window` bytes on its way, and those of the others
    wait behind them."""

    def __init__(self, target_port):
        super().__init__(target_port)
        self.bytes_per_s = None  # None: no limit
        self.window = SEGMENT
        self.turns = {True: asyncio.Lock(), False: asyncio.Lock()}  # by direction, True: to target
        self.free_at = {True: 0.0, False: 0.0}

    def limit(self, mbit_per_s, window=SEGMENT):
        self.bytes_per_s = mbit_per_s * 1e6 / BITS
        self.window = window

    async def pump(self, reader, writer):
        upwards = writer.get_extra_info("peername")[1] == self.target
        while True:
            data = await reader.read(self.window)
            await self.open_link.wait()
            if reader.exception():
                writer.transport.abort()
                return
            if not data:
                writer.write_eof()
                return
            async with self.turns[upwards]:
                for begin in range(0, len(data), SEGMENT):
                    part = data[begin:begin + SEGMENT]
                    await self.pass_time(upwards, len(part))
                    if writer.is_closing():
                        return
                    writer.write(part)
            await writer.drain()

    async def pass_time(self, upwards, size):
        if self.bytes_per_s is None:
            return
        now = asyncio.get_running_loop().time()
        # Lateness of timers is made up for, so that the rate is kept.
        self.free_at[upwards] = (max(self.free_at[upwards], now - 0.005)
                                 + size / self.bytes_per_s)
        await asyncio.sleep(self.free_at[upwards] - now)


class PeerLink(stand.Proxy):
    """The way of the other processes to one."""

    def __init__(self, target_port):
        super().__init__(target_port)
        self.answers_lost = False  # the request is carried out, its connection reset
        self.answers_late_s = 0.0
        self.carried = 0  # parts of answers

    async def pump(self, reader, writer):
        if writer.get_extra_info("peername")[1] == self.target:
            await super().pump(reader, writer)
            return
        while True:
            data = await reader.read(65536)
            await self.open_link.wait()
            if data and self.answers_late_s:
                await asyncio.sleep(self.answers_late_s)
            if reader.exception() or data and self.answers_lost:
                writer.transport.abort()
                return
            if not data:
                writer.write_eof()
                return
            self.carried += 1
            writer.write(data)
            await writer.drain()


class StoreView:
    """The store as one process reads it: other leaders have the addresses of their links."""

    def __init__(self, process):
        self.process = process
        self.http = stand.HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        answer = await self.process.lab.store.handle(method, path, query, headers, body)
        if answer is None or answer[1] is None:
            return answer
        status, document = answer
        document = self.through_links(document)
        for name in ("items", "events"):
            if name in document:
                document[name] = [self.through_links(item) for item in document[name]]
        return status, document

    def through_links(self, item):
        """Returns a copy, as the store keeps the item itself."""
        item = dict(item)
        if item.get("key") == LEADER_KEY and "value" in item:
            value = base64.b64decode(item["value"]).decode()
            for other in self.process.lab.processes:
                if other is not self.process:
                    value = value.replace(f'"127.0.0.1:{other.peers}"',
                                          f'"{other.links["peers"].address}"')
            item["value"] = base64.b64encode(value.encode()).decode()
        return item


class LinkedProcess(stand.Process):
    """A process that the others reach by a link."""

    async def add_links(self):
        await super().add_links()
        self.view = StoreView(self)
        await self.view.http.open()
        self.links["store"].target = self.view.http.port
        self.links["peers"] = PeerLink(self.peers)
        await self.links["peers"].begin()
