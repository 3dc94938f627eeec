"""Releases after expired leases: no task runs again that one call would have shown to be done.

Load pattern: the path to workers is back shortly before their leases end, while the leader is
paused, out of connections, busy with a lost zone, new, or cut off from the store.
"""

from __future__ import annotations

import unittest
from unittest import mock

from chivefall.batch import JobState, Resources, StepSpec
from chivefall.controllers.batch._contact import MAX_RELEASE_DELAY_SECONDS
from chivefall.runtime import sleep
from chivefall.telemetry import LogEvent
from chivefall.workers import IncarnationMismatch, NoResponse, PollMode
from standins.run_workers import make_worker_entry
from tests.batch.deployment import Deployment
from tests.batch.test_contact import RESOURCES, SETTLE_SECONDS, W0, ContactTest

RUN_SECONDS = 2.0
REPLY_SECONDS = 0.04
ZONE_RUN_SECONDS = 3.0


class ReleaseTest(ContactTest):
    def lose_end(self) -> float:
        """Lose the response that lists the end, and return the time of the leases' end."""
        self.set_up_run(RUN_SECONDS)
        (run,) = self.sut.worker("w0").running.values()
        self.sut.run(run.started_at + RUN_SECONDS - 0.02 - self.sut.clock.now())
        self.client.unreachable.add(W0)
        self.run_until(lambda: self.session().failures, 3.0)
        self.assertEqual(len(self.sut.worker("w0").ends), 1)
        return self.session().leases_expired_at()

    def restore_path(self) -> None:
        self.client.unreachable.clear()
        self.client.reply_latency = REPLY_SECONDS

    def check_one_start(self) -> None:
        self.sut.run(SETTLE_SECONDS)
        self.assertEqual(self.starts(), 1)
        self.assertIs(self.sut.state_of("0a"), JobState.COMPLETED)

    def test_pause_of_the_leader(self) -> None:
        """Guards against a release after a pause, before any call was sent."""
        for seconds in (0.02, 0.1, 0.2):
            with self.subTest(seconds=seconds):
                expired_at = self.lose_end()
                self.sut.run(expired_at - seconds - self.sut.clock.now())
                self.restore_path()
                self.sut.clock._now += seconds + 0.4  # The process does not run.
                self.check_one_start()

    def test_calls_that_fail_for_local_reasons(self) -> None:
        """Guards against a release because this instance could not send a call."""
        expired_at = self.lose_end()
        renew = self.client.renew_leases

        async def renew_later(worker, *args, **options):
            if worker.worker_id == W0 and self.sut.clock.now() < expired_at + 0.5:
                return NoResponse("all connections are in use", sent=False, is_local=True)
            return await renew(worker, *args, **options)

        with mock.patch.object(self.client, "renew_leases", renew_later):
            self.restore_path()
            self.check_one_start()

    def test_calls_that_always_fail_for_local_reasons(self) -> None:
        """Guards against runs that are held for ever."""
        expired_at = self.lose_end()

        async def fail(*_args, **_options):
            return NoResponse("all connections are in use", sent=False, is_local=True)

        with mock.patch.object(self.client, "renew_leases", fail):
            self.sut.run(expired_at + MAX_RELEASE_DELAY_SECONDS - 0.1 - self.sut.clock.now())
            self.assertEqual(self.messages(LogEvent.RUN_RELEASED), [])
            self.sut.run(0.5)
            self.assertEqual(len(self.messages(LogEvent.RUN_RELEASED)), 1)

    def test_lost_zone(self) -> None:
        """Guards against tasks of many workers that run again, as the calls to them are paced."""
        for count in (20, 165, 300):
            with self.subTest(count=count):
                self.lines.clear()
                self.sut = Deployment(workers=count)
                workers = self.sut.workers.workers
                for worker in workers.values():
                    worker.run_seconds = ZONE_RUN_SECONDS
                step = StepSpec(count, Resources(32_000, 1000, 8), ZONE_RUN_SECONDS)
                self.sut.submit("0a", step)
                self.sut.run(1.5)
                self.client = self.sut.leader.client
                began_at = min(r.started_at for w in workers.values() for r in w.running.values())
                self.sut.run(began_at + ZONE_RUN_SECONDS - 0.02 - self.sut.clock.now())
                self.client.unreachable.update(workers)
                self.sut.run(3.0)
                sessions = self.sut.leader.application.fleet._sessions.values()
                expired_at = min(session.leases_expired_at() for session in sessions)
                self.sut.run(expired_at - 0.3 - self.sut.clock.now())
                self.restore_path()
                self.sut.run(SETTLE_SECONDS)
                self.assertEqual(self.messages(LogEvent.RUN_RELEASED), [])
                self.assertEqual(self.starts(), count)

    def test_new_leader(self) -> None:
        """Guards against a release after a takeover while a call would reach the worker."""
        for margin in (0.3, 0.1, 0.02):
            with self.subTest(margin=margin):
                self.sut = Deployment(instances=2, workers=1)
                self.sut.worker("w0").run_seconds = ZONE_RUN_SECONDS
                self.sut.submit("0a", StepSpec(1, RESOURCES, ZONE_RUN_SECONDS))
                self.sut.run(1.0)
                self.sut.add_worker(make_worker_entry("w1"))
                self.sut.run(0.3)
                for item in self.sut.instances:
                    item.client.unreachable.add(W0)
                self.sut.leader.kill()
                running = [item for item in self.sut.instances if not item.client.isolated]
                self.run_until(lambda running=running: running[0].leads, 20.0)
                fleet = running[0].application.fleet
                self.run_until(lambda fleet=fleet: fleet.is_loaded, 3.0)
                self.client = running[0].client
                self.sut.run(fleet._timing.orphan_timeout - margin)
                self.restore_path()
                self.sut.run(SETTLE_SECONDS)
                self.assertEqual(self.starts(), 1)

    def test_store_outage(self) -> None:
        """Guards against a release of runs whose worker was not asked while the store was away."""
        for outage in (15.6, 15.9, 16.2, 16.5):
            with self.subTest(outage=outage):
                self.set_up_run(11.0)
                self.client.reply_latency = REPLY_SECONDS
                # The lease of the leader pauses while the store is away.
                with mock.patch.object(self.sut.state, "_expire"):
                    self.sut.leader.store.down = True
                    self.sut.run(outage)
                    self.sut.instances[0].store.down = False
                    self.sut.run(SETTLE_SECONDS)
                self.assertEqual(self.starts(), 1)

    def test_success_that_is_heard_after_the_session(self) -> None:
        """Guards against a success that is dropped as its report was overtaken by a mismatch."""
        self.lose_end()
        renew, held = self.client.renew_leases, []

        async def overtake(worker, permission, deadline, ack, wait, mode=PollMode.ROUTINE):
            if worker.worker_id == W0 and held:
                return IncarnationMismatch()
            outcome = await renew(worker, permission, deadline, ack, wait, mode)
            if worker.worker_id == W0 and mode is PollMode.PATIENT:
                held.append(outcome)
                await sleep(self.sut.clock, 0.6)
            return outcome

        with mock.patch.object(self.client, "renew_leases", overtake):
            self.run_until(lambda: self.session().contact.calls_under_way == 0, 1.0)
            self.restore_path()
            self.run_until(lambda: held, 3.0)
            self.sut.run(1.0)
            unused = self.messages(LogEvent.REPORT_NOT_USED)
            self.assertEqual(unused[0]["ends"], ["0a.0.0.0#1"])
            # The second run, which began before the report came, would take two seconds.
            self.assertIs(self.sut.state_of("0a"), JobState.COMPLETED)


if __name__ == "__main__":
    unittest.main()
