"""Deployments whose bounds differ from the defaults: half and double those of a large one."""

from __future__ import annotations

import unittest
from dataclasses import fields

from chivefall.batch import (
    ApiKey,
    BatchTiming,
    ClientAccount,
    JobState,
    Resources,
    StepSpec,
)
from chivefall.config import PlatformBounds, Timing, parse_settings
from chivefall.errors import ConfigError
from chivefall.model import AccountId
from tests.batch.deployment import ACCOUNT, NORMAL, URGENT, Deployment

LARGE = PlatformBounds(6000, 5000, 200, 2700, 600, 5000, 120, 3)
TIMING = Timing(leader_lease=1.5, leader_renewal=0.4, store_timeout=1.0)
WHOLE_WORKER = StepSpec(1, Resources(1000, 1000, 8), 60.0)
TWO_WORKERS = StepSpec(2, Resources(1000, 1000, 8), 60.0)


def scaled(scale: float) -> PlatformBounds:
    """Return the bounds of the large deployment, multiplied."""
    return PlatformBounds(
        **{item.name: getattr(LARGE, item.name) * scale for item in fields(LARGE)}
    )


class HalfBounds(unittest.TestCase):
    scale = 0.5

    def deploy(self, instances: int = 1) -> Deployment:
        """Return a deployment whose workers keep to its bounds."""
        bounds = scaled(self.scale)
        sut = Deployment(instances, workers=2, timing=TIMING, bounds=bounds)
        for worker in sut.workers.workers.values():
            worker.max_lease = bounds.max_run_lease_ms / 1000
            worker.stop_seconds = bounds.stop_grace_ms / 1000
            worker.run_seconds = 30.0
        return sut

    def lapses(self, sut: Deployment) -> int:
        return sum(len(worker.lapses) for worker in sut.workers.workers.values())

    def test_runs_outlast_a_new_leader(self) -> None:
        """Guards against runs that end because the leader was replaced."""
        sut = self.deploy(instances=2)
        sut.submit("00aa", TWO_WORKERS)
        sut.run(3.0)
        leader = sut.leader
        leader.kill()
        sut.run(40.0)
        running = next(item for item in sut.instances if item is not leader)
        self.assertIs(sut.state_of("00aa", instance=running), JobState.COMPLETED)
        self.assertEqual(self.lapses(sut), 0)

    def test_unreachable_worker(self) -> None:
        """Guards against a second run before the worker's leases end, and a long wait after."""
        sut = self.deploy()
        sut.submit("00aa", WHOLE_WORKER)
        sut.run(2.0)
        name = next(name for name in ("w0", "w1") if sut.worker(name).running)
        sut.instances[0].client.unreachable.add(name)
        cut_at = sut.clock.now()
        sut.run(12.0)
        worker = sut.worker(name)
        self.assertEqual(len(worker.lapses), 1)
        starts = sorted(at for rows in sut.workers.starts_of("00aa").values() for at, _ in rows)
        self.assertEqual(len(starts), 2)
        self.assertGreaterEqual(starts[1], worker.lapses[0])
        self.assertLess(starts[1], cut_at + sut.bounds.max_run_lease_ms / 1000 + 1.5)

    def test_guaranteed_start(self) -> None:
        """Guards against work within a guarantee that starts after its time limit.

        Urgent work of another account, which has no guarantee, holds all workers.
        """
        other = ClientAccount(AccountId("other"), frozenset({ApiKey("key-2")}), 0)
        sut = self.deploy()
        sut.set_catalog(2, (URGENT, NORMAL), (ACCOUNT, other))
        sut.run(0.5)
        sut.submit("00aa", TWO_WORKERS, queue=URGENT, key=ApiKey("key-2"))
        sut.run(1.5)
        sut.submit("00bb", TWO_WORKERS, queue=URGENT)
        sut.run(sut.bounds.guaranteed_start_ms / 1000)
        self.assertEqual(sum(map(len, sut.workers.starts_of("00bb").values())), 2)

    def test_stop_is_confirmed_within_its_bound(self) -> None:
        """Guards against resources that stay allocated long after a stop, or are free too early."""
        sut = self.deploy()
        sut.submit("00aa", TWO_WORKERS)
        sut.run(2.0)
        sut.submit("00bb", WHOLE_WORKER, queue=URGENT)
        sut.run(sut.bounds.stop_grace_ms / 1000 + 0.3)
        starts = [at for rows in sut.workers.starts_of("00bb").values() for at, _ in rows]
        self.assertEqual(len(starts), 1)
        for worker in sut.workers.workers.values():
            self.assertLessEqual(worker.peak_usage.accelerators, 8)

    def test_catalog_is_confirmed_within_the_time_for_revoked_keys(self) -> None:
        """Guards against deciding on a catalog from which a key was withdrawn long ago."""
        sut = self.deploy()
        instance = sut.instances[0]
        catalog = instance.application.catalog
        sut.run(10.0)
        self.assertTrue(catalog.is_fresh(sut.clock.now()))
        instance.store.down = True
        sut.run(0.8 * sut.bounds.key_revocation_ms / 1000)
        self.assertFalse(catalog.is_fresh(sut.clock.now()))

    def test_status_is_kept(self) -> None:
        """Guards against final jobs that are forgotten too early, or kept for good."""
        sut = self.deploy()
        for worker in sut.workers.workers.values():
            worker.run_seconds = 0.5
        sut.submit("00aa", WHOLE_WORKER)
        sut.run(3.0)
        sut.clock.advance(sut.bounds.status_retention)
        sut.run(3.0)
        self.assertIs(sut.state_of("00aa"), JobState.COMPLETED)
        sut.clock.advance(sut.bounds.status_retention)
        sut.run(3.0)
        self.assertNotIn("00aa", sut.leader.application.scheduler.jobs)


class LargeBounds(HalfBounds):
    scale = 1.0


class DoubleBounds(HalfBounds):
    scale = 2.0


class Derivation(unittest.TestCase):
    def test_leases_stay_within_the_bound(self) -> None:
        """Guards against leases that workers shorten without the leader's knowledge."""
        for milliseconds in (2000, 4000, 6000, 10_000, 60_000):
            timing = BatchTiming.from_bounds(PlatformBounds(max_run_lease_ms=milliseconds))
            self.assertLess(timing.run_lease, milliseconds / 1000)
            self.assertLessEqual(timing.max_lease, milliseconds / 1000)
            self.assertGreater(timing.orphan_timeout, timing.run_lease / 0.98 + 5.0)
            self.assertLessEqual(3 * timing.poll_wait, timing.run_lease)
            self.assertLessEqual(timing.poll_wait, timing.max_poll_wait)
            self.assertLessEqual(3 * timing.max_poll_wait, timing.run_lease)

    def test_three_starts_fit_into_the_wait_of_a_gang(self) -> None:
        """Guards against gangs that give up before a lost start is repeated."""
        for milliseconds in (1500, 3000, 5000, 20_000):
            timing = BatchTiming.from_bounds(PlatformBounds(gang_wait_ms=milliseconds))
            self.assertLess(3 * timing.start_timeout, milliseconds / 1000)

    def test_bounds_that_are_too_short(self) -> None:
        """Guards against a process that starts although it cannot keep its promises."""
        for name in ("max_run_lease_ms", "gang_wait_ms", "key_revocation_ms"):
            with self.subTest(name), self.assertRaises(ConfigError) as caught:
                BatchTiming.from_bounds(PlatformBounds(**{name: 500.0}))
            self.assertIn(name, str(caught.exception))

    def test_settings(self) -> None:
        """Guards against bounds that are misspelled, negative or of another type."""
        template = (
            '{instance: "i", region: "r", failure_domain: "d", listen: "h:1", peer_listen: "h:2",'
            ' store: "h:3", batch: {ready_listen: "h:4", metrics_listen: "h:5", bounds: {%s}}}'
        )
        cfg = parse_settings(template % "max_run_lease_ms: 4000, remote_slowdown: 2.5,")
        self.assertEqual(cfg.batch.bounds, PlatformBounds(4000.0, remote_slowdown=2.5))
        self.assertEqual(parse_settings(template % "").batch.bounds, PlatformBounds())
        with self.assertRaises(ConfigError):
            parse_settings(template % "max_run_lease_ms: 900")
        for text in ("max_lease: 5", "gang_wait_ms: -1", "gang_wait_ms: Infinity", "status: 1"):
            with self.subTest(text), self.assertRaises(ConfigError):
                parse_settings(template % text)


if __name__ == "__main__":
    unittest.main()
