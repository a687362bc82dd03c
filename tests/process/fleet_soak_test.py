"""Short seeded soaks of `ibishinge-fleet` under faults. `fleet_soak.py` plays longer ones."""

import subprocess
import sys
import unittest
from pathlib import Path

import support

SOAK = Path(__file__).resolve().parent / "fleet_soak.py"
LIMIT_S = 240  # only a bound against a soak that never ends


class FleetSoakTest(unittest.TestCase):
    """Guards against broken promises to callers when faults of several kinds overlap."""

    def soak(self, seeds, seconds, faults=None, kind=None):
        """Plays the seeds side by side."""
        plays = []
        for seed in seeds:
            words = [sys.executable, str(SOAK), "--binaries", str(support.BINARIES), "--seeds",
                     str(seed), "--seconds", str(seconds)]
            words += ["--faults", ",".join(faults)] if faults else []
            words += [f"--{kind}"] if kind else []
            plays.append(subprocess.Popen(words, stdout=subprocess.PIPE, text=True))
        for play in plays:
            output, _ = play.communicate(timeout=LIMIT_S)
            self.assertEqual(play.returncode, 0, output)

    def test_job_stored_without_an_answer_is_not_rejected(self):
        """Guards against a rejection of a job whose record was stored just before an outage: the
        request was sent again on another connection, and the outcome of the copy was believed."""
        self.soak([1, 2, 4], 20, ["store_answer_lost_then_busy", "leader_killed"])

    def test_promises_hold_when_links_fail_and_processes_are_suspended(self):
        """Guards against tasks of cancelled jobs that start, and requests that are closed unread
        by a process that wakes."""
        self.soak([36, 40], 30, ["peers_cut", "peer_answers_late", "peer_answers_lost",
                                 "process_frozen", "draining_process_frozen",
                                 "two_processes_signalled"])

    def test_nothing_starts_in_an_evacuated_data_centre(self):
        """Guards against starts past the bound while coordinators change, are suspended or cannot
        read the request."""
        self.soak([5, 6], 30, ["data_centre_evacuated", "data_centre_evacuated", "leader_killed",
                               "leader_cut_from_store", "leader_frozen", "store_busy",
                               "worker_crashes"])

    def test_promises_hold_under_all_faults(self):
        self.soak([11, 12], 25)

    def test_promises_hold_on_weak_hosts(self):
        """Guards against a coordinator that never serves since its link or its processor is weak."""
        self.soak([10], 15, ["weak_elected", "leader_killed", "link_narrowed", "processor_shared"],
                  kind="weak")

    def test_repeated_jobs_that_are_behind_are_completed(self):
        """Guards against occurrences that run twice or never when coordinators change while most
        of a job's occurrences are late."""
        self.soak([21, 22], 20, ["leader_killed", "all_processes_killed", "store_busy",
                                 "store_answers_lost", "leader_frozen", "worker_crashes"],
                  kind="timed")


if __name__ == "__main__":
    support.main()
