"""The callers of `fleet_soak.py`: they hand jobs in, give up, cancel, and remember each answer."""

import asyncio
import time

TRIES = 4
CALLER_DEADLINE_MS = 3000
REJECTED = {429, 503}  # answers that promise that the job never runs
CANCELS_LAST_S = 30  # after the load: by then each cancellation has to be acknowledged


class Caller:
    """Hands one job in, with retries, and remembers each answer."""

    def __init__(self, soak, job):
        self.soak, self.job = soak, job
        self.statuses = []
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
        sent_at = time.monotonic()
        status, body = await lab.http(method, process.front, "/q/" + self.job, headers, document,
                                      leaves_after_s)
        lab.record.write("call", method=method, process=process.name, path="/q/" + self.job,
                         status=status, took_ms=round((time.monotonic() - sent_at) * 1000),
                         body=body.decode(errors="replace"))
        if status == 0 and not self.soak.may_break_off(process, sent_at):
            lab.violate(f"LOST: {process.name} ended the request {method} {self.job} without an "
                        "answer")
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


class CallerWhoGivesUp(Caller):
    """Leaves while its only submission may be unanswered, and cancels the job."""

    def __init__(self, soak, job, leaves_after_s):
        super().__init__(soak, job)
        self.leaves_after_s = leaves_after_s

    async def run(self):
        self.statuses.append(await self.send("POST", self.soak.lab.jobs[self.job],
                                             self.leaves_after_s))
        await self.cancel()
