"""The log tells a lost response of a worker from one that arrived and was not used."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from eliot import add_destinations, remove_destination

from chivefall.batch import Resources, StepSpec
from chivefall.controllers.batch._contact import BUSY_INTERVAL_SECONDS
from chivefall.model import WorkerId
from chivefall.telemetry import LogEvent
from chivefall.workers import NoResponse
from tests.batch.deployment import Deployment

LEASES_EXPIRE_SECONDS = 10.0


class ContactLog(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        add_destinations(self.lines.append)
        self.lines.clear()  # eliot passes earlier messages to the first destination
        self.addCleanup(remove_destination, self.lines.append)
        self.sut = Deployment(workers=1)
        self.sut.submit("0a", StepSpec(1, Resources(1000, 1000, 1), 30.0))
        self.sut.worker("w0").run_seconds = 30.0
        self.sut.run(1.0)

    def messages(self, event: LogEvent) -> list[dict[str, Any]]:
        kind = f"chivefall:{event.number}:{event.name.lower()}"
        return [line for line in self.lines if line["message_type"] == kind]

    def test_release_after_lost_contact(self) -> None:
        """Guards against releases of which the log does not say what was known of the worker."""
        self.sut.leader.client.unreachable.add(WorkerId("w0"))
        self.sut.run(LEASES_EXPIRE_SECONDS)
        released = self.messages(LogEvent.RUN_RELEASED)[0]
        self.assertGreater(released["response_age"], 5.0)
        self.assertLess(released["response_age"], LEASES_EXPIRE_SECONDS)
        self.assertLess(released["lease_left"], 0.0)
        self.assertGreater(released["failures"], 1)
        self.assertEqual(released["last_outcome"], "the worker is unreachable")

    def test_report_after_the_leadership(self) -> None:
        """Guards against ends that reach an instance and leave no trace in its log."""
        instance = self.sut.leader
        instance.client.reply_latency = 0.3
        self.sut.worker("w0")._finish(next(iter(self.sut.worker("w0").running)))
        self.sut.run(0.05)
        instance.application.leader.step_down("the test ends the leadership")
        self.sut.run(0.5)
        unused = self.messages(LogEvent.REPORT_NOT_USED)
        self.assertEqual([line["worker"] for line in unused], ["w0"])
        self.assertEqual(unused[0]["reason"], "session closed")
        self.assertEqual(len(unused[0]["ends"]), 1)

    def test_report_that_cannot_be_decoded(self) -> None:
        """Guards against ends in reports that are never used, with a log line at the first only."""

        async def respond(*_: object) -> NoResponse:
            return NoResponse("an odd row", is_invalid=True)

        with mock.patch.object(self.sut.leader.client, "renew_leases", respond):
            self.sut.run(4.0)
        invalid = self.messages(LogEvent.REPORT_INVALID)
        self.assertEqual({line["worker"] for line in invalid}, {"w0"})
        self.assertEqual({line["reason"] for line in invalid}, {"an odd row"})
        self.assertGreaterEqual(len(invalid), 8)
        self.assertLessEqual(len(invalid), 4.0 / BUSY_INTERVAL_SECONDS + 1)


if __name__ == "__main__":
    unittest.main()
