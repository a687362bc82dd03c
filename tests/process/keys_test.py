"""Keys that are withdrawn, wrong or missing. Invariants 3 and 4."""

import copy
import time

import support
from relay import Relay
from support import Fleet, ProcessTest, small_catalogue, wait_until

PROBES = 20


class CutFleet(Fleet):
    """`entry-1` reaches the store by a relay, and its peers only if `peers` is set.

    Another peer secret makes every exchange with it fail in both directions.
    """

    def __init__(self, peers=True):
        super().__init__(support.BINARIES, entries=3, controls=0, targets_per_service=2, workers=0)
        self.catalogue = small_catalogue()
        self.peers = peers
        self.relay = None

    def launch_entry(self, name, number, store=None, peer_file=None):
        if name == "entry-1":
            self.relay = Relay(("127.0.0.1", self.ports["store"]["listen"]))
            store = self.relay.address
            if not self.peers:
                peer_file = self._secret_file("other-secret", "another-peer-secret")
        return super().launch_entry(name, number, store, peer_file)

    def close(self):
        super().close()
        if self.relay is not None:
            self.relay.cut()


def cut(fleet):
    fleet.relay.cut()


def freeze(fleet):
    fleet.processes["entry-1"].freeze()


def nothing(_fleet):
    """All processes are connected."""


class KeysTest(ProcessTest):
    """Guards against work accepted for a team whose key was not presented or is withdrawn."""

    WITHDRAWALS = (
        ("connected", True, nothing),
        ("cut off from the store", True, cut),
        ("cut off from the store and the peers", False, cut),
        ("frozen and resumed", True, freeze),
    )

    def withdraw(self, fleet, key):
        status, _, answer = fleet.operators("DELETE", f"/v1/keys/{key['id']}", entry="entry-0")
        self.assertEqual(status, 200, answer)
        return time.monotonic()

    def test_withdrawn_key_is_refused_everywhere(self):
        for name, peers, fault in self.WITHDRAWALS:
            with self.subTest(name), CutFleet(peers) as fleet:
                key = fleet.keys["amber"]
                for entry in fleet.names("entry"):
                    self.assertEqual(support.ask(fleet, entry, f"before-{entry}",
                                                 key=key["key"])[0], 200)
                fault(fleet)
                withdrawn = self.withdraw(fleet, key)
                # The promise is about requests sent from this time on.
                time.sleep(max(0, withdrawn + support.PROMISED_S - time.monotonic()))
                sent = support.wall_ms()
                waiting = support.in_background(self.ask_quietly, fleet, "entry-1", key["key"])
                fleet.processes["entry-1"].resume()
                for number in range(PROBES):
                    for entry in fleet.names("entry"):
                        status, _, body = support.ask(fleet, entry, f"after-{entry}-{number}",
                                                      key=key["key"])
                        allowed = (401, 503) if entry == "entry-1" else (401,)
                        self.assertIn(status, allowed, f"{entry}: {body}")
                    status, _, body = support.ask(fleet, "entry-0", f"other-{number}", "birch",
                                                  key=fleet.keys["birch"]["key"])
                    self.assertEqual(status, 200, body)
                waiting.join(support.WAIT_S)
                fleet.relay.restore()
                wait_until(lambda fleet=fleet, key=key: support.ask(
                    fleet, "entry-1", "restored", key=key["key"])[0] == 401,
                    "entry-1 current again", support.WAIT_S)
                late = [run for log in support.target_logs(fleet).values() for run in log["runs"]
                        if run["team"] == "amber" and run["start_ms"] > sent]
                self.assertEqual(late, [])
                self.check_logs(fleet)

    @staticmethod
    def ask_quietly(fleet, entry, key):
        try:
            support.ask(fleet, entry, "waiting", key=key, deadline_ms=10000)
        except OSError:
            pass

    def test_process_started_during_an_outage(self):
        """It takes keys from its peers; fails if it accepts a withdrawn one or none for ever."""
        with support.small_fleet() as fleet:
            self.withdraw(fleet, fleet.keys["amber"])
            fleet.processes["entry-2"].kill()
            fleet.admin("store", "/admin/fault", {"mode": "down", "close": True})
            fleet.processes["entry-2"].start()
            answers = set()

            def ready():
                answers.add(support.ask(fleet, "entry-2", f"a{len(answers)}-{time.monotonic_ns()}",
                                        key=fleet.keys["amber"]["key"])[0])
                return support.http("GET", fleet.url("entry-2", "/readyz"))[0] == 200

            wait_until(ready, "entry-2 ready in the outage", support.WAIT_S)
            answers.add(support.ask(fleet, "entry-2", "ready",
                                    key=fleet.keys["amber"]["key"])[0])
            self.assertLessEqual(answers, {401, 404, 503})
            self.assertIn(401, answers)
            # Grants need the store; the key itself is accepted.
            status, _, body = support.ask(fleet, "entry-2", "birch", "birch", deadline_ms=1000,
                                          key=fleet.keys["birch"]["key"])
            self.assertIn(status, (200, 429, 503), body)
            self.check_logs(fleet)

    def test_wrong_keys(self):
        with support.small_fleet() as fleet:
            amber, birch = fleet.keys["amber"]["key"], fleet.keys["birch"]["key"]
            cases = (
                ("own key", "amber", "work", amber, 200),
                ("key of another team", "amber", "work", birch, 401),
                ("no key", "amber", "work", None, 401),
                ("no such key", "amber", "work", "0" * len(amber), 401),
                ("shortened key", "amber", "work", amber[:-1], 401),
                ("no such team", "nobody", "work", amber, 401),
                ("open service, no key", "amber", "status", None, 200),
            )
            for entry in fleet.names("entry"):
                for number, (name, team, service, key, expected) in enumerate(cases):
                    with self.subTest(name, entry=entry):
                        status, _, body = support.ask(fleet, entry, f"{entry}-{number}", team,
                                                      service, key)
                        self.assertEqual(status, expected, body)
            self.check_removed_team(fleet, birch)
            self.check_logs(fleet)

    def check_removed_team(self, fleet, key):
        catalogue = copy.deepcopy(fleet.catalogue)
        catalogue["teams"] = [team for team in catalogue["teams"] if team["name"] != "birch"]
        for entry in catalogue["services"] + catalogue["queues"]:
            if entry["open_to"] != "all":
                entry["open_to"].remove("birch")
        _, _, current = fleet.operators("GET", "/v1/catalogue")
        fleet.apply_catalogue(catalogue, current["revision"])
        accepted = time.monotonic()
        time.sleep(max(0, accepted + support.PROMISED_S - time.monotonic()))
        for entry in fleet.names("entry"):
            status, _, body = support.ask(fleet, entry, f"removed-{entry}", "birch", key=key)
            self.assertEqual(status, 401, body)

    def check_logs(self, fleet):
        """No key, operators' token or peer secret may be found in a log or in the store."""
        secrets = [key["key"].split(".")[1] for key in fleet.keys.values()]
        secrets += [support.OPERATORS_TOKEN, support.PEER_SECRET]
        texts = {path.name: path.read_text(errors="replace")
                 for pattern in ("*.log", "*.runs.jsonl") for path in fleet.directory.glob(pattern)}
        texts["store"] = support.json.dumps(fleet.admin("store", "/admin/history"))
        self.assertIn("entry-0.log", texts)
        for name, text in texts.items():
            for secret in secrets:
                self.assertNotIn(secret, text, name)


if __name__ == "__main__":
    support.main()
