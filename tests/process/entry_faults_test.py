"""Entry processes killed, frozen and resumed under load. Invariants 6, 7 and 8."""

import support
from support import Load, ProcessTest, audit_load, small_fleet, wait_until


def kill_and_restart(fleet, load):
    fleet.processes["entry-1"].kill()
    load.wait_answers(50)
    fleet.processes["entry-1"].start()
    wait_until(lambda: support.http("GET", fleet.url("entry-1", "/readyz"))[0] == 200,
               "entry-1 ready", support.WAIT_S)


def freeze_and_resume(fleet, load):
    """Frozen until callers have given up on it and retried elsewhere."""
    address = fleet.address("entry-1")
    fleet.processes["entry-1"].freeze()
    load.wait_answers(5, lambda line: line["entry"] == address and line["result"] == "cut")
    fleet.processes["entry-1"].resume()


def freeze_one_and_kill_another(fleet, load):
    fleet.processes["entry-1"].freeze()
    fleet.processes["entry-2"].kill()
    load.wait_answers(50)
    fleet.processes["entry-1"].resume()
    fleet.processes["entry-2"].start()


class EntryFaultsTest(ProcessTest):
    """Guards against work run twice, false "not run" and partial answers when processes fail."""

    CASES = (
        ("killed", kill_and_restart, ("entry-1",)),
        ("frozen", freeze_and_resume, ("entry-1",)),
        ("frozen and another killed", freeze_one_and_kill_another, ("entry-1", "entry-2")),
    )

    def test_promises_hold(self):
        for number, (name, fault, disturbed) in enumerate(self.CASES):
            with (self.subTest(name), small_fleet() as fleet,
                  Load(fleet, seed=support.SEED + number, deadline_ms=3000) as load):
                load.wait_answers(50)
                fault(fleet, load)
                self.check(audit_load(fleet, load, disturbed), least_whole=50)
                self.store_calls(fleet)

    def test_retry_meets_the_attempt_of_a_frozen_process(self):
        """A frozen process holds requests; the same ids are retried and answered elsewhere.

        Fails if a resumed process runs what another one has run or called "not run".
        """
        with small_fleet(run_ms=200) as fleet:
            key = fleet.keys["amber"]["key"]
            fleet.processes["entry-1"].freeze()
            first = [support.in_background(self.ask_and_forget, fleet, f"same-{n}", key)
                     for n in range(20)]
            answers = [support.ask(fleet, "entry-0", f"same-{n}", key=key, idempotent=False)
                       for n in range(20)]
            fleet.processes["entry-1"].resume()
            for thread in first:
                thread.join(support.WAIT_S)
            for status, headers, body in answers:
                self.assertEqual((status, headers["Ibishinge-Run"]), (200, "ran"), body)
            runs = support.audit.runs_by_request(support.target_logs(fleet))
            self.assertEqual({n: len(group) for n, group in runs.items()},
                             {f"same-{n}": 1 for n in range(20)})

    @staticmethod
    def ask_and_forget(fleet, identifier, key):
        try:
            support.ask(fleet, "entry-1", identifier, key=key, idempotent=False, deadline_ms=30000)
        except OSError:
            pass


if __name__ == "__main__":
    support.main()
