"""Races between operators, and accepted changes in force. Invariant 11."""

import copy
import threading
import time

import support
from keys_test import CutFleet
from support import ProcessTest, metric, small_fleet, wait_until

ROUNDS = 20
REVISION = "ibishinge_configuration_revision"


def current_revision(fleet):
    status, _, answer = fleet.operators("GET", "/v1/catalogue")
    if status != 200:
        raise ValueError(f"catalogue not read: {status}")
    return answer["revision"]


def with_limit(fleet, limit):
    catalogue = copy.deepcopy(fleet.catalogue)
    catalogue["teams"][0]["upper_limit"] = limit
    return catalogue


class Sampler:
    """Reads the revision metric of all entry processes all the time, also across restarts."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.samples = {name: [] for name in fleet.names("entry")}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopping.is_set():
            for name, values in self.samples.items():
                try:
                    value = metric(self.fleet, name, REVISION)
                except OSError:
                    continue
                if value is not None:
                    values.append(value)
            time.sleep(0.01)

    def stop(self):
        self.stopping.set()
        self.thread.join()
        return self.samples


class CatalogueTest(ProcessTest):
    """Guards against lost edits, changes that do not arrive, and reverted configuration."""

    def test_race_has_one_winner(self):
        with small_fleet() as fleet:
            accepted = []
            for number in range(ROUNDS):
                base = current_revision(fleet)
                answers = [None, None]
                start = threading.Barrier(2)

                def put(side, base=base, number=number, answers=answers, start=start):
                    catalogue = with_limit(fleet, 100 + 2 * number + side)
                    start.wait()
                    answers[side] = fleet.operators("PUT", "/v1/catalogue", catalogue,
                                                    {"If-Match": str(base)}, f"entry-{side}")

                threads = [support.in_background(put, side) for side in range(2)]
                for thread in threads:
                    thread.join()
                self.assertEqual(sorted(answer[0] for answer in answers), [200, 409], answers)
                winner = next(side for side in range(2) if answers[side][0] == 200)
                accepted.append(100 + 2 * number + winner)
            stored = [support.json.loads(change["value"])
                      for change in fleet.admin("store", "/admin/history")["changes"]
                      if change["key"] == "config/catalogue"]
            limits = [record["catalogue"]["teams"][0]["upper_limit"] for record in stored]
            self.assertEqual(limits[1:], accepted)
            _, _, history = fleet.operators("GET", "/v1/catalogue/history")
            self.assertEqual(len(history["versions"]), ROUNDS + 1)

    def test_change_is_in_force_everywhere(self):
        """Requests sent later than the promised time are decided by the new catalogue."""
        for name, is_cut, is_frozen in (("connected", False, False), ("cut off", True, False),
                                        ("frozen and resumed", False, True)):
            with self.subTest(name), CutFleet() as fleet:
                if is_cut:
                    fleet.relay.cut()
                if is_frozen:
                    fleet.processes["entry-1"].freeze()
                catalogue = copy.deepcopy(fleet.catalogue)
                catalogue["services"][0]["open_to"].remove("birch")
                answer = fleet.apply_catalogue(catalogue, current_revision(fleet))
                accepted = time.monotonic()
                time.sleep(max(0, accepted + support.PROMISED_S - time.monotonic()))
                fleet.processes["entry-1"].resume()
                for entry in fleet.names("entry"):
                    status, _, body = support.ask(fleet, entry, f"late-{entry}", "birch",
                                                  key=fleet.keys["birch"]["key"])
                    # A process that has just been resumed may say that it is not current.
                    allowed = (401, 503) if is_frozen and entry == "entry-1" else (401,)
                    self.assertIn(status, allowed, body)
                    if not is_frozen or entry != "entry-1":
                        self.assertGreaterEqual(metric(fleet, entry, REVISION), answer["revision"])
                wait_until(lambda fleet=fleet, answer=answer:
                           metric(fleet, "entry-1", REVISION) >= answer["revision"],
                           "entry-1 current", support.WAIT_S)

    def test_revision_never_goes_down(self):
        """Fails if a process shows an older configuration after a restart or in an outage."""
        with small_fleet() as fleet:
            sampler = Sampler(fleet)
            try:
                self.change_under_faults(fleet)
            finally:
                samples = sampler.stop()
            for name, values in samples.items():
                self.assertGreater(len(values), 10, name)
                self.assertEqual(values, sorted(values), name)

    def change_under_faults(self, fleet):
        for number, name in enumerate(fleet.names("entry")):
            answer = fleet.apply_catalogue(with_limit(fleet, 50 + number), current_revision(fleet))
            fleet.processes[name].kill() if number % 2 == 0 else fleet.processes[name].stop()
            if number == 1:
                fleet.admin("store", "/admin/fault", {"mode": "down", "close": True})
            fleet.processes[name].start()
            for entry in fleet.names("entry"):
                wait_until(lambda entry=entry, answer=answer:
                           (metric(fleet, entry, REVISION) or 0) >= answer["revision"],
                           f"{entry} at {answer['revision']}", support.WAIT_S)
            fleet.admin("store", "/admin/fault", {"mode": "none"})
            wait_until(lambda: current_revision(fleet) > 0, "store back", support.WAIT_S)


if __name__ == "__main__":
    support.main()
