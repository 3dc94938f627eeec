"""The stand-in workers' behaviour where the protocol ties a call to an address."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.batch import NO_CHECKPOINT, Incarnation, RunId, RunNumber, TaskKey
from chivefall.model import Epoch, JobId, WorkerId
from chivefall.runtime import ManualClock, spawn
from chivefall.workers import IncarnationMismatch, OrderPermission, RunOrder
from standins.run_workers import MemoryRunClient, RunWorkers, make_worker_entry

LATENCY_SECONDS = 0.3
LEASE_SECONDS = 5.0


class FormerAddress(unittest.TestCase):
    def test_start_that_arrives_after_the_worker_started_elsewhere(self) -> None:
        """Guards against a start that reaches a worker although another one had its address.

        The platform answers such a start with 421, so the leader releases its run.
        """
        clock = ManualClock()
        workers = RunWorkers(clock)
        former = workers.add(make_worker_entry("w0"))
        client = MemoryRunClient(workers)
        client.latency = LATENCY_SECONDS
        former.crash()
        client.misdirected.add(WorkerId("w0"))
        run = RunId(JobId("b1"), TaskKey(0, 0, 0), RunNumber(1))
        order = RunOrder(run, "payload", LEASE_SECONDS, NO_CHECKPOINT)
        permission = OrderPermission(Epoch(1), clock.now() + LEASE_SECONDS)
        fut = spawn(client.start(former.entry, order, permission))
        clock.advance(LATENCY_SECONDS / 2)
        entry = replace(former.entry, incarnation=Incarnation(2), address="127.0.0.1:2")
        worker = workers.add(entry)
        client.misdirected.clear()
        clock.advance(LATENCY_SECONDS)
        self.assertEqual(fut.result(), IncarnationMismatch())
        self.assertEqual(worker.history, [])


if __name__ == "__main__":
    unittest.main()
