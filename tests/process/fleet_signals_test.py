"""Signals to `ibishinge-fleet`: several in series, and a stop while requests are open."""

import base64
import http.client
import json
import signal
import socket
import struct
import subprocess
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import support

# A stop takes 3.5 s; the others are only bounds against a test that never ends.
STILL_DRAINING_S = 1.5
LIMIT_S = 30
GRACE_S = 6  # the platform kills a process that is still there so long after its stop signal
# Callers reach a process that stops until the load balancer has taken note of it.
STILL_REACHED_S = 3.0
REQUEST_INTERVAL_S = 0.1
# Of a process that is stopped: the length of its drain, and when it ends at the latest.
DRAIN_S = 3.5
STOPS_BY_S = 5.4
SUSPENDED_AFTER_S = 1.5


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class StoreOfOneLeader(ThreadingHTTPServer):
    """A store that holds the record of a leader and refuses all other calls."""

    daemon_threads = True

    def __init__(self, leader_address):
        super().__init__(("127.0.0.1", 0), StoreHandler)
        record = {"name": "frozen", "incarnation": "frozen-1", "address": leader_address, "term": 1}
        self.leader = {"key": "fleet/leader", "created": 2, "revision": 2, "lease": 1,
                       "value": base64.b64encode(json.dumps(record).encode()).decode(),
                       "current-rev": 2}
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_port}"


class StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        url = urlsplit(self.path)
        known = url.path == "/-/kv-key" and parse_qs(url.query)["key"] == ["fleet/leader"]
        body = json.dumps(self.server.leader).encode() if known else b""
        self.send_response(200 if known else 503)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        pass


def hand_in(address, number, answers):
    """Sends a job and appends the status of the answer, or the error."""
    connection = http.client.HTTPConnection(address, timeout=LIMIT_S)
    job = {"spec": "work", "steps": [{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 500}]}
    try:
        connection.request("POST", f"/q/{number:016x}", json.dumps(job),
                           {"Host": "queue.example", "Request-Deadline": "3000",
                            "Content-Type": "application/json"})
        answers.append(connection.getresponse().status)
    except (OSError, http.client.HTTPException) as problem:
        answers.append(repr(problem))
    finally:
        connection.close()


class FleetSignalsTest(unittest.TestCase):
    """Guards against a process that ends at once, with the requests that it has read, when a signal
    reaches it while its main thread does not wait for one."""

    def begin(self, callers=None, store=None):
        """Starts a process; of its outside systems at most the store is there."""
        ready = free_address()
        words = [support.BINARIES / "ibishinge-fleet", "--name=one",
                 f"--callers-listen={callers or free_address()}", f"--ready-listen={ready}",
                 f"--peers-listen={free_address()}", f"--store={store or free_address()}",
                 f"--machines={free_address()}"]
        process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        host, port = ready.split(":")
        until = time.monotonic() + LIMIT_S
        while time.monotonic() < until:
            try:
                socket.create_connection((host, int(port)), 1).close()
                return process
            except OSError:
                time.sleep(0.02)
        self.fail("the process does not listen")

    def wait_for_line(self, process, text):
        """Reads the log of a process up to a line with this text."""
        for line in process.stdout:
            if text in line:
                return
        self.fail(f"the process ended without a line {text}")

    def test_signals_while_it_drains(self):
        for later in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            with self.subTest(later=later.name):
                process = self.begin()
                process.send_signal(signal.SIGTERM)
                time.sleep(0.3)
                process.send_signal(later)
                with self.assertRaises(subprocess.TimeoutExpired):
                    process.wait(STILL_DRAINING_S)
                self.assertEqual(process.wait(LIMIT_S), 0)

    def test_hangups_while_it_starts_and_runs(self):
        process = self.begin()
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.01)
        self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(LIMIT_S), 0)

    def test_requests_are_answered_before_it_ends(self):
        """Guards against requests without an answer: they wait for a coordinator that is frozen,
        and their process is stopped."""
        leader = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.addCleanup(leader.close)
        store = StoreOfOneLeader(f"127.0.0.1:{leader.getsockname()[1]}")
        self.addCleanup(store.server_close)
        self.addCleanup(store.shutdown)
        callers = free_address()
        process = self.begin(callers, store.address)
        # Before it knows the leader it asks first whether that one serves, and passes nothing on.
        self.wait_for_line(process, b"leader_seen")
        answers, threads = [], []

        def send():
            threads.append(support.in_background(hand_in, callers, len(threads), answers))

        send()
        leader.settimeout(LIMIT_S)
        self.addCleanup(leader.accept()[0].close)  # the request has been passed on
        process.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        while time.monotonic() < stopped_at + STILL_REACHED_S:
            send()
            time.sleep(REQUEST_INTERVAL_S)
        self.assertEqual(process.wait(LIMIT_S), 0)
        self.assertLess(time.monotonic() - stopped_at, GRACE_S)
        for thread in threads:
            thread.join()
        self.assertEqual(len(answers), len(threads))
        self.assertEqual([each for each in answers if each not in (503, 504)], [])
        self.assertIn(504, answers)

    def test_failures_of_a_coordinator_that_resets_connections_are_logged_once_a_second(self):
        """Guards against a log that grows with each repetition of a request."""
        leader = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.addCleanup(leader.close)
        self.addCleanup(leader.shutdown, socket.SHUT_RDWR)  # ends the wait for a connection

        def reset_all():
            while True:
                try:
                    connection, _ = leader.accept()
                except OSError:
                    return
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.close()

        support.in_background(reset_all)
        store = StoreOfOneLeader(f"127.0.0.1:{leader.getsockname()[1]}")
        self.addCleanup(store.server_close)
        self.addCleanup(store.shutdown)
        callers = free_address()
        process = self.begin(callers, store.address)
        answers = []
        began_at = time.monotonic()
        threads = [support.in_background(hand_in, callers, number, answers) for number in range(8)]
        for thread in threads:
            thread.join()
        seconds = time.monotonic() - began_at
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=LIMIT_S)
        lines = [json.loads(line) for line in output.splitlines() if b"forward_failed" in line]
        self.assertGreater(len(lines), 0)
        self.assertLessEqual(len(lines), seconds + 1)
        self.assertGreater(sum(line["left_out"] for line in lines), 0)

    def test_requests_that_arrive_while_a_draining_process_is_suspended_are_answered(self):
        """Guards against requests on kept connections that are closed unread: the time of the drain
        runs out while the process is suspended."""
        for wakes_after_s in (DRAIN_S + 0.5, STOPS_BY_S + 0.2):
            with self.subTest(wakes_after_s=wakes_after_s):
                callers = free_address()
                process = self.begin(callers)
                kept = [http.client.HTTPConnection(callers, timeout=LIMIT_S) for _ in range(6)]
                for connection in kept:
                    self.addCleanup(connection.close)
                    connection.request("GET", f"/q/{1:016x}", headers={"Host": "queue.example",
                                                                       "Request-Deadline": "200"})
                    connection.getresponse().read()
                process.send_signal(signal.SIGTERM)
                stopped_at = time.monotonic()
                time.sleep(SUSPENDED_AFTER_S)
                process.send_signal(signal.SIGSTOP)
                for connection in kept:
                    connection.request("GET", f"/q/{2:016x}", headers={"Host": "queue.example"})
                time.sleep(stopped_at + wakes_after_s - time.monotonic())
                process.send_signal(signal.SIGCONT)
                self.assertEqual([connection.getresponse().status for connection in kept],
                                 [503] * len(kept))
                self.assertEqual(process.wait(LIMIT_S), 0)


if __name__ == "__main__":
    support.main()
