"""The callers of `fleet_soak.py`: they hand jobs in, give up, cancel, and remember each answer."""

import asyncio
import json
import socket
import time

TRIES = 4
CALLER_DEADLINE_MS = 3000
REJECTED = {429, 503}  # answers that promise that the job never runs
KEPT_SHARE = 0.4  # of the callers: they keep connections open
RACE_S = 0.05  # a server that closes an idle connection may have decided it so long before
CANCELS_LAST_S = 30  # after the load: by then each cancellation has to be acknowledged


class Connection:
    """A connection to one process that serves one request after another."""

    def __init__(self, child):
        self.child = child  # the process, in the life in which it was connected to
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.used = False

    async def open(self, port):
        await asyncio.get_running_loop().sock_connect(self.socket, ("127.0.0.1", port))

    def is_open(self):
        """Asks the kernel, as the event loop may hear of an end late."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # an end, or bytes that answer no request

    async def read_answer(self):
        """Returns (status, body, whether the connection stays open), or what came before an end
        in place of the body and 0 for the status."""
        text, head_end, length = b"", -1, 0
        while head_end < 0 or len(text) < head_end + length:
            try:
                part = await asyncio.get_running_loop().sock_recv(self.socket, 65536)
            except OSError:
                part = b""
            if not part:
                return 0, text, False
            text += part
            if head_end < 0 and b"\r\n\r\n" in text:
                head_end = text.index(b"\r\n\r\n") + 4
                lines = text[:head_end].decode("latin-1").lower().split("\r\n")
                fields = dict(line.split(":", 1) for line in lines[1:] if line)
                length = int(fields.get("content-length", "0"))
        stays = fields.get("connection", "").strip() != "close"
        return int(lines[0].split(" ")[1]), text[head_end:head_end + length], stays


class KeptConnections:
    """The connections that callers keep open, until their process is gone."""

    def __init__(self, soak):
        self.soak = soak
        self.idle = {}  # by process
        self.stalls = []  # times during which this program did not read: (begin, end)
        self.requests = 0  # on a connection that had served another before
        self.races = 0  # ends that may have been decided before the request came

    async def watch_stalls(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            if time.monotonic() > before + 0.02:
                self.stalls.append((before, time.monotonic()))

    def may_be_race(self, sent_at, ended_at):
        """Returns true if the times don't show that the server closed after the request came."""
        stalled = sum(max(0.0, min(end, ended_at) - max(begin, sent_at))
                      for begin, end in self.stalls)
        return ended_at - sent_at - stalled <= RACE_S

    async def take(self, process):
        while self.idle.get(process):
            connection = self.idle[process].pop()
            if connection.is_open():
                return connection
            connection.socket.close()
        connection = Connection(process.child)
        try:
            await connection.open(process.front)
        except BaseException:
            connection.socket.close()
            raise
        return connection

    async def call(self, method, process, path, headers, document, seconds):
        """Returns (status, body, lost): the status is as of `Lab.http`, and `lost` is true if the
        process should have answered."""
        connection = None
        try:
            async with asyncio.timeout(seconds):
                body = b"" if document is None else json.dumps(document).encode()
                lines = [f"{method} {path} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines += [f"Content-Length: {len(body)}", "", ""]
                text = "\r\n".join(lines).encode() + body
                while True:
                    connection = await self.take(process)
                    sent_at = time.monotonic()
                    try:
                        connection.socket.sendall(text)
                        status, body, stays = await connection.read_answer()
                    except OSError:  # closed before the request was sent
                        if connection.used:
                            connection.socket.close()
                            continue
                        status, body, stays = 0, b"", False
                    break
                self.requests += connection.used
        except (TimeoutError, OSError):  # OSError: could not connect
            if connection:
                connection.socket.close()
            return -1, b"", False
        if status == 0 or not stays:
            connection.socket.close()
        else:
            connection.used = True
            self.idle.setdefault(process, []).append(connection)
        lost = status == 0 and not self.soak.may_break_off(connection.child, sent_at)
        if lost and connection.used and not body and self.may_be_race(sent_at, time.monotonic()):
            self.races += 1
            self.soak.lab.record.write("closed_at_once", process=process.name, path=path)
            lost = False
        return status, body, lost


class Caller:
    """Hands one job in, with retries, and remembers each answer."""

    def __init__(self, soak, job):
        self.soak, self.job = soak, job
        self.statuses = []
        self.keeps = soak.rng.random() < KEPT_SHARE
        self.cancelled_at = None  # when the acknowledgement of a cancellation was received

    @property
    def accepted(self):
        return any(200 <= status < 300 for status in self.statuses)

    @property
    def rejected(self):
        return bool(self.statuses) and all(status in REJECTED for status in self.statuses)

    async def send(self, method, document=None, leaves_after_s=CALLER_DEADLINE_MS / 1000):
        """Sends a request about the job to a random process and returns the answer's status."""
        lab = self.soak.lab
        process = self.soak.rng.choice(lab.processes)
        headers = {"Host": "queue.example", "Authorization": "Bearer key-1",
                   "Request-Deadline": CALLER_DEADLINE_MS}
        if document is not None:
            headers["Content-Type"] = "application/json"
        path, child, sent_at = "/q/" + self.job, process.child, time.monotonic()
        if self.keeps:
            status, body, lost = await self.soak.kept.call(method, process, path, headers, document,
                                                           leaves_after_s)
        else:
            status, body = await lab.http(method, process.front, path, headers, document,
                                          leaves_after_s)
            lost = status == 0 and not self.soak.may_break_off(child, sent_at)
        took_ms = round((time.monotonic() - sent_at) * 1000)
        lab.record.write("call", method=method, process=process.name, path=path, status=status,
                         took_ms=took_ms, kept=self.keeps, body=body.decode(errors="replace"))
        if lost:
            lab.violate(f"LOST: {process.name} ended the request {method} {self.job} without an "
                        f"answer after {took_ms} ms" + " on a kept connection" * self.keeps)
        return status

    async def run(self):
        for _ in range(TRIES):
            self.statuses.append(await self.send("POST", self.soak.lab.jobs[self.job]))
            if self.accepted:
                return
            await asyncio.sleep(self.soak.rng.uniform(0.2, 1.0))

    async def cancel(self):
        """Cancels the job through random processes until that is acknowledged."""
        while self.cancelled_at is None:
            if time.monotonic() > self.soak.until + CANCELS_LAST_S:
                self.soak.lab.violate(f"RECOVER: no cancellation of {self.job} is acknowledged")
                return
            status = await self.send("DELETE")
            if 200 <= status < 300 or status == 410:
                self.cancelled_at = time.monotonic()
                self.soak.lab.record.write("cancelled", job=self.job)
            else:
                await asyncio.sleep(self.soak.rng.uniform(0.05, 0.3))


class CancellingCaller(Caller):
    """Cancels its job some time after it was accepted."""

    def __init__(self, soak, job, cancels_after_s):
        super().__init__(soak, job)
        self.cancels_after_s = cancels_after_s  # None: it keeps the job

    async def run(self):
        await super().run()
        if self.accepted and self.cancels_after_s is not None:
            await asyncio.sleep(self.cancels_after_s)
            await self.cancel()


class LastingCaller(CancellingCaller):
    """Hands in a job whose tasks run until it is cancelled, and cancels some of these jobs."""


class ScheduledCaller(Caller):
    """Hands in a job that is due after the soak."""


class CallerWhoGivesUp(Caller):
    """Leaves while its only submission may be unanswered, and cancels the job."""

    def __init__(self, soak, job, leaves_after_s):
        super().__init__(soak, job)
        self.leaves_after_s = leaves_after_s

    async def run(self):
        self.statuses.append(await self.send("POST", self.soak.lab.jobs[self.job],
                                             self.leaves_after_s))
        await self.cancel()
