"""Error handling and metrics of an application."""

from __future__ import annotations

import unittest
from unittest import mock

from circuits import BaseComponent, Event, handler

from chivefall.model import AccountId, JobSpec, Urgency
from standins.cluster import Cluster
from tests.batch.deployment import Deployment


class Unprintable:
    """Raises in ``__repr__``, as objects of a closed connection may."""

    def __repr__(self) -> str:
        raise TypeError("no representation")


class broken(Event):  # noqa: N801 - circuits derives handler names from it
    """An event whose handler raises an exception."""


class BrokenComponent(BaseComponent):
    """A component whose event handler raises an exception."""

    @handler("broken", channel="*")
    def _on_broken(self, _value: object) -> None:
        raise ValueError("handler failed")


class ExceptionTest(unittest.TestCase):
    def test_error_in_an_error_handler_ends(self) -> None:
        """Guards against an endless loop, at 100 % CPU, of errors in the error handler."""
        cluster = Cluster(("zarcero",), entries_per_domain=1)
        app = next(iter(cluster.applications.values()))
        BrokenComponent().register(app)
        app.fire(broken(Unprintable()))
        for _ in range(20):
            app.flush()
        self.assertEqual(len(app), 0)

    def test_error_in_a_batch_application_is_logged(self) -> None:
        """Guards against errors of handlers that leave no trace for the operators on call."""
        app = Deployment().instances[0].application
        BrokenComponent().register(app)
        with mock.patch("chivefall.controllers._errors.log_event") as log:
            app.fire(broken(Unprintable()))
            for _ in range(20):
                app.flush()
        self.assertEqual(log.call_count, 1)
        self.assertIn("handler failed", log.call_args.kwargs["error"])


class MetricsTest(unittest.TestCase):
    def test_start_delay_and_job_states(self) -> None:
        """Guards against metrics that are declared but never updated."""
        cluster = Cluster(("zarcero",), entries_per_domain=1)
        cluster.advance(6)
        app = cluster.leader("zarcero")
        spec = JobSpec(AccountId("farmers"), "check", {"run_time": 1.0}, urgency=Urgency.URGENT)
        cluster.run(app.jobs.submit(spec))
        cluster.advance(2)
        lines = app.metrics.render()[0].decode().splitlines()
        self.assertIn('chivefall_job_start_delay_seconds_count{urgency="urgent"} 1.0', lines)
        self.assertIn(
            'chivefall_job_start_delay_seconds_bucket{le="1.8",urgency="urgent"} 1.0', lines
        )
        self.assertIn('chivefall_jobs{state="succeeded"} 1', lines)
        self.assertIn("chivefall_leading 1", lines)
        self.assertIn("chivefall_document_revision 1", lines)
