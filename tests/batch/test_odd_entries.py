"""Odd entries that other writers leave in the store, beside those of real workers."""

from __future__ import annotations

import json
import unittest
from unittest.mock import patch

from chivefall.batch import JobState, Resources, StepSpec
from chivefall.model import Accepted, WorkerId
from chivefall.store import BatchPart, batch_key, waiting_key
from chivefall.telemetry import LogEvent
from standins.odd_entries import DEEP, LONG_NUMBER, ODD_ENTRIES, entry_with, entry_with_raw
from standins.platform import worker_body
from standins.run_workers import make_worker_entry
from tests.batch.deployment import ACCOUNT, CATALOG_KEY, NORMAL, URGENT
from tests.batch.platform_deployment import PlatformDeployment

TASK = StepSpec(1, Resources(1000, 1000, 1), 2.0)


class LoggedEvents:
    """Records the events that the fleet and the scheduler log."""

    def __init__(self, test: unittest.TestCase) -> None:
        self.events: list[tuple[LogEvent, dict]] = []
        for module in ("_fleet", "_scheduler", "_catalog", "_mirror"):
            patcher = patch(
                f"chivefall.controllers.batch.{module}.log_event",
                lambda event, **fields: self.events.append((event, fields)),
            )
            patcher.start()
            test.addCleanup(patcher.stop)

    def of(self, event: LogEvent) -> list[dict]:
        return [fields for found, fields in self.events if found is event]


class OddWorkerEntries(unittest.TestCase):
    def test_each_odd_entry_beside_real_workers(self) -> None:
        """Guards against one undecodable entry that keeps the list of workers from loading."""
        for name, value in ODD_ENTRIES.items():
            with self.subTest(name):
                sut = PlatformDeployment(workers=2)
                sut.write("servers/odd", value)
                leader = sut.leader
                leader.application.leader.step_down("test")
                sut.run(6.0)
                self.assertIsInstance(sut.submit("00aa", TASK), Accepted)
                sut.run(4.0)
                self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
                self.assertNotIn("odd", sut.leader.application.fleet.fleet.workers)

    def test_all_odd_entries_at_once_while_watching(self) -> None:
        """Guards against repeated lists of all workers and against a log line for each report."""
        logged = LoggedEvents(self)
        sut = PlatformDeployment(workers=2)
        for number, value in enumerate(ODD_ENTRIES.values()):
            sut.write(f"servers/odd-{number}", value)
        sut.run(1.0)
        lists = []
        store = sut.leader.store
        original = store.list

        def count_list(prefix: str):
            lists.append(prefix)
            return original(prefix)

        store.list = count_list
        sut.submit("00aa", TASK)
        for _ in range(6):  # the heartbeats of real workers
            for name in ("w0", "w1"):
                sut.list_worker(sut.worker(name))
            sut.run(1.0)
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
        self.assertNotIn("servers/", lists)
        invalid = logged.of(LogEvent.WORKER_ENTRY_INVALID)
        self.assertEqual(len(invalid), len(ODD_ENTRIES))
        for fields in invalid:
            self.assertLessEqual(len(json.dumps(fields)), 700)
        self.assertFalse(logged.of(LogEvent.UNHANDLED_ERROR))

    def test_a_new_revision_is_logged_again(self) -> None:
        """Guards against a second fault of the same key that leaves no trace."""
        logged = LoggedEvents(self)
        sut = PlatformDeployment(workers=1)
        for value in (b"1", b"2"):
            sut.write("servers/odd", value)
            sut.run(1.0)
        self.assertEqual(len(logged.of(LogEvent.WORKER_ENTRY_INVALID)), 2)

    def test_a_corrected_entry_is_used(self) -> None:
        """Guards against ignoring a worker for good after one bad write."""
        sut = PlatformDeployment(workers=1)
        worker = sut.worker("w0")
        sut.write("servers/w0", b"{")
        sut.run(1.0)
        sut.list_worker(worker)
        sut.run(2.0)
        sut.submit("00aa", TASK)
        sut.run(4.0)
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)

    def test_entry_overwritten_while_a_task_runs(self) -> None:
        """Guards against a second run of a task whose worker's entry became unreadable."""
        sut = PlatformDeployment(workers=2)
        for name in ("w0", "w1"):
            sut.worker(name).run_seconds = 8.0
        sut.submit("00aa", TASK)
        sut.run(1.0)
        starts = sut.workers.starts_of("00aa")
        busy = next(name for name in ("w0", "w1") if sut.worker(name).running)
        sut.write(f"servers/{busy}", entry_with_raw("unknown", DEEP))
        sut.run(12.0)
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
        self.assertEqual(sut.workers.starts_of("00aa"), starts)

    def test_stale_entry_of_an_earlier_incarnation(self) -> None:
        """Guards against a second run of a task after a delayed write of an old entry."""
        sut = PlatformDeployment(workers=2)
        entry = make_worker_entry("w0", incarnation=50)
        sut.add_worker(entry)
        sut.delete("servers/w1")
        sut.run(2.0)
        sut.worker("w0").run_seconds = 8.0
        sut.submit("00aa", TASK)
        sut.run(1.0)
        self.assertTrue(sut.worker("w0").running)
        sut.list_worker(sut.worker("w1"))
        stale = {**worker_body(entry), "born": 7}
        sut.write("servers/w0", json.dumps(stale).encode())
        sut.run(12.0)
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
        self.assertEqual(sum(map(len, sut.workers.starts_of("00aa").values())), 1)

    def test_worker_whose_clock_stepped_back_between_two_lives(self) -> None:
        """Guards against ignoring a restarted worker because its start time is lower."""
        sut = PlatformDeployment(workers=1)
        sut.add_worker(make_worker_entry("w0", incarnation=50))
        sut.run(2.0)
        sut.worker("w0").run_seconds = 3.0
        sut.submit("00aa", TASK)
        sut.run(1.0)
        sut.add_worker(make_worker_entry("w0", incarnation=20))
        for _ in range(10):
            sut.run(1.5)
            sut.list_worker(sut.worker("w0"))
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)

    def test_odd_worker_ids(self) -> None:
        """Guards against ids that would break the headers of an order."""
        logged = LoggedEvents(self)
        sut = PlatformDeployment(workers=1)
        for name in ("", "a b", "a\r\nX-Fence-Token: 9", "a/b", "é", "x" * 300):
            sut.write(f"servers/{name}", entry_with())
        sut.run(2.0)
        self.assertEqual(set(sut.leader.application.fleet.fleet.workers), {WorkerId("w0")})
        self.assertEqual(len(logged.of(LogEvent.WORKER_ENTRY_INVALID)), 6)


class OddOperatorKeys(unittest.TestCase):
    def test_undecodable_catalog(self) -> None:
        """Guards against refusing all jobs, or stopping, because of one undecodable version."""
        for name, value in {
            "deep": b'{"version": 2, "unknown": ' + DEEP + b"}",
            "long number": b'{"version": ' + LONG_NUMBER + b"}",
            "negative": b'{"version": -2}',
            "wrong type": b"[]",
            "invalid UTF-8": b"\xff",
        }.items():
            with self.subTest(name):
                sut = PlatformDeployment(workers=1)
                sut.write(CATALOG_KEY, value)
                sut.run(6.0)
                self.assertIsInstance(sut.submit("00aa", TASK), Accepted)
                sut.run(4.0)
                self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
                sut.set_catalog(9, (URGENT, NORMAL), (ACCOUNT,))
                sut.run(1.0)
                self.assertEqual(sut.instances[0].application.catalog.catalog.version, 9)

    def test_undecodable_catalog_before_any_other(self) -> None:
        """Guards against accepting work on an empty catalog."""
        sut = PlatformDeployment(workers=1)
        sut.write(CATALOG_KEY, DEEP)
        instance = sut.add_instance("late")
        sut.run(4.0)
        self.assertFalse(instance.application.is_ready(sut.clock.now()))

    def test_other_operator_keys(self) -> None:
        """Guards against an exception for odd values below the operators' prefix."""
        logged = LoggedEvents(self)
        sut = PlatformDeployment(workers=1)
        for key in (
            "op/evacuate/",
            "op/evacuate/a/b",
            "op/wave/x",
            "op/",
            "op/evacuate/" + "z" * 180,
        ):
            sut.write(key, DEEP)
        sut.run(2.0)
        sut.submit("00aa", TASK)
        sut.run(4.0)
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
        self.assertFalse(logged.of(LogEvent.UNHANDLED_ERROR))


class OddRecords(unittest.TestCase):
    def records(self) -> dict[str, bytes]:
        """Return a spec, a progress record and other values, each odd in one way."""
        return {
            "deep": DEEP,
            "empty": b"",
            "state out of range": b'{"state": "running", "tasks": [[0,0,0,9,1,0,""]]}',
            "negative state": b'{"state": "running", "tasks": [[0,0,0,-1,1,0,""]]}',
            "unknown job state": b'{"state": "asleep", "tasks": []}',
            "long number": b'{"state": "running", "tasks": [[0,0,0,1,' + LONG_NUMBER + b',0,""]]}',
        }

    def test_odd_progress_of_one_job(self) -> None:
        """Guards against leaders that give up one after the other because of one record."""
        for name, value in self.records().items():
            with self.subTest(name):
                sut = PlatformDeployment(workers=2)
                sut.submit("00aa", TASK)
                sut.run(4.0)
                sut.write(batch_key("00aa", BatchPart.PROGRESS), value)
                sut.leader.application.leader.step_down("test")
                sut.run(6.0)
                epoch = sut.leader.application.leader.epoch
                sut.submit("00bb", TASK)
                sut.run(6.0)
                self.assertIs(sut.state_of("00bb"), JobState.COMPLETED)
                self.assertEqual(sut.leader.application.leader.epoch, epoch)

    def test_odd_submission(self) -> None:
        """Guards against a record of another writer that is read again in each check."""
        logged = LoggedEvents(self)
        sut = PlatformDeployment(workers=1)
        huge = b'{"job_id": "00cc", "queue": {}, "account": "", "submitted_at": 0, "spec": {}}'
        for name, value in (("00cc", huge), ("00dd", DEEP), ("00ee", b"")):
            sut.write(batch_key(name, BatchPart.SPEC), value)
            sut.write(waiting_key("normal", name), b"")
        sut.write(waiting_key("normal", "00ff"), b"")  # without a job
        sut.submit("00aa", TASK)
        sut.run(8.0)
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
        self.assertEqual(len(logged.of(LogEvent.BATCH_RECORD_INVALID)), 4)

    def test_submission_with_endless_steps(self) -> None:
        """Guards against a stored step count that exhausts the leader's memory."""
        sut = PlatformDeployment(workers=1)
        sut.submit("00aa", TASK)
        spec = sut.state.get(batch_key("00aa", BatchPart.SPEC)).value
        for name, old, new in (
            ("00b1", b'"count":1', b'"count":1000000000'),
            ("00b2", b'"count":1', b'"count":-1'),
            ("00b3", b'"after":[]', b'"after":[7]'),
            ("00b4", b'"repeat_count":0', b'"repeat_count":1000000000'),
        ):
            self.assertIn(old, spec)
            value = spec.replace(old, new).replace(b"00aa", name.encode())
            sut.write(batch_key(name, BatchPart.SPEC), value)
        sut.run(6.0)
        self.assertEqual(set(sut.leader.application.scheduler.jobs), {"00aa"})
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)


if __name__ == "__main__":
    unittest.main()
