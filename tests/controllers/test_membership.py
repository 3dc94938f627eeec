"""Start permission (G3) and heartbeats in a region on a manual clock."""

from __future__ import annotations

import unittest

from chivefall.document import ChangeAccepted, DomainEdit
from chivefall.membership import Fresh, Stale, StoreOutage
from chivefall.model import (
    DomainId,
    DomainState,
    InstanceId,
    InstanceKind,
    Revision,
    TeamId,
)
from chivefall.workers import Instance
from standins.cluster import Cluster

ZARCERO = DomainId("zarcero")
OUT = DomainEdit(ZARCERO, DomainState.OUT_OF_SERVICE)
ONE, TWO, FAR = map(InstanceId, ("zarcero-1", "zarcero-2", "cartago-2"))


class MembershipTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster(workers_per_domain=0)
        self.apps = self.cluster.applications
        self.cluster.advance(5)

    def down(self, *names: InstanceId, down: bool = True) -> None:
        """Disconnect instances from the store or reconnect them; all of them by default."""
        for name in names or list(self.cluster.stores):
            self.cluster.stores[name].down = down

    def cut(self, *names: InstanceId) -> None:
        """Partition instances from all others."""
        self.cluster.network.cut |= {
            frozenset((name, other)) for name in names for other in self.apps if other not in names
        }

    def permission(self, name: InstanceId):
        """Return an instance's current permission."""
        return self.apps[name].document.start_permission(self.cluster.clock.now())

    def permissions(self) -> set[type]:
        """Return the types of all instances' permissions."""
        return {type(self.permission(name)) for name in self.apps}


class StartPermissionTest(MembershipTestCase):
    def test_cut_off_domain_stops_within_the_limit(self) -> None:
        """Guards against task starts in a domain that cannot receive a change (G3)."""
        self.down(ONE, TWO)
        self.cut(ONE, TWO)
        outcome = self.cluster.run(self.apps[FAR].document.change(TeamId("t"), Revision(1), OUT))
        self.assertIsInstance(outcome, ChangeAccepted)
        self.cluster.advance(3.5)
        self.assertIsInstance(self.permission(ONE), Stale)
        self.assertIsInstance(self.permission(TWO), Stale)
        self.assertIsInstance(self.permission(FAR), Fresh)

    def test_outage_of_the_whole_store_keeps_starts(self) -> None:
        """Guards against a store outage that blocks task starts in the region."""
        self.down()
        for _ in range(20):
            self.cluster.advance(1)
        self.assertEqual(self.permissions(), {StoreOutage})
        self.down(down=False)
        self.cluster.advance(2)
        self.assertEqual(self.permissions(), {Fresh})

    def test_one_member_with_the_store_confirms_for_all(self) -> None:
        """Guards against unconfirmed documents if all leaders lose the store."""
        self.down()
        self.down(FAR, down=False)
        self.cluster.advance(10)
        self.assertEqual(self.permissions(), {Fresh})

    def test_partitioned_member_that_reaches_the_store(self) -> None:
        """Guards against inferring a store outage only from members whose heartbeats arrive."""
        self.down()
        self.down(FAR, down=False)
        self.cut(FAR)
        self.cluster.advance(10)
        self.assertIsInstance(self.permission(ONE), Stale)
        self.assertIsInstance(self.permission(FAR), Fresh)

    def test_cut_in_one_direction(self) -> None:
        """Guards against judging a one-way partition by its wrong direction."""
        self.down()
        self.down(FAR, down=False)
        for other in set(self.apps) - {FAR}:
            self.cluster.network.cut_one_way.add((FAR, other))
        self.cluster.advance(10)
        self.assertIsInstance(self.permission(ONE), Stale, "it receives nothing from FAR")
        self.assertIsInstance(self.permission(FAR), Fresh)
        self.down(FAR)
        self.cluster.network.cut_one_way = {(ONE, FAR)}
        self.cluster.advance(10)
        self.assertIsInstance(self.permission(FAR), Stale, "it receives nothing from ONE")
        self.assertIsInstance(self.permission(ONE), StoreOutage, "it receives from all others")

    def test_silent_and_restarted_members_forbid_starts(self) -> None:
        """Guards against a member that accepted a change and crashed before its next heartbeat."""
        self.down()
        self.cluster.advance(6)
        self.cluster.kill(FAR)
        self.cluster.advance(4)
        self.assertEqual(self.permissions(), {Stale})
        self.cluster.store_down_at_start = True
        self.cluster.start(FAR, DomainId("cartago"))
        self.cluster.advance(6)
        self.assertEqual(self.permissions(), {Stale})
        self.down(down=False)
        self.cluster.advance(3)
        self.assertEqual(self.permissions(), {Fresh})

    def test_leaving_member_does_not_block_starts(self) -> None:
        """Guards against a graceful shutdown that blocks task starts during a store outage."""
        self.down()
        self.cluster.advance(6)
        self.apps[FAR].stop_controllers()
        self.cluster.process_events()
        self.cluster.kill(FAR)
        self.cluster.advance(6)
        self.assertEqual(self.permissions(), {StoreOutage})

    def test_messages_read_after_a_pause_do_not_count_as_recent(self) -> None:
        """Guards against measuring the age of a message from the time at which it is read."""
        peers, queued = self.cluster.network.peers[ONE], []
        receive = peers._receive_heartbeat
        peers._receive_heartbeat = lambda *message: queued.append(message)
        self.cluster.advance(1.5)
        self.down(ONE)
        self.cut(ONE)
        self.cluster.advance(4)
        self.assertGreater(len(queued), 4)
        for message in queued:
            receive(*message)
        self.cluster.process_events()
        self.assertIsInstance(self.permission(ONE), Stale)

    def test_clock_is_read_again(self) -> None:
        """Guards against a decision based on a time that was read before a process pause."""
        before = self.cluster.clock.now()
        self.assertTrue(self.apps[ONE].document.may_start_tasks(before))
        self.cluster.clock._now += 10
        self.assertFalse(self.apps[ONE].document.may_start_tasks(before))


class MembersTest(MembershipTestCase):
    def test_listed_instance_becomes_a_member_and_gets_heartbeats(self) -> None:
        """Guards against ignoring an instance that is only in the platform's list."""
        listed = Instance(
            InstanceId("new"), InstanceKind.ENTRY, DomainId("cartago"), "127.0.0.1:9001"
        )
        self.cluster.workers.instances += (listed,)
        self.cluster.advance(6)
        membership = self.apps[ONE].membership
        self.assertIn("new", membership.members.present)
        self.assertIn("new", membership._addresses())
        self.down()
        self.cluster.advance(6)
        self.assertIsInstance(self.permission(ONE), Stale)

    def test_leaving_peer_is_not_a_leader(self) -> None:
        """Guards against waiting three heartbeats for a leader that shut down gracefully."""
        leader = self.cluster.leader(ZARCERO)
        leader.stop_controllers()
        self.cluster.process_events()
        self.assertIsNone(self.apps[FAR].membership.leader_of(ZARCERO, self.cluster.clock.now()))
