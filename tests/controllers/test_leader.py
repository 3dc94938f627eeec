"""Leader election under store faults and process pauses."""

from __future__ import annotations

import unittest

from circuits import BaseComponent, handler
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chivefall.config import Settings
from chivefall.controllers import LeaderController, LeaderState
from chivefall.model import DomainId, Epoch, InstanceId, WorkerId
from chivefall.runtime import ManualClock
from standins.memory_store import MemoryStore
from standins.pausable_clock import PausableClock
from standins.store import KeyValueState
from standins.store_faults import CallKind, StoreFaults
from standins.worker import CommandRefusedError, WorkerState

STEP_SECONDS = 0.25
STORE_TIMEOUT_SECONDS = 2.0


class OutageAfterWrite(StoreFaults):
    """Makes the store unavailable after it applied a write, before its reply."""

    def loses_reply(self, kind: CallKind) -> bool:
        self.down = self.down or kind is CallKind.WRITE
        return self.down


class Candidate(BaseComponent):
    """One instance of the domain; ``peer_epoch`` is the highest epoch in received heartbeats."""

    def __init__(self, name: str, state: KeyValueState, worker: WorkerState) -> None:
        super().__init__()
        self.clock = PausableClock(state.clock)
        self.store = MemoryStore(state, self.clock, STORE_TIMEOUT_SECONDS)
        self.peer_epoch = Epoch(0)
        self.transitions: list[tuple[str, object]] = []
        self.worker = worker
        addresses = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
        cfg = Settings(InstanceId(name), "region", DomainId("zarcero"), *addresses)
        self.leader = LeaderController(self.clock, cfg, self.store, lambda _: self.peer_epoch)
        self.leader.register(self)

    @handler("leadership_gained", channel="*")
    def _on_gained(self, epoch: Epoch) -> None:
        self.transitions.append(("gained", epoch))
        self.worker.check_epoch(epoch)

    @handler("leadership_lost", channel="*")
    def _on_lost(self, reason: str) -> None:
        self.transitions.append(("lost", reason))

    def epochs(self) -> list[Epoch]:
        return [epoch for kind, epoch in self.transitions if kind == "gained"]

    def resume(self) -> None:
        """Run the due timers and deliver their events, as the event loop does after a pause."""
        self.clock.resume()
        self.deliver_events()

    def deliver_events(self) -> None:
        while len(self) and not self.clock.paused:
            self.flush()


class Domain:
    """Candidates of one failure domain and a worker."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.state = KeyValueState(self.clock)
        self.worker = WorkerState(WorkerId("w"), 8, self.clock)
        self.members = [Candidate(f"z-{i}", self.state, self.worker) for i in range(size)]

    def start(self) -> None:
        for member in self.members:
            member.leader.start()
        self.advance(0)

    def advance(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / STEP_SECONDS))):
            self.clock.advance(STEP_SECONDS if seconds else 0)
            for member in self.members:
                member.deliver_events()


class LeaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.domain = Domain(2)
        self.first, self.second = self.domain.members
        self.advance = self.domain.advance

    def assert_states(self, first: LeaderState, second: LeaderState) -> None:
        self.assertEqual((self.first.leader.state, self.second.leader.state), (first, second))

    def test_one_of_two_candidates_leads(self) -> None:
        """Guards against two leaders, and against writes by a candidate that has read the key."""
        self.first.store.delay = self.second.store.delay = 0.5
        self.domain.start()
        self.advance(20)
        self.assertEqual(len(self.first.epochs() + self.second.epochs()), 1)
        self.assertLess(self.second.store.calls, 16)

    def test_leader_keeps_its_work_in_an_outage_and_leads_again(self) -> None:
        """Guards against dropping work, or leading without a lease, after a store outage."""
        self.domain.start()
        self.first.store.down = self.second.store.down = True
        self.advance(10)
        self.assert_states(LeaderState.LAPSED, LeaderState.FOLLOWER)
        self.assertEqual(self.first.leader.epoch, self.first.epochs()[0])
        self.first.store.down = False
        self.advance(2)
        self.assert_states(LeaderState.LEADER, LeaderState.FOLLOWER)
        self.assertEqual([kind for kind, _ in self.first.transitions], ["gained", "gained"])
        self.assertGreater(self.first.epochs()[1], self.first.epochs()[0])

    def test_lapsed_leader_steps_down_for_the_holder_of_the_key(self) -> None:
        """Guards against two acting leaders after the first one was cut off from the store."""
        self.domain.start()
        self.first.store.down = True
        self.second.peer_epoch = self.first.leader.epoch
        self.advance(13)
        self.assert_states(LeaderState.LAPSED, LeaderState.LEADER)
        self.first.store.down = False
        self.advance(2)
        self.assert_states(LeaderState.FOLLOWER, LeaderState.LEADER)

    def test_higher_epoch_of_a_peer_ends_leadership_without_the_store(self) -> None:
        """Guards against a lapsed leader that ignores its successor's heartbeats."""
        self.domain.start()
        self.first.store.down = True
        self.first.leader.step_down_if_superseded(self.first.leader.epoch)
        self.assertTrue(self.first.leader.leads)
        self.first.peer_epoch = Epoch(self.first.leader.epoch + 1)
        self.advance(2)
        self.assertFalse(self.first.leader.leads)

    def test_lease_that_ended_during_a_pause_is_not_valid(self) -> None:
        """Guards against acting on a state from before a process pause."""
        self.domain.start()
        self.first.clock.pause()
        self.advance(6)
        self.assertIs(self.first.leader.state, LeaderState.LAPSED)
        self.assertFalse(self.first.leader.lease_is_valid(self.first.clock.now()))

    def test_late_grant_and_late_renewal_do_not_count(self) -> None:
        """Guards against using a lease whose grant or renewal arrives after its expiry."""
        self.first.store.timeout = 20.0
        self.first.leader.start()
        for seconds in (7.0, 4.0):
            self.first.store.faults.reply_delay = seconds
            self.advance(30)
            self.assertEqual(self.first.epochs(), [])
        self.first.store.faults.reply_delay = 0.0
        self.advance(20)
        self.assertIs(self.first.leader.state, LeaderState.LEADER)
        self.first.store.faults.reply_delay = 7.0
        for _ in range(40):
            self.advance(1)
            valid = self.first.leader.state is LeaderState.LEADER
            self.assertLessEqual(valid, bool(self.domain.state.list("leaders/")))
        self.assertIs(self.first.leader.state, LeaderState.LAPSED)

    def test_lost_replies_delay_leadership_by_one_interval_at_most(self) -> None:
        """Guards against a candidate that waits for its own lease to expire."""
        self.first.store.lose_replies = 1
        self.first.store.faults.lose_lease_replies = 1
        self.first.leader.start()
        self.advance(2)
        self.assertIs(self.first.leader.state, LeaderState.LEADER)

    def test_own_key_of_a_lost_attempt_does_not_end_leadership(self) -> None:
        """Guards against a leader that steps down because of its own unconfirmed write."""
        self.domain.start()
        self.second.clock.pause()
        self.first.store.down = True
        self.advance(10)
        self.first.store.faults = OutageAfterWrite()
        self.advance(4)
        self.assertTrue(self.domain.state.list("leaders/"))
        self.first.store.faults = StoreFaults()
        self.advance(10)
        self.assertEqual([kind for kind, _ in self.first.transitions], ["gained", "gained"])

    def test_shutdown_hands_the_domain_over_at_once(self) -> None:
        """Guards against a domain without a leader until the lease expires."""
        self.domain.start()
        self.first.leader.stop()
        self.advance(2)
        self.assert_states(LeaderState.FOLLOWER, LeaderState.LEADER)


class LeadershipMachine(RuleBasedStateMachine):
    """Three candidates; at most one holds a valid lease and passes the worker's epoch check."""

    members = st.integers(0, 2)

    def __init__(self) -> None:
        super().__init__()
        self.domain = Domain(3)
        self.domain.start()

    @rule(member=members)
    def pause_or_resume(self, member: int) -> None:
        candidate = self.domain.members[member]
        if candidate.clock.paused:
            candidate.resume()
        else:
            candidate.clock.pause()

    @rule(member=members, down=st.booleans())
    def set_outage(self, member: int, down: bool) -> None:
        self.domain.members[member].store.down = down

    @rule(member=members, delay=st.sampled_from([0, 0.5, 3, 7]), late=st.booleans())
    def slow_down(self, member: int, delay: float, late: bool) -> None:
        store = self.domain.members[member].store
        store.timeout = 20.0 if late else STORE_TIMEOUT_SECONDS
        store.faults.reply_delay = delay
        store.delay = delay / 2

    @rule(member=members, writes=st.integers(0, 2), leases=st.integers(0, 2))
    def lose_replies(self, member: int, writes: int, leases: int) -> None:
        store = self.domain.members[member].store
        store.lose_replies, store.faults.lose_lease_replies = writes, leases

    @rule(member=members)
    def exchange_heartbeats(self, member: int) -> None:
        epochs = [other.leader.epoch for other in self.domain.members]
        self.domain.members[member].peer_epoch = max(epochs[:member] + epochs[member + 1 :])

    @rule(seconds=st.sampled_from([0.5, 2, 7]))
    def advance(self, seconds: float) -> None:
        self.domain.advance(seconds)

    @rule(member=members)
    def act(self, member: int) -> None:
        leader = self.domain.members[member].leader
        if not leader.leads or self.domain.members[member].clock.paused:
            return
        issued = max(epoch for other in self.domain.members for epoch in other.epochs())
        try:
            self.domain.worker.check_epoch(leader.epoch)
        except CommandRefusedError:
            assert leader.epoch < issued
            leader.step_down("a worker has seen a higher epoch")
        else:
            assert leader.epoch == issued

    @invariant()
    def one_lease_is_valid_and_epochs_are_unique(self) -> None:
        now = self.domain.clock.now()
        valid = [item for item in self.domain.members if item.leader.lease_is_valid(now)]
        assert len(valid) <= 1
        epochs = [epoch for item in self.domain.members for epoch in item.epochs()]
        assert len(set(epochs)) == len(epochs)

    def teardown(self) -> None:
        """Check that the domain has exactly one leader after all faults ended."""
        for member in self.domain.members:
            member.store.faults.__init__()
            member.store.timeout, member.peer_epoch = STORE_TIMEOUT_SECONDS, Epoch(0)
            member.resume()
        self.domain.advance(25)
        states = [member.leader.state for member in self.domain.members]
        assert states.count(LeaderState.LEADER) == 1, states
        assert states.count(LeaderState.LAPSED) == 0, states


LeadershipMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)


class LeadershipMachineTest(LeadershipMachine.TestCase):
    """Guards against two lease holders and against issuing an epoch twice."""


class LeadershipStepsTest(unittest.TestCase):
    """Plays single sequences of steps of the machine."""

    def test_epoch_acquired_by_a_resumed_candidate_is_recorded(self) -> None:
        """Guards against a machine that acts before the events of a resumed member arrive.

        The lease expires while two members are paused; the resumed one acquires it at once.
        """
        machine = LeadershipMachine()
        machine.pause_or_resume(member=0)
        machine.pause_or_resume(member=1)
        machine.set_outage(member=2, down=True)
        machine.advance(seconds=7)
        machine.pause_or_resume(member=1)
        machine.act(member=1)
        machine.one_lease_is_valid_and_epochs_are_unique()
        machine.teardown()
