"""In-process fakes of the store, the workers and the peers for tests on a manual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from chivefall.net import CallerRequest, Envelope, Heartbeat, PeerFailure, Peers
from chivefall.runtime import Clock, Future, spawn, wait_for
from chivefall.workers import (
    Accepted,
    CommandOutcome,
    Instance,
    LeaseReport,
    LeaseRequest,
    Refused,
    TaskShare,
    Unreachable,
    WorkerClient,
)
from standins.memory_store import MemoryStore
from standins.worker import RefusedError, WorkerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from chivefall.config import Address
    from chivefall.model import AttemptId, Epoch, InstanceId
    from chivefall.net import PeerMessage

__all__ = ["MemoryNetwork", "MemoryPeers", "MemoryStore", "MemoryWorkers"]


class MemoryWorkers(WorkerClient):
    """A client of stand-in workers in the same process.

    Attributes
    ----------
    unreachable : set of str
        Addresses whose commands fail before they take effect.
    lose_replies : set of str
        Addresses whose commands take effect although their replies are lost.
    instances : tuple of Instance
        The platform's list.
    """

    def __init__(self) -> None:
        self.states: dict[str, WorkerState] = {}
        self.instances: tuple[Instance, ...] = ()
        self.unreachable: set[str] = set()
        self.lose_replies: set[str] = set()
        self.commands: list[tuple[str, str]] = []

    def add(self, instance: Instance, clock: Clock) -> WorkerState:
        """Add a worker to the platform's list."""
        state = WorkerState(instance.worker_id, instance.accelerators, clock)
        self.states[instance.address] = state
        self.instances += (instance,)
        return state

    async def list_instances(self) -> tuple[Instance, ...] | Unreachable:
        """Read the platform's list."""
        return self.instances

    async def renew(
        self, address: Address, request: LeaseRequest
    ) -> LeaseReport | Refused | Unreachable:
        """Renew a worker's leases and wait for changes of its tasks."""
        if str(address) in self.unreachable:
            return Unreachable("the worker is unreachable", sent=False)
        state = self.states[str(address)]
        try:
            report = await state.renew(request)
        except RefusedError as exc:
            return Refused(exc.refusal, state.epoch)
        if str(address) in self.unreachable:
            return Unreachable("the connection broke", sent=True)
        return report

    async def reserve(
        self, address: Address, epoch: Epoch, share: TaskShare, ttl: float
    ) -> CommandOutcome:
        """Hold accelerators for ``ttl`` seconds without running anything."""
        return self._command(address, epoch, "reserve", lambda state: state.reserve(share, ttl))

    async def commit(
        self, address: Address, epoch: Epoch, attempt: AttemptId, gang_lease: float
    ) -> CommandOutcome:
        """Run a reserved share; it ends after ``gang_lease`` seconds if not confirmed."""
        return self._command(
            address, epoch, "commit", lambda state: state.commit(attempt, gang_lease)
        )

    async def confirm(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """Tell a running share that its whole gang runs."""
        return self._command(address, epoch, "confirm", lambda state: state.confirm(attempt))

    async def checkpoint(
        self, address: Address, epoch: Epoch, attempt: AttemptId
    ) -> CommandOutcome:
        """Save a share's state and end it."""
        return self._command(address, epoch, "checkpoint", lambda state: state.save(attempt))

    async def stop(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
        return self._command(address, epoch, "stop", lambda state: state.stop(attempt))

    def _command(
        self, address: Address, epoch: Epoch, name: str, act: Callable[[WorkerState], Any]
    ) -> CommandOutcome:
        if str(address) in self.unreachable:
            return Unreachable("the worker is unreachable", sent=False)
        state = self.states[str(address)]
        self.commands.append((state.name, name))
        try:
            state.check_epoch(epoch)
            report = act(state)
        except RefusedError as exc:
            outcome: CommandOutcome = Refused(exc.refusal, state.epoch)
        else:
            outcome = Accepted(report)
        if str(address) in self.lose_replies:
            return Unreachable("the reply was lost", sent=True)
        return outcome


class MemoryNetwork:
    """Connects the peers of one test; ``cut`` holds pairs that cannot talk."""

    def __init__(self) -> None:
        self.peers: dict[InstanceId, MemoryPeers] = {}
        self.cut: set[frozenset[InstanceId]] = set()

    def connected(self, one: InstanceId, other: InstanceId) -> bool:
        """Return whether messages pass between two instances."""
        return other in self.peers and frozenset((one, other)) not in self.cut


class MemoryPeers(Peers):
    """The peers of one instance on a :class:`MemoryNetwork`."""

    def __init__(
        self,
        instance: InstanceId,
        network: MemoryNetwork,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.incarnation = f"{instance}-incarnation"
        self._network = network
        self._clock = clock
        self._handle_heartbeat: Callable[[Envelope, Heartbeat], None] | None = None
        self._operations: dict[str, Callable[[Any], Future[Any]]] = {}
        network.peers[instance] = self

    def set_peers(self, addresses: dict[InstanceId, Address]) -> None:
        """Do nothing; the network knows all peers."""

    def on_heartbeat(self, handle: Callable[[Envelope, Heartbeat], None]) -> None:
        """Hand received heartbeats to ``handle``."""
        self._handle_heartbeat = handle

    def serve(self, operation: str, handle: Callable[[Any], Future[Any]]) -> None:
        """Answer an operation of peers with ``handle``."""
        self._operations[operation] = handle

    def broadcast(self, message: PeerMessage) -> None:
        """Deliver a heartbeat to every connected peer at once."""
        envelope = Envelope(self.instance, self.incarnation, "", message)
        for name, peer in list(self._network.peers.items()):
            if name != self.instance and self._network.connected(self.instance, name):
                peer._receive_heartbeat(envelope, message)

    def call(
        self, peer: InstanceId, operation: str, body: Any, timeout: float
    ) -> Future[Any | PeerFailure]:
        """Deliver a request at once and return a future of its answer."""
        if not self._network.connected(self.instance, peer):
            fut: Future[Any | PeerFailure] = Future()
            fut.set_result(PeerFailure(f"{peer} is not connected", sent=False))
            return fut
        request = CallerRequest(0, operation, body)
        answer = spawn(self._deliver(peer, request))
        return wait_for(self._clock, answer, timeout, PeerFailure("no answer", sent=True))

    def _receive_heartbeat(self, envelope: Envelope, message: Heartbeat) -> None:
        if self._handle_heartbeat is not None:
            self._handle_heartbeat(envelope, message)

    async def _deliver(self, peer: InstanceId, request: CallerRequest) -> Any | PeerFailure:
        answer = await self._network.peers[peer]._operations[request.operation](request.body)
        if not self._network.connected(self.instance, peer):
            await Future()
        return answer
