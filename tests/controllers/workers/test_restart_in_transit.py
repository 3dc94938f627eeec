"""A worker that restarts while a renewal of its leases is in transit."""

from __future__ import annotations

import unittest

from chivefall.model import Completed
from chivefall.runtime import sleep
from standins.cluster import Cluster

DOMAIN = "zarcero"
WORKER = f"{DOMAIN}-w01"
TRANSIT_SECONDS = 1.0  # such as a connection that is established by the second packet
MAX_POLL_SECONDS = 30.0


class RestartInTransit(unittest.TestCase):
    def test_running_task_of_the_former_process(self) -> None:
        """Guards against a job that never ends because the lost task counts as running.

        The request names a sequence of the former process. The next process lists only tasks
        above it, and the leader takes the response for one without changes.
        """
        cluster = Cluster((DOMAIN,), workers_per_domain=2)
        cluster.advance(3)
        job = cluster.submit(DOMAIN, gang_size=2, accelerators=8, payload={"run_time": 40.0})
        cluster.advance(1)
        former = set(cluster.running_attempts(job).values())
        renew, address, in_transit = cluster.workers.renew, cluster.address(WORKER), []

        async def renew_late(target, request, *args):
            if str(target) == address:
                in_transit.append(request)
                await sleep(cluster.clock, TRANSIT_SECONDS)
                in_transit.remove(request)
            return await renew(target, request, *args)

        cluster.workers.renew = renew_late
        limit = cluster.clock.now() + MAX_POLL_SECONDS
        while not in_transit and cluster.clock.now() < limit:
            cluster.advance(0.1)
        self.assertGreater(in_transit[0].seen, 0)
        cluster.worker(WORKER).restart()
        cluster.advance(TRANSIT_SECONDS + 5.0)
        cluster.workers.renew = renew
        cluster.advance(MAX_POLL_SECONDS)
        self.assertFalse(former & set(cluster.running_attempts(job).values()))
        self.assertIsInstance(cluster.outcome(job, limit=120.0), Completed)


if __name__ == "__main__":
    unittest.main()
