"""Targets that leave, die, stall, fail, cut, answer late or wrongly. Invariants 6, 8 and 9."""

import support
from support import Load, ProcessTest, audit_load, small_fleet

TARGET = "target-work-0"


class TargetFaultsTest(ProcessTest):
    """Guards against partial or exchanged answers, repeated work, and work for leaving targets."""

    CASES = (
        ("stall", {"mode": "stall"}),
        ("fail", {"mode": "fail"}),
        ("cut", {"mode": "cut"}),
        ("late", {"mode": "late", "delay_ms": 700}),
        ("late beyond deadlines", {"mode": "late", "delay_ms": 3500}),
        ("wrong length", {"mode": "wrong_length"}),
        ("close", {"mode": "close"}),
    )

    def test_answers_are_whole_or_clear_errors(self):
        for number, (name, fault) in enumerate(self.CASES):
            with (self.subTest(name), small_fleet(max_run_ms=5000) as fleet,
                  Load(fleet, seed=support.SEED + number, deadline_ms=3000) as load):
                load.wait_answers(50)
                fleet.admin(TARGET, "/admin/fault", fault)
                load.wait_answers(100)
                fleet.admin(TARGET, "/admin/fault", {"mode": "none"})
                self.check(audit_load(fleet, load), least_whole=50)

    def test_killed_target(self):
        with small_fleet() as fleet, Load(fleet) as load:
            load.wait_answers(50)
            fleet.processes[TARGET].kill()
            load.wait_answers(100)
            fleet.processes[TARGET].start()
            self.check(audit_load(fleet, load), least_whole=50)

    LEAVING = (
        ("list agrees", None, False),
        ("list lags", 600_000, False),
        ("list lags, store down", 600_000, True),
    )

    def test_leaving_target_starts_nothing(self):
        """Fails if one entry process goes on sending work to a target that has said it leaves."""
        for name, lag_ms, store_down in self.LEAVING:
            with (self.subTest(name), small_fleet() as fleet,
                  Load(fleet, seconds=14, non_idempotent=0.0 if store_down else 0.5) as load):
                load.wait_answers(50)
                if lag_ms is None:
                    for host in fleet.hosts:
                        host["state"] = "leaving" if host["id"] == f"host-{TARGET}" else "live"
                    fleet.publish_hosts()
                if store_down:
                    fleet.admin("store", "/admin/fault", {"mode": "down"})
                said_ms = support.wall_ms()
                fleet.admin(TARGET, "/admin/fault", {"mode": "leave"})
                last = said_ms + 1000 * support.PROMISED_S
                load.wait_answers(100, lambda line, last=last: line["sent_at_ms"] > last
                                  and line["result"] == "whole")
                fleet.admin("store", "/admin/fault", {"mode": "none"})
                result = audit_load(fleet, load)
                logs = support.target_logs(fleet)
                late = [run for run in logs[TARGET]["runs"] if run["start_ms"] > last]
                others = [run for target, log in logs.items() if target != TARGET
                          for run in log["runs"] if run["start_ms"] > last]
                self.check(result, least_whole=50)
                self.assertEqual(late, [])
                self.assertGreater(len(others), 50, "no load after the bound: nothing was tested")


if __name__ == "__main__":
    support.main()
