"""Heartbeats of replaced processes that arrive after those of their successors."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.membership import PeerTable
from tests.membership.test_permission import NOW, peer


class LateHeartbeat(unittest.TestCase):
    def test_former_process_that_this_instance_did_not_know(self) -> None:
        """Guards against ignoring a live peer for good after one late heartbeat.

        This instance restarted, and reads the successor's first heartbeat before the last one
        of the replaced process.
        """
        table = PeerTable()
        successor = peer("b", incarnation="b-2", started_at=NOW - 2.0)
        former = peer("b", incarnation="b-1", started_at=NOW - 400.0)
        self.assertTrue(table.record(successor))
        table.record(former)
        self.assertTrue(table.record(successor))
        self.assertEqual(table.get(successor.instance).incarnation, "b-2")

    def test_process_that_started_earlier_by_a_delayed_estimate(self) -> None:
        """Guards against ignoring a successor because one heartbeat of the former was delayed."""
        table = PeerTable()
        former = peer("b", incarnation="b-1", started_at=NOW)
        successor = peer("b", incarnation="b-2", started_at=NOW - 5.0)
        table.record(former)
        self.assertFalse(table.record(successor))
        later = replace(successor, received_at=successor.received_at + 11.0)
        self.assertTrue(table.record(later))
        self.assertEqual(table.get(former.instance).incarnation, "b-2")


if __name__ == "__main__":
    unittest.main()
