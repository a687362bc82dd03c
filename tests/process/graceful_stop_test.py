"""Graceful stop of each entry process in turn, and of a target, under load. Invariant 10."""

import support
from support import Load, ProcessTest, audit_load, small_fleet, wait_until


class GracefulStopTest(ProcessTest):
    """Guards against planned stops that cut requests or lose their allowance."""

    def test_each_entry_process_in_turn(self):
        """Callers of a stopped process may see refused connections, and nothing else.

        The callers choose among ready processes, as behind a load balancer; without one, a stop
        under load lasts until --drain-limit-ms.
        """
        with small_fleet(run_ms=100) as fleet, Load(fleet, seconds=30, balance=True) as load:
            load.wait_answers(50)
            for name in fleet.names("entry"):
                self.assertEqual(fleet.processes[name].stop(), 0, name)
                self.assertIsNone(load.child.poll(), f"the load ended before {name} had stopped")
                fleet.processes[name].start()
                wait_until(lambda name=name:
                           support.http("GET", fleet.url(name, "/readyz"))[0] == 200,
                           f"{name} ready", support.WAIT_S)
            self.check(audit_load(fleet, load, refused=fleet.names("entry")), least_whole=100)

    def test_callers_that_still_come(self):
        """Without a balancer, callers who come while the process stops get a clear refusal.

        Fails if the process closes its listening socket while requests arrive.
        """
        with small_fleet(run_ms=100) as fleet, Load(fleet, seconds=12) as load:
            load.wait_answers(50)
            self.assertEqual(fleet.processes["entry-0"].stop(), 0)
            fleet.processes["entry-0"].start()
            self.check(audit_load(fleet, load, refused=("entry-0",)), least_whole=100)

    def test_target(self):
        """Its running requests end whole; rejected ones are not run there."""
        with small_fleet(run_ms=100) as fleet, Load(fleet) as load:
            load.wait_answers(50)
            self.assertEqual(fleet.processes["target-work-0"].stop(), 0)
            load.wait_answers(50)
            fleet.processes["target-work-0"].start()
            result = audit_load(fleet, load)
            self.check(result, least_whole=50)
            failed = [line for line in load.lines() if line["result"] in ("target_failed", "cut")]
            self.assertEqual(failed, [])

    def test_idle_process_gives_its_grants_back(self):
        """Fails if a stopped process leaves grants reserved."""
        with small_fleet() as fleet:
            self.assertEqual(fleet.processes["entry-1"].stop(), 0)
            last = {}
            for change in fleet.admin("store", "/admin/history")["changes"]:
                last[change["key"]] = change["value"]
            records = {key: support.json.loads(value)["holders"] for key, value in last.items()
                       if key.startswith("allowance/")}
            # "*open*" stands for work on open services without a key.
            teams = [team["name"] for team in fleet.catalogue["teams"]] + ["*open*"]
            self.assertEqual(set(records), {f"allowance/{team}" for team in teams})
            for key, holders in records.items():
                self.assertFalse([h for h in holders if fleet.address("entry-1") in h], key)


if __name__ == "__main__":
    support.main()
