"""Start permission (G3): tasks may start only if no unknown change can have been accepted."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.membership import (
    Fresh,
    LocalEvidence,
    Members,
    PeerState,
    PeerTable,
    Stale,
    StoreOutage,
    start_permission,
)
from chivefall.model import DomainId, Epoch, InstanceId, Revision

NOW = 1000.0
CONFIRMED = NOW - 10.0
OWN = LocalEvidence(Revision(7), CONFIRMED, may_reach_store=False, started_at=NOW - 500)
NAMES = [InstanceId(name) for name in ("b", "c", "d")]


def peer(name: str, **changes) -> PeerState:
    """Return a peer that sent a recent heartbeat and cannot reach the store."""
    state = PeerState(
        InstanceId(name),
        DomainId("zarcero"),
        f"{name}-1",
        "",
        NOW,
        Revision(7),
        CONFIRMED,
        may_reach_store=False,
        leader_epoch=Epoch(0),
        capacity=(),
        sent_at=NOW - 1.0,
        started_at=NOW - 400,
    )
    return replace(state, **changes)


def decide(*peers: PeerState, own: LocalEvidence = OWN, names=NAMES, now: float = NOW):
    """Return the permission for a table of peers."""
    table = PeerTable()
    for state in peers:
        table.record(state)
    return start_permission(own, table, names, now, 3.0)


class StartPermissionTest(unittest.TestCase):
    def test_recent_confirmation_is_fresh(self) -> None:
        """Guards against blocking task starts while the store confirms the document."""
        own = replace(OWN, confirmed_at=NOW - 3.0)
        self.assertIsInstance(decide(own=own), Fresh)
        self.assertIsInstance(decide(own=own, now=NOW + 0.01), Stale)

    def test_outage_of_the_whole_store_allows_starts(self) -> None:
        """Guards against blocking all task starts during a store outage."""
        self.assertIsInstance(decide(*map(peer, NAMES)), StoreOutage)

    def test_any_member_that_may_have_accepted_a_change_forbids_starts(self) -> None:
        """Guards against starting in a domain that a member took out of service."""
        cases = {
            "reaches the store": {"may_reach_store": True},
            "silent": {"sent_at": NOW - 3.01},
            "received, but possibly sent long ago": {"sent_at": float("-inf"), "received_at": NOW},
            "restarted since": {"started_at": CONFIRMED + 1.0},
            "higher revision": {"revision": Revision(8)},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                found = decide(peer("b"), peer("c", **changes), peer("d"))
                self.assertIsInstance(found, Stale)
                self.assertIn("c", found.reason)
        self.assertIsInstance(decide(peer("b"), peer("d")), Stale, "no heartbeat received")
        self.assertIsInstance(decide(), Stale, "no heartbeat from any member")

    def test_own_state_forbids_starts(self) -> None:
        """Guards against relying on peers if this instance itself may have missed a change."""
        for changes in (
            {"may_reach_store": True},
            {"started_at": CONFIRMED + 1.0},
            {"confirmed_at": float("-inf")},
            {"revision": Revision(0)},
        ):
            with self.subTest(changes):
                own = replace(OWN, **changes)
                self.assertIsInstance(decide(*map(peer, NAMES), own=own), Stale)

    def test_known_higher_revision_forbids_starts_at_once(self) -> None:
        """Guards against starting on an old revision until its confirmation expires."""
        own = replace(OWN, confirmed_at=NOW)
        self.assertIsInstance(decide(peer("b", revision=Revision(8)), own=own), Stale)


class MembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PeerTable()
        self.members = Members(InstanceId("a"), [InstanceId("a"), InstanceId("b")])

    def test_members_of_settings_list_and_heartbeats(self) -> None:
        """Guards against missing a member that is known from only one source."""
        self.members.update_listed([InstanceId("a"), InstanceId("c")], NOW)
        self.table.record(peer("d"))
        self.assertEqual(self.members.since(CONFIRMED, self.table), {"b", "c", "d"})

    def test_dropped_member_counts_for_the_time_before(self) -> None:
        """Guards against an instance that accepted a change and crashed before its heartbeat."""
        self.members.update_listed([InstanceId("c")], NOW - 20)
        self.members.update_listed([], NOW)
        self.assertIn("c", self.members.since(NOW - 5, self.table))
        self.assertNotIn("c", self.members.since(NOW + 1, self.table))

    def test_leaving_member_does_not_count_until_it_returns(self) -> None:
        """Guards against graceful restarts that block task starts during a store outage."""
        self.table.record(peer("b", leaving=True))
        self.assertNotIn("b", self.members.since(CONFIRMED, self.table))
        self.table.record(peer("b", incarnation="b-2"))
        self.assertIn("b", self.members.since(CONFIRMED, self.table))

    def test_members_lost_long_ago_are_removed(self) -> None:
        """Guards against tables that grow with every replaced instance."""
        self.members.update_listed([InstanceId("c")], NOW - 20)
        self.members.update_listed([], NOW - 10)
        self.table.record(peer("d", received_at=NOW - 10))
        self.table.record(peer("b", received_at=NOW - 10))
        self.members.prune(NOW, self.table)
        self.assertEqual(self.members.since(float("-inf"), self.table), {"b"})
        self.assertEqual([item.instance for item in self.table.all()], ["b"])


class PeerTableTest(unittest.TestCase):
    def test_heartbeat_of_a_replaced_process_is_ignored(self) -> None:
        """Guards against a late message that hides the restart of a peer."""
        table = PeerTable()
        self.assertTrue(table.record(peer("b")))
        self.assertTrue(table.record(peer("b", incarnation="b-2", may_reach_store=True)))
        self.assertFalse(table.record(peer("b")))
        self.assertTrue(table.get(InstanceId("b")).may_reach_store)
