"""Clients that nobody controls must not exhaust the memory or the descriptors of a process.

Each case starts one process and a crowd of clients at one of its ports. Nothing depends on the
speed of the machine: a case checks that the process runs, that its peak memory and its descriptors
stay under a bound, and that one ordinary request is answered while the crowd is connected.
"""

import asyncio
import contextlib
import os
import shutil
import sys
import tempfile
import time
import unittest
import warnings
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "review/standins"))

import lab as stand  # noqa: E402
import support  # noqa: E402

CROWD = 160
# A host of 160 MB holds the process (14 MB), 24 MB of bodies that are being read, a copy of each,
# and the tree of one large document (at most 30 MB).
PEAK_KB = 96 * 1024
# Connections of each port: above the crowd, or below it in the case that is about them.
MANY, FEW = 256, 64
# Connections of both ports and of the readiness port, and those of the process's own calls.
OTHER_DESCRIPTORS = 16 + 64
BODY = 1_000_000  # within the limit of 1,048,576 bytes
MISSING = 10
LARGE_CHUNK, SMALL_CHUNK, PIECE = 65_536, 16, 16_384
ABOVE_LIMIT = 4_000_000
WAIT_S = 60  # only a bound against a test that never ends


def filler(count):
    """Bytes of an ordinary document, whose end is never sent."""
    return (b'{"spec":"' + count * b"x")[:count]


def chunks(size, total):
    """A chunked body without its last chunk."""
    count = total // size
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * count


ANNOUNCED = f"Content-Length: {BODY + MISSING}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
# The header that tells the length, what is sent of the body, bytes of one write, connections.
KINDS = {
    "whole": (ANNOUNCED, filler(BODY), BODY, MANY),
    "pieces": (ANNOUNCED, filler(BODY), PIECE, MANY),
    "large_chunks": (CHUNKED, chunks(LARGE_CHUNK, BODY), BODY, MANY),
    # The framing takes as many bytes as the body.
    "small_chunks": (CHUNKED, chunks(SMALL_CHUNK, BODY), PIECE, MANY),
    # Refused by the header, and sent all the same.
    "above_limit_announced": (f"Content-Length: {16 * ABOVE_LIMIT}\r\n", filler(ABOVE_LIMIT),
                              PIECE, MANY),
    "above_limit_sent": (CHUNKED, chunks(LARGE_CHUNK, ABOVE_LIMIT), PIECE, MANY),
    "more_than_connections": (ANNOUNCED, filler(BODY), PIECE, FEW),
}
PORTS = ("callers", "peers")


def launcher(program, folder, limit):
    """Returns a program that starts `program` with a limit of connections for each port. It
    replaces itself, so that signals reach the process."""
    path = folder / "ibishinge-fleet"
    path.write_text(f'#!/bin/sh\nexec "{program}" --callers-connections={limit} '
                    f'--peers-connections={limit} "$@"\n', encoding="utf-8")
    path.chmod(0o755)
    return str(path)


class Crowd:
    """Clients that send the same unfinished request and stay connected."""

    def __init__(self, port, head, body, write_bytes):
        self.port, self.head, self.body, self.write_bytes = port, head, body, write_bytes
        self.tasks, self.sent = [], 0
        self.ended = 0  # connections that the process has closed

    async def send(self):
        """Sends until everything is sent or the process closes the connection."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.sent += 1
            return
        try:
            writer.write(self.head)
            for at in range(0, len(self.body), self.write_bytes):
                writer.write(self.body[at:at + self.write_bytes])
                await writer.drain()
            while writer.transport.get_write_buffer_size() > 0:
                await asyncio.sleep(0.01)
        except OSError:
            pass
        self.sent += 1
        with contextlib.suppress(OSError):
            while await reader.read(65536):
                pass
        self.ended += 1
        writer.close()

    async def begin(self):
        self.tasks = [asyncio.create_task(self.send()) for _ in range(CROWD)]

    async def wait_until_read(self):
        """Waits until everything is sent and the process has read it."""
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until and (self.sent < CROWD or unread_bytes(self.port) > 0):
            await asyncio.sleep(0.05)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def unread_bytes(port):
    """Bytes that have arrived at a local port and have not been read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port and fields[3] == "01":  # established
            total += int(fields[4].split(":")[1], 16)
    return total


class FleetUntrustedClientsTest(unittest.TestCase):
    """Guards against a process that ends, hangs or leaves its memory because of its clients."""

    def setUp(self):
        warnings.simplefilter("ignore", ResourceWarning)  # the stand-ins leave log files open

    def peak_kb(self):
        for line in Path(f"/proc/{self.process.child.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        return self.fail("no peak memory")

    def measure(self, when):
        self.assertIsNone(self.process.child.returncode, "the process has ended " + when)
        self.figures.append((when, self.peak_kb(),
                             len(os.listdir(f"/proc/{self.process.child.pid}/fd"))))
        print(f"{when}: peak {self.figures[-1][1]} kB, {self.figures[-1][2]} descriptors, "
              f"{self.crowd.ended} of {CROWD} closed", file=sys.stderr)

    async def answer_at(self, port_name):
        """Sends an ordinary request until it is answered. A refusal that says that the request has
        not run is no answer: the caller sends it again, as it is told to."""
        until = time.monotonic() + WAIT_S
        status = -1
        while time.monotonic() < until:
            if port_name == "callers":
                job = self.lab.new_id()
                self.lab.jobs[job] = {"spec": "work", "steps": [{"count": 1, "cpu": 1000,
                                                                 "estimate-ms": 1000}]}
                status, _ = await self.lab.call("POST", self.process, "/q/" + job,
                                                self.lab.jobs[job], deadline_ms=WAIT_S * 1000)
            else:
                status, _ = await self.lab.http("POST", self.process.peers, "/v1/fleet/requests",
                                                {}, [], WAIT_S)
            if status not in (429, 503):
                break
            await asyncio.sleep(0.2)
        return status

    def play(self, kind, port_name):
        async def run():
            folder = Path(tempfile.mkdtemp(prefix="untrusted-"))
            self.lab = stand.Lab(folder / "record.txt")
            shutil.rmtree(self.lab.folder)
            self.lab.folder = str(folder)
            self.figures = []
            limit = KINDS[kind][3]
            stand.PROGRAM = launcher((support.BINARIES / "ibishinge-fleet").resolve(), folder,
                                     limit)
            try:
                self.lab.add_minions(1, lambda task, spec: 0.1)
                await self.lab.begin(1)
                self.process = self.lab.processes[0]
                await self.play_crowd(kind, port_name, 2 * limit + OTHER_DESCRIPTORS)
            finally:
                # Python 3.11 reports each cancelled handler of a stand-in as an error.
                asyncio.get_running_loop().set_exception_handler(lambda *_: None)
                await self.lab.end()
                shutil.rmtree(folder)

        asyncio.run(run())

    async def play_crowd(self, kind, port_name, max_descriptors):
        length, body, write_bytes, _ = KINDS[kind]
        job = self.lab.new_id()
        port, path = ((self.process.front, "/q/" + job) if port_name == "callers"
                      else (self.process.peers, "/v1/fleet/requests"))
        head = (f"POST {path} HTTP/1.1\r\nHost: queue.example\r\nAuthorization: Bearer key-1\r\n"
                f"Request-Deadline: 3000\r\n{length}\r\n").encode()
        self.crowd = Crowd(port, head, body, write_bytes)
        await self.crowd.begin()
        try:
            await self.crowd.wait_until_read()
            self.measure(f"{kind} at {port_name}, crowd")
            status = await self.answer_at(port_name)
            self.measure(f"{kind} at {port_name}, after a request ({status})")
        finally:
            await self.crowd.end()
        self.assertEqual(status, 200)
        for when, peak, descriptors in self.figures:
            self.assertLessEqual(peak, PEAK_KB, when)
            self.assertLessEqual(descriptors, max_descriptors, when)


for kind_name in KINDS:
    for each_port in PORTS:
        setattr(FleetUntrustedClientsTest, f"test_{kind_name}_at_{each_port}",
                lambda self, kind=kind_name, port=each_port: self.play(kind, port))


if __name__ == "__main__":
    support.main()
