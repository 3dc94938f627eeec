"""Random faults, checked against what callers and workers observed."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chivefall.batch import BatchOperation, JobState, JobStatus, Resources, StepSpec
from chivefall.model import Accepted, NotRun
from standins.run_history import late_starts, repeated_runs, run_spans
from tests.batch.deployment import ACCOUNT, NORMAL, URGENT, Deployment

TASK_RESOURCES = Resources(4000, 16_000, 2)
EVACUATION_SECONDS = 5.0  # limit from the operators' write to the last start in the domain
CANCEL_SECONDS = 3.0  # limit from the cancellation to the last start of the job
RECOVERY_SECONDS = 90.0  # time without faults after which all jobs have to be final


class BatchMachine(RuleBasedStateMachine):
    """Three instances and four workers under faults of the store, instances and workers."""

    @initialize()
    def begin(self) -> None:
        self.sut = Deployment(instances=3)
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.out_of_service_since: float | None = None
        self.key_valid = True
        self.version = 1
        self.incarnation = 1
        self.number = 0

    def running_instances(self):
        return [item for item in self.sut.instances if not item.client.isolated]

    @rule(
        count=st.integers(1, 6),
        gang=st.booleans(),
        second=st.booleans(),
        urgent=st.booleans(),
        instance_index=st.integers(0, 2),
    )
    def submit(
        self, count: int, gang: bool, second: bool, urgent: bool, instance_index: int
    ) -> None:
        self.number += 1
        name = f"{self.number:016x}"
        steps = [StepSpec(count, TASK_RESOURCES, 2.0, gang=gang)]
        if second:
            steps.append(StepSpec(1, TASK_RESOURCES, 2.0, after=(0,)))
        queue = URGENT if urgent else NORMAL
        running = self.running_instances()
        outcome = self.sut.submit(
            name, *steps, queue=queue, instance=running[instance_index % len(running)]
        )
        if isinstance(outcome, Accepted):
            assert self.key_valid, "a job was accepted with a revoked key"
            self.accepted.add(name)
        elif isinstance(outcome, NotRun):
            self.refused.add(name)

    @rule(index=st.integers(0, 50))
    def cancel(self, index: int) -> None:
        names = sorted(self.accepted - self.cancelled.keys())
        if not names:
            return
        name = names[index % len(names)]
        outcome = self.sut.call(
            BatchOperation.CANCEL, f"/normal/{name}", instance=self.running_instances()[0]
        )
        if outcome == JobStatus(JobState.CANCELLED):
            self.cancelled[name] = self.sut.clock.now()

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds: float) -> None:
        self.sut.run(seconds)

    @rule()
    def kill_leader(self) -> None:
        leaders = [item for item in self.running_instances() if item.leads]
        if leaders and len(self.running_instances()) > 1:
            leaders[0].kill()
            self.sut.add_instance(f"i{len(self.sut.instances)}")
            self.sut.run(0.1)

    @rule(instance_index=st.integers(0, 2), down=st.booleans())
    def cut_store(self, instance_index: int, down: bool) -> None:
        running = self.running_instances()
        running[instance_index % len(running)].store.down = down

    @rule(count=st.integers(1, 3))
    def lose_replies(self, count: int) -> None:
        for item in self.running_instances():
            item.store.lose_replies = count

    @rule(name=st.sampled_from(["w0", "w1", "w2", "w3"]), cut=st.booleans())
    def cut_worker(self, name: str, cut: bool) -> None:
        for item in self.running_instances():
            (item.client.unreachable.add if cut else item.client.unreachable.discard)(name)

    @rule(name=st.sampled_from(["w0", "w1", "w2", "w3"]), late=st.booleans())
    def delay_starts_on_worker(self, name: str, late: bool) -> None:
        for item in self.running_instances():
            (item.client.delayed.add if late else item.client.delayed.discard)(name)

    @rule(name=st.sampled_from(["w0", "w1", "w2", "w3"]))
    def restart_worker(self, name: str) -> None:
        self.incarnation += 1
        entry = self.sut.worker(name).entry
        self.sut.add_worker(replace(entry, incarnation=self.incarnation))

    @rule(name=st.sampled_from(["w0", "w1", "w2", "w3"]))
    def relist_worker(self, name: str) -> None:
        self.sut.delete(f"servers/{name}")
        self.sut.run(0.05)
        self.sut.list_worker(self.sut.worker(name))

    @rule(out=st.booleans())
    def evacuate(self, out: bool) -> None:
        if out and self.out_of_service_since is None:
            self.sut.write("op/evacuate/zarcero", b"{}")
            self.out_of_service_since = self.sut.clock.now()
        elif not out and self.out_of_service_since is not None:
            self.sut.delete("op/evacuate/zarcero")
            self.out_of_service_since = None

    @rule(valid=st.booleans())
    def change_key(self, valid: bool) -> None:
        self.version += 1
        self.key_valid = valid
        self.sut.set_catalog(self.version, (URGENT, NORMAL), (ACCOUNT,) if valid else ())

    def spans(self):
        return run_spans(self.sut.workers.histories())

    @invariant()
    def one_run_at_a_time(self) -> None:
        assert not list(repeated_runs(self.spans()))

    @invariant()
    def only_accepted_jobs_run(self) -> None:
        never = dict.fromkeys(self.refused, -math.inf)
        assert not list(late_starts(self.spans(), never)), "a refused job ran"

    @invariant()
    def no_start_after_cancellation_or_evacuation(self) -> None:
        spans = self.spans()
        limits = {name: at + CANCEL_SECONDS for name, at in self.cancelled.items()}
        assert not list(late_starts(spans, limits)), "a cancelled job started"
        if self.out_of_service_since is not None:
            limit = self.out_of_service_since + EVACUATION_SECONDS
            late = [span for span in spans if span.begin > limit]
            assert not late, "a task started in a failure domain out of service"

    @invariant()
    def capacity_is_never_exceeded(self) -> None:
        for worker in self.sut.workers.workers.values():
            assert worker.peak_usage.accelerators <= worker.entry.capacity.accelerators

    def teardown(self) -> None:
        if not hasattr(self, "sut"):
            return
        self.evacuate(out=False)
        self.change_key(valid=True)
        for item in self.running_instances():
            item.store.down, item.store.lose_replies = False, 0
            item.client.unreachable.clear()
            item.client.delayed.clear()
        self.sut.run(RECOVERY_SECONDS)
        self.one_run_at_a_time()
        for name in self.accepted:
            state = self.sut.state_of(name, instance=self.running_instances()[0])
            expected = (JobState.CANCELLED, JobState.COMPLETED)
            if name not in self.cancelled:
                expected = (JobState.COMPLETED,)
            assert state in expected, f"{name} ended {state}"


BatchFuzzTest = BatchMachine.TestCase
BatchFuzzTest.settings = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

if __name__ == "__main__":
    unittest.main()
