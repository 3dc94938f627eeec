"""Orders to workers are sent only under the leadership under which they were decided."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.batch import (
    JobState,
    Resources,
    StepSpec,
    StopCause,
    StopReason,
)
from chivefall.workers import (
    Acknowledgement,
    NoResponse,
    OrderOutcome,
    OrderPermission,
    PollMode,
    RenewalOutcome,
    RunClient,
    RunOrder,
)
from tests.batch.deployment import Deployment, Instance

if TYPE_CHECKING:
    from chivefall.batch import RunId, WorkerEntry

TASK = StepSpec(1, Resources(4000, 16_000, 2), 2.0)
GANG = StepSpec(4, Resources(4000, 16_000, 8), 2.0, gang=True)


@dataclass(frozen=True)
class SentOrder:
    """An order as it reached the client, with the leadership at that time."""

    at: float
    kind: str
    epoch: int
    valid: bool
    current_epoch: int


class RecordingClient(RunClient):
    """Records the orders to the client of an instance; ``before`` runs ahead of each start."""

    def __init__(self, instance: Instance) -> None:
        self._inner = instance.client
        self._leader = instance.application.leader
        self._clock = instance.application.clock
        self.orders: list[SentOrder] = []
        self.lost_starts = 0
        self.after_start = lambda: None

    def _record(self, kind: str, permission: OrderPermission) -> None:
        now = self._clock.now()
        valid = now < permission.valid_until
        if kind != "renew":
            valid = valid and self._leader.lease_is_valid(now)
        self.orders.append(SentOrder(now, kind, permission.epoch, valid, self._leader.epoch))

    async def start(
        self, worker: WorkerEntry, order: RunOrder, permission: OrderPermission
    ) -> OrderOutcome:
        self._record("start", permission)
        if self.lost_starts:
            self.lost_starts -= 1
            self.after_start()
            return NoResponse("lost by the test")
        return await self._inner.start(worker, order, permission)

    async def stop(
        self, worker: WorkerEntry, run: RunId, permission: OrderPermission
    ) -> OrderOutcome:
        self._record("stop", permission)
        return await self._inner.stop(worker, run, permission)

    async def renew_leases(
        self,
        worker: WorkerEntry,
        permission: OrderPermission,
        deadline: float | None,
        acknowledgement: Acknowledgement | None,
        wait: float,
        mode: PollMode = PollMode.ROUTINE,
    ) -> RenewalOutcome:
        self._record("renew", permission)
        return await self._inner.renew_leases(
            worker, permission, deadline, acknowledgement, wait, mode
        )


class Permission(unittest.TestCase):
    def setUp(self) -> None:
        self.sut = Deployment(instances=2)
        self.leader = self.sut.leader
        self.client = RecordingClient(self.leader)
        self.leader.application.fleet._client = self.client

    def check_orders(self) -> None:
        for order in self.client.orders:
            self.assertTrue(order.valid, order)
            if order.kind != "renew":
                self.assertEqual(order.epoch, order.current_epoch, order)

    def starts(self) -> int:
        return sum(order.kind == "start" for order in self.client.orders)

    def test_leadership_is_lost_between_two_attempts_of_a_start(self) -> None:
        """Guards against a repeated start without an epoch, which workers take as 0."""
        self.client.lost_starts = 1
        self.client.after_start = lambda: self.leader.application.leader.step_down("test")
        self.sut.submit("00aa", TASK)
        self.sut.run(10.0)
        self.assertEqual(self.starts(), 1)
        self.check_orders()
        self.assertIs(self.sut.state_of("00aa"), JobState.COMPLETED)

    def test_leadership_is_regained_between_two_attempts_of_a_start(self) -> None:
        """Guards against a start that carries the epoch of a later leadership."""
        first = self.leader.application.leader.epoch

        def lose_and_regain() -> None:
            self.sut.instances[1 - self.sut.instances.index(self.leader)].store.down = True
            self.leader.application.leader.step_down("test")

        self.client.lost_starts = 1
        self.client.after_start = lose_and_regain
        self.sut.submit("00aa", TASK, instance=self.leader)
        self.sut.run(12.0)
        self.assertGreater(self.leader.application.leader.epoch, first)
        self.check_orders()
        self.assertIs(self.sut.state_of("00aa", instance=self.leader), JobState.COMPLETED)

    def test_lease_lapses_between_two_attempts_of_a_start(self) -> None:
        """Guards against a start by a leader that another one may have replaced."""

        def lapse() -> None:
            self.leader.store.down = True
            self.leader.application.leader._valid_until = self.sut.clock.now()

        self.client.lost_starts = 1
        self.client.after_start = lapse
        self.sut.submit("00aa", TASK, instance=self.sut.instances[0])
        self.sut.run(12.0)
        self.assertEqual(self.starts(), 1)
        self.check_orders()

    def test_process_is_paused_between_the_record_and_the_start(self) -> None:
        """Guards against orders of a process that was paused past the end of its lease."""
        scheduler = self.leader.application.scheduler
        send_starts = scheduler._send_starts

        def pause_then_send(*args: object) -> None:
            # The loop has not run since the response to the write arrived.
            self.leader.application.leader._valid_until = self.sut.clock.now() - 2.0
            scheduler._send_starts = send_starts
            send_starts(*args)

        scheduler._send_starts = pause_then_send
        self.sut.submit("00aa", GANG)
        self.sut.run(12.0)
        self.check_orders()
        self.assertIs(self.sut.state_of("00aa"), JobState.COMPLETED)

    def test_stops_wait_for_a_valid_lease(self) -> None:
        """Guards against stop orders of a leader whose lease has lapsed."""
        for number in range(4):
            self.sut.worker(f"w{number}").run_seconds = 30.0
        self.sut.submit("00aa", TASK)
        self.sut.run(1.0)
        run = next(iter(self.sut.worker("w0").running), None) or next(
            run for number in range(4) for run in self.sut.worker(f"w{number}").running
        )
        worker = next(
            f"w{number}" for number in range(4) if run in self.sut.worker(f"w{number}").running
        )
        leader = self.leader.application.leader
        valid_until = leader._valid_until
        leader._valid_until = self.sut.clock.now()
        self.leader.application.fleet.stop_run(worker, run, StopCause(StopReason.UNKNOWN_RUN))
        self.assertFalse([order for order in self.client.orders if order.kind == "stop"])
        leader._valid_until = valid_until
        self.sut.run(2.0)
        self.assertTrue([order for order in self.client.orders if order.kind == "stop"])
        self.check_orders()

    def test_unknown_run_is_stopped_under_a_valid_lease_only(self) -> None:
        """Guards against stopping a run of a newer leader that this one does not know yet."""
        self.sut.submit("00aa", TASK)
        self.sut.run(0.3)
        scheduler = self.leader.application.scheduler
        scheduler.jobs.clear()
        self.leader.application.leader._valid_until = self.sut.clock.now()
        self.leader.store.down = True
        self.sut.run(3.0)
        self.check_orders()


if __name__ == "__main__":
    unittest.main()
