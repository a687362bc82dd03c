"""The store down, slow, late and losing responses under load. Invariants 5 to 8."""

import support
from support import Load, ProcessTest, audit_load, small_fleet


class StoreFaultsTest(ProcessTest):
    """Guards against promises that hold only while the store answers."""

    CASES = (
        ("down", {"mode": "down"}),
        ("down, connections closed", {"mode": "down", "close": True}),
        ("slow", {"mode": "slow", "delay_ms": 400}),
        ("late", {"mode": "late", "delay_ms": 400}),
        ("lost responses", {"mode": "lost_response"}),
    )

    def test_promises_hold(self):
        for number, (name, fault) in enumerate(self.CASES):
            with (self.subTest(name), small_fleet() as fleet,
                  Load(fleet, seed=support.SEED + number) as load):
                load.wait_answers(50)
                fleet.admin("store", "/admin/fault", fault)
                # Work that needs no store goes on: these are first attempts sent after the fault.
                since = support.wall_ms()
                load.wait_answers(30, lambda line: line["idempotent"] and line["attempt"] == 1
                                  and line["sent_at_ms"] > since and line["result"] == "whole")
                idempotent = [line for line in load.lines()
                              if line["idempotent"] and line["sent_at_ms"] > since]
                fleet.admin("store", "/admin/fault", {"mode": "none"})
                self.assertGreaterEqual(len([line for line in idempotent
                                             if line["result"] == "whole"]), 30)
                # Non-idempotent work is served again after the fault.
                after = support.wall_ms()
                load.wait_answers(10, lambda line: not line["idempotent"]
                                  and line["sent_at_ms"] > after and line["result"] == "whole")
                self.check(audit_load(fleet, load), least_whole=50)
                self.store_calls(fleet)

    def test_kept_grants_are_used_during_an_outage(self):
        """Fails if work without need of the store waits for it or is refused."""
        with small_fleet() as fleet:
            key = fleet.keys["amber"]["key"]
            for entry in fleet.names("entry"):
                # Once a request has run there, the process holds a grant.
                status, _, body = support.ask(fleet, entry, f"before-{entry}", key=key)
                self.assertEqual(status, 200, body)
            fleet.admin("store", "/admin/fault", {"mode": "down"})
            give_up = support.time.monotonic() + support.PROMISED_S
            number = 0
            while support.time.monotonic() < give_up:
                for entry in fleet.names("entry"):
                    number += 1
                    status, _, body = support.ask(fleet, entry, f"id-{number}", key=key)
                    self.assertEqual(status, 200, body)
                status, _, body = support.ask(fleet, "entry-0", f"open-{number}", service="status")
                self.assertEqual(status, 200, body)
            status, headers, _ = support.ask(fleet, "entry-0", "once", key=key, idempotent=False,
                                             deadline_ms=1000)
            self.assertEqual(status, 503)
            # Neither a claim nor a release can be written, but this attempt certainly did not run.
            self.assertEqual(headers["Ibishinge-Run"], "attempt_not_run")


if __name__ == "__main__":
    support.main()
