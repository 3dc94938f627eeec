"""In-process fakes of workers and peers, for tests on a manual clock."""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from chivefall.model import ConnectionId
from chivefall.net import Envelope, Heartbeat, PeerFailure, PeerRequest, Peers
from chivefall.runtime import Clock, Future, TimerHandle, spawn, wait_for
from chivefall.workers import (
    CommandAccepted,
    CommandOutcome,
    CommandRefused,
    Instance,
    LeaseReport,
    LeaseRequest,
    TaskShare,
    Unreachable,
    WorkerClient,
)
from standins.memory_store import MemoryStore
from standins.worker import CommandRefusedError, WorkerState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from chivefall.config import Address
    from chivefall.model import AttemptId, Epoch, InstanceId
    from chivefall.net import PeerMessage

__all__ = [
    "Gate",
    "GatedWorkers",
    "InstanceClock",
    "MemoryNetwork",
    "MemoryPeers",
    "MemoryStore",
    "MemoryWorkers",
]


class Gate:
    """Queues timers, messages and responses of an instance while it is frozen."""

    def __init__(self) -> None:
        self.frozen = False
        self._queued: list[Callable[[], None]] = []

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, or on thaw if the instance is frozen."""
        if self.frozen:
            self._queued.append(action)
        else:
            action()

    def opened(self) -> Future[None]:
        """Return a future that is done once the instance is not frozen."""
        fut: Future[None] = Future()
        self.run(lambda: fut.set_result(None))
        return fut

    def thaw(self) -> None:
        """Resume the instance and run the queued actions in order."""
        self.frozen = False
        queued, self._queued = self._queued, []
        for action in queued:
            action()


class InstanceClock(Clock):
    """Clock of one instance: the shared time, with timers that are held while it is frozen."""

    def __init__(self, clock: Clock, gate: Gate) -> None:
        super().__init__()
        self._clock = clock
        self._gate = gate

    def now(self) -> float:
        """Return the shared time."""
        return self._clock.now()

    def call_later(self, delay: float, callback: Callable[[], None]) -> TimerHandle:
        """Call ``callback`` after ``delay`` seconds, or on thaw if the instance is frozen then."""
        timer = TimerHandle(self.now() + delay, callback)

        def fire() -> None:
            if not timer.cancelled:
                callback()

        self._clock.call_later(delay, lambda: self._gate.run(fire))
        return timer


class MemoryWorkers(WorkerClient):
    """A client of stand-in workers in the same process.

    Attributes
    ----------
    unreachable : set of str
        Addresses of workers whose commands fail before they take effect.
    lose_replies : set of str
        Addresses of workers whose commands take effect but whose replies are lost.
    unreachable_commands : set of (str, str)
        Pairs of worker and command that fail before they take effect.
    command_replies_to_lose : dict
        Number of upcoming replies that are lost, by worker and command.
    instances : tuple of Instance
        Instance list of the platform.
    """

    def __init__(self) -> None:
        self.states: dict[str, WorkerState] = {}
        self.instances: tuple[Instance, ...] = ()
        self.unreachable: set[str] = set()
        self.lose_replies: set[str] = set()
        self.command_replies_to_lose: dict[tuple[str, str], float] = {}
        self.unreachable_commands: set[tuple[str, str]] = set()
        self.commands: list[tuple[str, str]] = []
        numbers = itertools.count(1)
        self._connections: dict[tuple[str, int], ConnectionId] = defaultdict(
            lambda: ConnectionId(next(numbers))
        )

    def add(self, instance: Instance, clock: Clock) -> WorkerState:
        """Add a worker to the instance list of the platform."""
        state = WorkerState(instance.worker_id, instance.accelerators, clock)
        self.states[instance.address] = state
        self.instances += (instance,)
        return state

    async def list_instances(self) -> tuple[Instance, ...] | Unreachable:
        """Read the platform's list."""
        return self.instances

    async def renew(
        self,
        address: Address,
        request: LeaseRequest,
        connections: Collection[ConnectionId] | None = None,
    ) -> LeaseReport | CommandRefused | Unreachable:
        """Renew a worker's leases and wait for changes of its tasks."""
        if str(address) in self.unreachable:
            return Unreachable("the worker is unreachable", sent=False)
        state = self.states[str(address)]
        restarts = state.restarts
        connection = self._connections[str(address), restarts]
        if connections is not None and connection not in connections:
            return Unreachable("no connection that brought a report is open", sent=False)
        try:
            report = await state.renew(request)
        except CommandRefusedError as exc:
            return CommandRefused(exc.reason, state.epoch)
        if str(address) in self.unreachable or state.restarts != restarts:
            return Unreachable("the connection was closed", sent=True)
        return replace(report, connection=connection)

    async def reserve(
        self, address: Address, epoch: Epoch, share: TaskShare, ttl: float
    ) -> CommandOutcome:
        """Reserve accelerators for ``ttl`` seconds without running anything."""
        return self._command(address, epoch, "reserve", lambda state: state.reserve(share, ttl))

    async def commit(
        self, address: Address, epoch: Epoch, attempt: AttemptId, gang_lease: float
    ) -> CommandOutcome:
        """Start a reserved share; it ends after ``gang_lease`` seconds unless confirmed."""
        return self._command(
            address, epoch, "commit", lambda state: state.commit(attempt, gang_lease)
        )

    async def confirm(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """Confirm to a running share that its whole gang runs."""
        return self._command(address, epoch, "confirm", lambda state: state.confirm(attempt))

    async def checkpoint(
        self, address: Address, epoch: Epoch, attempt: AttemptId
    ) -> CommandOutcome:
        """Checkpoint a share and end it."""
        return self._command(address, epoch, "checkpoint", lambda state: state.checkpoint(attempt))

    async def stop(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
        return self._command(address, epoch, "stop", lambda state: state.stop(attempt))

    def _command(
        self, address: Address, epoch: Epoch, name: str, act: Callable[[WorkerState], Any]
    ) -> CommandOutcome:
        state = self.states[str(address)]
        if str(address) in self.unreachable or (state.name, name) in self.unreachable_commands:
            return Unreachable("the worker is unreachable", sent=False)
        self.commands.append((state.name, name))
        try:
            state.check_epoch(epoch)
            report = act(state)
        except CommandRefusedError as exc:
            outcome: CommandOutcome = CommandRefused(exc.reason, state.epoch)
        else:
            outcome = CommandAccepted(report)
        lost = str(address) in self.lose_replies
        if self.command_replies_to_lose.get((state.name, name), 0) > 0:
            self.command_replies_to_lose[state.name, name] -= 1
            lost = True
        if lost or state.faults.lose_replies:
            return Unreachable("the reply was lost", sent=True)
        return outcome


class MemoryNetwork:
    """Network between the peers of one test.

    Attributes
    ----------
    cut : set of frozenset
        Pairs of instances that cannot communicate.
    cut_one_way : set of tuple
        Pairs of sender and receiver whose messages are lost.
    """

    def __init__(self) -> None:
        self.peers: dict[InstanceId, MemoryPeers] = {}
        self.incarnations = itertools.count(1)
        self.cut: set[frozenset[InstanceId]] = set()
        self.cut_one_way: set[tuple[InstanceId, InstanceId]] = set()

    def connected(self, one: InstanceId, other: InstanceId) -> bool:
        """Return whether messages from one instance reach the other."""
        return (
            other in self.peers
            and frozenset((one, other)) not in self.cut
            and (one, other) not in self.cut_one_way
        )


class MemoryPeers(Peers):
    """The peers of one instance on a :class:`MemoryNetwork`."""

    def __init__(
        self,
        instance: InstanceId,
        network: MemoryNetwork,
        clock: Clock,
        gate: Gate | None = None,
    ) -> None:
        self.gate = gate or Gate()
        self.instance = instance
        self.incarnation = f"{instance}-{next(network.incarnations)}"
        self._network = network
        self._clock = clock
        self._handle_heartbeat: Callable[[Envelope, Heartbeat], None] | None = None
        self._operations: dict[str, Callable[[Any], Future[Any]]] = {}
        network.peers[instance] = self

    def set_peers(self, addresses: dict[InstanceId, Address]) -> None:
        """Do nothing; the network connects all peers."""

    def set_heartbeat_handler(self, handle: Callable[[Envelope, Heartbeat], None]) -> None:
        """Call ``handle`` with each received heartbeat and its envelope."""
        self._handle_heartbeat = handle

    def register_operation(self, operation: str, handle: Callable[[Any], Future[Any]]) -> None:
        """Serve an operation that peers call; ``handle`` returns a future of the response body."""
        self._operations[operation] = handle

    def broadcast(self, message: PeerMessage) -> None:
        """Deliver a heartbeat to all connected peers immediately."""
        for name in list(self._network.peers):
            if name != self.instance:
                self.send(name, message)

    def send(self, peer: InstanceId, message: PeerMessage) -> None:
        """Deliver a heartbeat immediately if the peer is connected."""
        if self._network.connected(self.instance, peer):
            envelope = Envelope(self.instance, self.incarnation, "", message)
            target = self._network.peers[peer]
            target.gate.run(lambda: target._receive_heartbeat(envelope, message))

    def call(
        self, peer: InstanceId, operation: str, body: Any, timeout: float
    ) -> Future[Any | PeerFailure]:
        """Deliver a request immediately and return a future of its response."""
        if not self._network.connected(self.instance, peer):
            fut: Future[Any | PeerFailure] = Future()
            fut.set_result(PeerFailure(f"{peer} is not connected", sent=False))
            return fut
        request = PeerRequest(0, operation, body)
        response = spawn(self._deliver(peer, request))
        return wait_for(self._clock, response, timeout, PeerFailure("no response", sent=True))

    def _receive_heartbeat(self, envelope: Envelope, message: Heartbeat) -> None:
        if self._handle_heartbeat is not None:
            self._handle_heartbeat(envelope, message)

    async def _deliver(self, peer: InstanceId, request: PeerRequest) -> Any | PeerFailure:
        target = self._network.peers[peer]
        handle = target._operations.get(request.operation)
        if handle is None:
            return PeerFailure(f"{peer} has no operation {request.operation}", sent=True)
        await target.gate.opened()
        response = await handle(request.body)
        await self.gate.opened()
        if not self._network.connected(peer, self.instance):
            await Future()
        return response


class GatedWorkers(WorkerClient):
    """Worker client of one instance, whose calls stall while the instance is frozen.

    Attributes
    ----------
    unreachable : set of str
        Addresses of workers that only this instance cannot reach.
    """

    def __init__(self, workers: MemoryWorkers, gate: Gate) -> None:
        self._workers = workers
        self._gate = gate
        self.unreachable: set[str] = set()

    async def list_instances(self) -> tuple[Instance, ...] | Unreachable:
        """Read the platform's list."""
        return await self._workers.list_instances()

    async def renew(
        self,
        address: Address,
        request: LeaseRequest,
        connections: Collection[ConnectionId] | None = None,
    ) -> LeaseReport | CommandRefused | Unreachable:
        """Renew a worker's leases and wait for changes of its tasks."""
        return await self._forward(
            address, lambda: self._workers.renew(address, request, connections)
        )

    async def reserve(
        self, address: Address, epoch: Epoch, share: TaskShare, ttl: float
    ) -> CommandOutcome:
        """Reserve accelerators for ``ttl`` seconds without running anything."""
        return await self._forward(
            address, lambda: self._workers.reserve(address, epoch, share, ttl)
        )

    async def commit(
        self, address: Address, epoch: Epoch, attempt: AttemptId, gang_lease: float
    ) -> CommandOutcome:
        """Start a reserved share; it ends after ``gang_lease`` seconds unless confirmed."""
        return await self._forward(
            address, lambda: self._workers.commit(address, epoch, attempt, gang_lease)
        )

    async def confirm(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """Confirm to a running share that its whole gang runs."""
        return await self._forward(address, lambda: self._workers.confirm(address, epoch, attempt))

    async def checkpoint(
        self, address: Address, epoch: Epoch, attempt: AttemptId
    ) -> CommandOutcome:
        """Checkpoint a share and end it."""
        return await self._forward(
            address, lambda: self._workers.checkpoint(address, epoch, attempt)
        )

    async def stop(self, address: Address, epoch: Epoch, attempt: AttemptId) -> CommandOutcome:
        """End a share or release its reservation."""
        return await self._forward(address, lambda: self._workers.stop(address, epoch, attempt))

    async def _forward(self, address: Address, send: Callable[[], Any]) -> Any:
        if str(address) in self.unreachable:
            return Unreachable("the network is cut", sent=False)
        outcome = await send()
        await self._gate.opened()
        if str(address) in self.unreachable:
            return Unreachable("the network was cut", sent=True)
        return outcome
