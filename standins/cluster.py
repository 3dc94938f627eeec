"""All instances of a region in one process, on a manual clock."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from chivefall.application import Application, Connections
from chivefall.config import Address, Settings, Timing
from chivefall.document import encode_document
from chivefall.model import (
    Accepted,
    Account,
    AccountId,
    Document,
    DomainId,
    DomainState,
    InstanceId,
    InstanceKind,
    InstanceStatus,
    JobId,
    JobSpec,
    Outcome,
    RackId,
    Revision,
    Service,
    ServiceId,
    TaskState,
    domain_of_job,
)
from chivefall.runtime import ManualClock, spawn
from chivefall.store import ABSENT, DOCUMENT_KEY
from chivefall.workers import Instance
from standins.endpoint import EndpointState
from standins.memory import (
    Gate,
    GatedWorkers,
    InstanceClock,
    MemoryNetwork,
    MemoryPeers,
    MemoryStore,
    MemoryWorkers,
)
from standins.memory_endpoints import MemoryEndpoints
from standins.store import KeyValueState

if TYPE_CHECKING:
    from collections.abc import Coroutine, Sequence

    from chivefall.runtime import Future
    from standins.worker import WorkerState

__all__ = ["Cluster"]

STEP_SECONDS = 0.05  # by which the clock advances before events are processed


class Cluster:
    """Applications that share an in-memory store, workers and network.

    Attributes
    ----------
    stores : dict
        Store client of each running instance, with its injected faults.
    gates : dict
        Gate of each instance, with which it is frozen.
    worker_clients : dict
        Worker client of each instance.
    store_down_at_start : bool
        Whether the store is unavailable to instances when they start.
    """

    def __init__(
        self,
        domains: Sequence[str] = ("zarcero", "tarrazu", "cartago"),
        workers_per_domain: int = 8,
        entries_per_domain: int = 2,
        document: Document | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.state = KeyValueState(self.clock)
        self.network = MemoryNetwork()
        self.workers = MemoryWorkers()
        self.endpoints = MemoryEndpoints(self.clock)
        self.stores: dict[InstanceId, MemoryStore] = {}
        self.applications: dict[InstanceId, Application] = {}
        self.store_down_at_start = False
        self._domains: dict[InstanceId, str] = {}
        self._cut_domains: set[str] = set()
        self.gates: dict[InstanceId, Gate] = {}
        self.worker_clients: dict[InstanceId, GatedWorkers] = {}
        self.timing = timing or Timing()
        self.document = document or default_document(domains)
        self.peers = {
            InstanceId(f"{domain}-{index}"): str(Address("127.0.0.1", 8001))
            for domain in domains
            for index in range(1, entries_per_domain + 1)
        }
        self.state.put(DOCUMENT_KEY, encode_document(self.document), ABSENT, None)
        for number, domain in enumerate(domains):
            self._add_workers(domain, number, workers_per_domain)
        for domain in domains:
            for index in range(1, entries_per_domain + 1):
                self.start(InstanceId(f"{domain}-{index}"), DomainId(domain))

    def _add_workers(self, domain: str, number: int, count: int) -> None:
        for index in range(count):
            self.workers.add(
                Instance(
                    InstanceId(f"{domain}-w{index:02d}"),
                    InstanceKind.WORKER,
                    DomainId(domain),
                    f"127.0.{number + 1}.{index + 1}:80",
                    rack=RackId(f"{domain}-r{index // 8}"),
                    accelerators=8,
                ),
                self.clock,
            )

    def add_endpoints(self, domain: str, count: int, service: str = "booking") -> None:
        """Add endpoints of a service to the instance list of the platform."""
        for index in range(1, count + 1):
            name = f"{domain}-e{index}"
            address = f"127.1.{len(self.endpoints.states) + 1}.1:80"
            self.endpoints.states[address] = EndpointState(name, self.clock)
            self.workers.instances += (
                Instance(
                    InstanceId(name),
                    InstanceKind.ENDPOINT,
                    DomainId(domain),
                    address,
                    service=ServiceId(service),
                ),
            )

    def publish_entry_instances(self) -> None:
        """Add the entry instances to the instance list of the platform."""
        self.workers.instances += tuple(
            Instance(name, InstanceKind.ENTRY, app.cfg.failure_domain, app.cfg.peer_listen)
            for name, app in self.applications.items()
        )

    def endpoint(self, name: str) -> EndpointState:
        """Return an endpoint by its name."""
        return next(state for state in self.endpoints.states.values() if state.name == name)

    def set_endpoint_status(self, name: str, status: InstanceStatus) -> None:
        """Change the status of an endpoint in the instance list of the platform."""
        self.workers.instances = tuple(
            replace(item, status=status) if item.instance == name else item
            for item in self.workers.instances
        )

    def start(self, name: InstanceId, domain: DomainId) -> Application:
        """Start an instance; it replaces an earlier one of the same name."""
        cfg = Settings(
            name,
            "meseta-central",
            domain,
            str(Address("127.0.0.1", 8000)),
            str(Address("127.0.0.1", 8001)),
            str(Address("127.0.0.1", 8002)),
            self.peers,
            self.timing,
        )
        gate = self.gates[name] = Gate()
        clock = InstanceClock(self.clock, gate)
        store = MemoryStore(self.state, clock, gate=gate)
        store.down = self.store_down_at_start
        peers = MemoryPeers(name, self.network, clock, gate)
        client = self.worker_clients[name] = GatedWorkers(self.workers, gate)
        application = Application(cfg, Connections(clock, store, client, peers, self.endpoints))
        self.stores[name] = store
        self._domains[name] = domain
        if domain in self._cut_domains:
            self.cut_domain(domain)
        self.applications[name] = application
        application.start_controllers()
        self.process_events()
        return application

    def kill(self, name: InstanceId) -> None:
        """Remove an instance without notifying the others, as SIGKILL does."""
        self.applications.pop(name)
        self.gates[name].frozen = True  # never thawed, so that it runs no further events
        del self.network.peers[name]
        self.stores.pop(name).down = True

    def freeze(self, name: InstanceId) -> None:
        """Pause the timers and events of an instance, as SIGSTOP does."""
        self.gates[name].frozen = True

    def thaw(self, name: InstanceId) -> None:
        """Resume a frozen instance; timers and events that were due meanwhile run now."""
        self.gates[name].thaw()
        self.process_events()

    def cut_domain(self, domain: str) -> None:
        """Partition a failure domain from the other domains and from the store."""
        inside = self._entry_instances(domain)
        self._cut_domains.add(domain)
        for name in inside:
            if name in self.stores:
                self.stores[name].down = True
            for other in set(self._domains) - inside:
                self.network.cut.add(frozenset((name, other)))

    def reconnect_domain(self, domain: str) -> None:
        """Remove the partition of a failure domain."""
        inside = self._entry_instances(domain)
        self._cut_domains.discard(domain)
        for name in inside & set(self.stores):
            self.stores[name].down = False
        self.network.cut = {pair for pair in self.network.cut if not pair & inside}
        for other in self._cut_domains:
            self.cut_domain(other)

    def _entry_instances(self, domain: str) -> set[InstanceId]:
        return {name for name, item in self._domains.items() if item == domain}

    def put_document(self, document: Document) -> None:
        """Store the next revision of the document."""
        self.document = replace(document, revision=Revision(self.document.revision + 1))
        version = self.state.get(DOCUMENT_KEY).version
        self.state.put(DOCUMENT_KEY, encode_document(self.document), version, None)

    def set_domain_state(self, domain: str, state: DomainState) -> None:
        """Change the state of a failure domain in the document."""
        domains = {**self.document.failure_domains, DomainId(domain): state}
        self.put_document(replace(self.document, failure_domains=domains))

    def submit(self, domain: str, wait: bool = False, **changes: Any) -> JobId:
        """Submit a job to the leader of a failure domain and return its id."""
        spec = JobSpec(**{"account": AccountId("farmers"), "command": "sort", **changes})
        accepted = self.run(self.leader(domain).jobs.submit(spec, wait))
        if not isinstance(accepted, Accepted):
            raise AssertionError(f"the job was not accepted: {accepted}")
        return accepted.job_id

    def outcome(self, job_id: JobId, limit: float = 60.0) -> Outcome:
        """Wait for a job at the leader of the domain that accepted it and return its outcome."""
        leader = self.leader(domain_of_job(job_id)) or next(iter(self.applications.values()))
        return self.run(leader.job_router.wait(job_id, self.clock.now() + limit), limit + 10)

    def worker(self, name: str) -> WorkerState:
        """Return the state of a stand-in worker by its name."""
        return next(state for state in self.workers.states.values() if state.name == name)

    def address(self, name: str) -> str:
        """Return the address of a worker by its name."""
        return next(key for key, state in self.workers.states.items() if state.name == name)

    def allocated_accelerators(self) -> int:
        """Return the number of accelerators allocated on all workers."""
        return sum(
            state.accelerators - state.free_accelerators for state in self.workers.states.values()
        )

    def running_attempts(self, job_id: str) -> dict[str, str]:
        """Return the attempts of a job's running shares, by worker."""
        return {
            state.name: task.attempt
            for state in self.workers.states.values()
            for task in state.reports()
            if task.job_id == job_id and task.state is TaskState.RUNNING
        }

    def process_events(self) -> None:
        """Process the events of all instances that are not frozen until none is left."""
        busy = True
        while busy:
            busy = False
            for name, application in list(self.applications.items()):
                while len(application) and not self.gates[name].frozen:
                    application.flush()
                    busy = True

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps and process the events after each step."""
        remaining = seconds
        while remaining > 1e-9:
            self.clock.advance(min(STEP_SECONDS, remaining))
            remaining -= STEP_SECONDS
            self.process_events()

    def run(self, coro: Coroutine[Future[Any], None, Any], limit: float = 60.0) -> Any:
        """Return the result of a coroutine; advance the clock up to ``limit`` seconds."""
        fut = spawn(coro)
        self.process_events()
        until = self.clock.now() + limit
        while not fut.done():
            if self.clock.now() >= until:
                raise TimeoutError(f"no result within {limit} s of virtual time")
            self.advance(STEP_SECONDS)
        return fut.result()

    def leader(self, domain: str) -> Application | None:
        """Return the leader of a failure domain; with several, the one with the highest epoch."""
        leading = [
            application
            for application in self.applications.values()
            if application.cfg.failure_domain == domain and application.leader.leads
        ]
        return max(leading, key=lambda item: item.leader.epoch, default=None)


def default_document(domains: Sequence[str]) -> Document:
    """Return a document with four accounts and all domains in service."""
    accounts = {AccountId(name): Account() for name in ("farmers", "captains", "buyers", "sorting")}
    return Document(
        Revision(1),
        accounts,
        failure_domains={DomainId(domain): DomainState.IN_SERVICE for domain in domains},
        services={ServiceId("booking"): Service(AccountId("farmers"), timeout=5.0)},
    )
