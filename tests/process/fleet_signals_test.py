"""Signals to `ibishinge-fleet` that come in series."""

import signal
import socket
import subprocess
import time
import unittest

import support

# A stop takes 3.5 s; the others are only bounds against a test that never ends.
STILL_DRAINING_S = 1.5
LIMIT_S = 30


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class FleetSignalsTest(unittest.TestCase):
    """Guards against a process that ends at once, with the requests that it has read, when a signal
    reaches it while its main thread does not wait for one."""

    def begin(self):
        """Starts a process; none of its outside systems is there."""
        ready = free_address()
        words = [support.BINARIES / "ibishinge-fleet", "--name=one",
                 f"--callers-listen={free_address()}", f"--ready-listen={ready}",
                 f"--peers-listen={free_address()}", f"--store={free_address()}",
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


if __name__ == "__main__":
    support.main()
