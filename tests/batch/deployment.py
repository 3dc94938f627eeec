"""A batch deployment of instances, store and workers that run on a manual clock."""

from __future__ import annotations

from chivefall.batch import (
    ApiKey,
    BatchOperation,
    BatchOutcome,
    BatchRequest,
    BatchSpec,
    Catalog,
    ClientAccount,
    JobState,
    JobStatus,
    PlatformCodec,
    Queue,
    QueueId,
    Resources,
    RunId,
    Service,
    StepSpec,
    WorkerEntry,
)
from chivefall.batch_application import BatchApplication, BatchConnections
from chivefall.config import BatchSettings, PlatformBounds, Settings, Timing
from chivefall.decoding import decode_json
from chivefall.errors import MessageError
from chivefall.model import AccountId, DomainId, InstanceId, JobId, ServiceId, WorkerId
from chivefall.runtime import Future, ManualClock, spawn
from standins.memory_store import MemoryStore
from standins.run_workers import MemoryRunClient, RunWorker, RunWorkers, make_worker_entry
from standins.store import KeyValueState
from tests.batch.instance_log import running

CATALOG_KEY = "op/config"
WORKER_PREFIX = "servers/"
KEY = ApiKey("key-1")
SERVICE = ServiceId("pool")
URGENT = Queue(QueueId("urgent"), "host", "/urgent/", SERVICE, 0, 2, 1.5, 0.25)
NORMAL = Queue(QueueId("normal"), "host", "/normal/", SERVICE, 1, 2, 3.0, 1.0)
ACCOUNT = ClientAccount(AccountId("farm"), frozenset({KEY}), 16)
CLOCK_STEP_SECONDS = 0.01
TIMING = Timing(leader_lease=3.0, leader_renewal=1.0, store_timeout=1.0)


class StubPlatformCodec(PlatformCodec):
    """Decodes worker entries from JSON of the project's types, and catalogs by a table."""

    catalog_key = CATALOG_KEY
    operator_prefix = "op/"
    worker_prefix = WORKER_PREFIX

    def __init__(self) -> None:
        self.catalogs: dict[bytes, Catalog] = {}

    def decode_catalog(self, value: bytes) -> Catalog:
        if value not in self.catalogs:
            raise MessageError("no such catalog", "write it with Deployment.set_catalog")
        return self.catalogs[value]

    def domain_out_of_service(self, key: str) -> DomainId | None:
        name = key.removeprefix("op/evacuate/")
        return DomainId(name) if name != key else None

    def worker_id(self, key: str) -> WorkerId:
        return WorkerId(key.removeprefix(WORKER_PREFIX))

    def decode_worker(self, key: str, value: bytes) -> WorkerEntry:
        return decode_json(value, WorkerEntry, key, "write it with Deployment.list_worker")


class Instance:
    """One instance with its own connections to the store and the workers."""

    def __init__(self, deployment: Deployment, name: str, cores: float) -> None:
        self.name = InstanceId(name)
        self.store = MemoryStore(deployment.state, deployment.clock, timeout=1.0)
        self.store.faults.delay = 0.002
        self.client = deployment.make_client()
        addresses = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
        cfg = Settings(
            self.name,
            "region",
            DomainId("zarcero"),
            *addresses,
            timing=deployment.timing,
            batch=BatchSettings("127.0.0.1:4", "127.0.0.1:5", cores, bounds=deployment.bounds),
        )
        connections = BatchConnections(deployment.clock, self.store, self.client, deployment.codec)
        with running(self.name):
            self.application = BatchApplication(cfg, connections)
            self.application.start_controllers()

    @property
    def leads(self) -> bool:
        return self.application.leader.leads

    def kill(self) -> None:
        """Stop the instance as a killed process does, without releasing anything."""
        self.store.down = True
        self.client.isolated = True
        for controller in self.application.registry:
            controller._stopped = True
        with running(self.name):
            self.application.scheduler._close()

    def flush(self) -> None:
        """Process the events of this instance."""
        with running(self.name):
            while len(self.application):
                self.application.flush()

    def request(self, req: BatchRequest) -> Future[BatchOutcome]:
        """Handle a request of a caller."""
        with running(self.name):
            return spawn(self.application.chain.run(req))


class Deployment:
    """A store, workers and instances on one manual clock."""

    def __init__(
        self,
        instances: int = 1,
        workers: int = 4,
        capacity: Resources | None = None,
        timing: Timing = TIMING,
        bounds: PlatformBounds | None = None,
        clock: ManualClock | None = None,
    ) -> None:
        self.timing, self.bounds = timing, bounds or PlatformBounds()
        self.clock = clock or ManualClock()
        self.state = KeyValueState(self.clock)
        self.codec = self.make_codec()
        self.workers = RunWorkers(self.clock)
        self.workers.resources_of = self._resources_of
        self.specs: dict[JobId, BatchSpec] = {}
        self.set_catalog(1, (URGENT, NORMAL), (ACCOUNT,))
        for number in range(workers):
            self.add_worker(make_worker_entry(f"w{number}", capacity=capacity))
        self.instances: list[Instance] = []
        for number in range(instances):
            self.add_instance(f"i{number}")
        self.run(2.5)

    def make_codec(self) -> PlatformCodec:
        """Return the codec of all instances."""
        return StubPlatformCodec()

    def make_client(self) -> MemoryRunClient:
        """Return the run client of a new instance."""
        return MemoryRunClient(self.workers)

    def add_instance(self, name: str, cores: float = 1.0) -> Instance:
        self.instances.append(Instance(self, name, cores))
        return self.instances[-1]

    def set_catalog(self, version: int, queues=(), accounts=()) -> None:
        """Write a catalog to the store as the operators do."""
        value = f"catalog {version}".encode()
        self.codec.catalogs[value] = Catalog(version, queues, (Service(SERVICE),), accounts)
        self.write(CATALOG_KEY, value)

    def write(self, key: str, value: bytes) -> None:
        self.state.write_all([(key, value, None)], [])

    def delete(self, key: str) -> None:
        self.state.write_all([], [key])

    def add_worker(self, entry: WorkerEntry) -> RunWorker:
        worker = self.workers.add(entry)
        self.list_worker(worker)
        return worker

    def list_worker(self, worker: RunWorker) -> None:
        self.write(WORKER_PREFIX + worker.entry.worker_id, self.workers.encode(worker))

    def worker(self, name: str) -> RunWorker:
        return self.workers.workers[WorkerId(name)]

    @property
    def leader(self) -> Instance:
        leaders = [item for item in self.instances if item.leads and not item.store.down]
        return max(leaders, key=lambda item: item.application.leader.epoch)

    def run(self, seconds: float) -> None:
        """Advance the clock and process the events of all instances."""
        steps = max(1, round(seconds / CLOCK_STEP_SECONDS))
        for _ in range(steps):
            self.clock.advance(CLOCK_STEP_SECONDS)
            for item in self.instances:
                item.flush()

    def call(self, operation: BatchOperation, path: str, spec=None, **fields) -> BatchOutcome:
        """Send a request to an instance and return its outcome."""
        instance = fields.pop("instance", None) or self.instances[0]
        now = self.clock.now()
        ctx = BatchRequest(operation, "host", path, now, now + 3.0, fields.pop("key", KEY), spec)
        fut = instance.request(ctx)
        for _ in range(400):
            if fut.done():
                break
            self.run(CLOCK_STEP_SECONDS)
        return fut.result()

    def submit(self, name: str, *steps: StepSpec, queue: Queue = NORMAL, **fields) -> BatchOutcome:
        spec = BatchSpec("payload", steps)
        self.specs[JobId(name)] = spec
        return self.call(BatchOperation.SUBMIT, queue.prefix + name, spec, **fields)

    def state_of(self, name: str, queue: Queue = NORMAL, **fields) -> JobState:
        outcome = self.call(BatchOperation.STATUS, queue.prefix + name, **fields)
        assert isinstance(outcome, JobStatus), outcome
        return outcome.state

    def _resources_of(self, run: RunId) -> Resources:
        return self.specs[run.job].steps[run.task.step].resources
