"""Callers that submit jobs, poll their status and cancel some of them."""

from __future__ import annotations

import json
import random
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from chivefall.model import JobId
from chivefall.net import HttpFailure, HttpResponse
from chivefall.runtime import sleep
from soak._oracle import JobHistory
from soak._testbed import REVOKED_KEY, VALID_KEY

if TYPE_CHECKING:
    from chivefall.net import HttpClient
    from chivefall.runtime import Clock
    from soak._oracle import Oracle
    from soak._testbed import Instance, Testbed

__all__ = ["Caller", "KeyProbe", "request_job_status"]

CALL_TIMEOUT_SECONDS = 4.0
MAX_ATTEMPTS = 5  # to submit or cancel a job
POLL_INTERVAL_SECONDS = 0.5  # between status requests for a job, and between retries
PROBE_INTERVAL_SECONDS = 0.4  # between rounds of calls with the revoked API key
# Upper bound for Retry-After, since long pauses would leave the soak test without traffic.
MAX_RETRY_AFTER_SECONDS = 2.0
MAX_JOB_SECONDS = 12.0  # polling time before a caller submits its next job
CANCEL_SHARE = 0.15  # of the accepted jobs
URGENT_SHARE = 0.4  # of the jobs
GANG_SHARE = 0.5  # of the first steps
SECOND_STEP_SHARE = 0.5  # of the jobs
SHORT_SHARE = 0.5  # of the jobs
GIVE_UP_SHARE = 0.5  # of the jobs; cancelled after the first submission without an outcome
# So short that a task may start and end between two polls of its worker.
MIN_SHORT_TASK_MS, MAX_SHORT_TASK_MS = 50, 400
_REFUSED_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
_NOT_READY_STATUSES = (HTTPStatus.UNAUTHORIZED, HTTPStatus.NOT_FOUND)


async def _call(
    http: HttpClient,
    instance: Instance,
    method: str,
    path: str,
    body: Any = None,
    key: str = VALID_KEY,
) -> HttpResponse | HttpFailure:
    headers = {"Host": "batch.example", "Authorization": f"Token {key}"}
    content = b"" if body is None else json.dumps(body).encode()
    return await http.request(
        instance.address, method, path, content, headers, CALL_TIMEOUT_SECONDS
    )


async def request_job_status(
    http: HttpClient, clock: Clock, oracle: Oracle, instance: Instance, history: JobHistory
) -> None:
    """Request the status of a job from one instance and update its history."""
    sent_at = clock.now()
    response = await _call(http, instance, "GET", history.path)
    if not isinstance(response, HttpResponse):
        return
    if response.status == HTTPStatus.GONE:
        oracle.check_unknown_job(history, sent_at, instance.name)
    elif response.status == HTTPStatus.OK:
        state = json.loads(response.body)["state"]
        if state == "completed" and history.completed_at is None:
            history.completed_at = clock.now()
        elif state == "failed" or (state == "cancelled" and not history.cancel_sent):
            oracle.report(f"{instance.name} reports job {history.job} as {state}")


class Caller:
    """Submits one job after the other over persistent connections."""

    def __init__(
        self, http: HttpClient, clock: Clock, testbed: Testbed, oracle: Oracle, rng: random.Random
    ) -> None:
        self._http = http
        self._clock = clock
        self._testbed = testbed
        self._oracle = oracle
        self._rng = rng

    async def run(self, until: float) -> None:
        """Submit jobs until the Unix time ``until``."""
        while self._clock.now() < until:
            await self._run_job()
            await sleep(self._clock, self._rng.uniform(0.0, 0.5))

    def _any_instance(self) -> Instance:
        return self._rng.choice(self._testbed.instances)

    def _steps(self) -> list[dict[str, Any]]:
        first = {
            "count": self._rng.randint(1, 5),
            "cpu": 4000,
            "mem_mb": 16_384,
            "gpu": self._rng.randint(1, 4),
            "gang": self._rng.random() < GANG_SHARE,
            "est_runtime_ms": 1000,
        }
        if self._rng.random() < SECOND_STEP_SHARE:
            return [first, {"count": 1, "cpu": 1000, "mem_mb": 1024, "after": [0]}]
        return [first]

    async def _run_job(self) -> None:
        prefix = "urgent" if self._rng.random() < URGENT_SHARE else "jobs"
        job = JobId(f"{self._rng.getrandbits(64):016x}")
        history = self._oracle.job_histories[job] = JobHistory(job, f"/{prefix}/{job}")
        started_at = self._clock.now()
        await self._submit(history)
        if history.accepted_at is None:
            if not history.refused:
                await self._cancel(history)
            return
        if self._rng.random() < CANCEL_SHARE:
            await sleep(self._clock, self._rng.uniform(0.0, 1.5))
            await self._cancel(history)
        while history.completed_at is None and history.cancelled_at is None:
            if self._clock.now() > started_at + MAX_JOB_SECONDS:
                return
            await sleep(self._clock, POLL_INTERVAL_SECONDS)
            await request_job_status(
                self._http, self._clock, self._oracle, self._any_instance(), history
            )

    async def _submit(self, history: JobHistory) -> None:
        body = {"task_spec": "text", "steps": self._steps()}
        # Drawn separately, so that the other choices of a recorded seed stay as they were.
        rng = random.Random(f"run time {history.job}")
        if rng.random() < SHORT_SHARE:
            run_time = rng.randint(MIN_SHORT_TASK_MS, MAX_SHORT_TASK_MS)
            body["task_spec"] = f"run {run_time} ms"
            body["steps"][0]["est_runtime_ms"] = run_time
        gives_up = rng.random() < GIVE_UP_SHARE
        may_run = False
        for _ in range(MAX_ATTEMPTS):
            response = await _call(self._http, self._any_instance(), "POST", history.path, body)
            if isinstance(response, HttpFailure):
                self._oracle.count("no answer")
                may_run |= response.sent
                if may_run and gives_up:
                    break
                continue
            self._oracle.count(f"submit {response.status}")
            if response.status == HTTPStatus.OK:
                history.accepted_at = self._clock.now()
                return
            if response.status in _REFUSED_STATUSES:
                pause = float(response.headers.get("retry-after", "1"))
                await sleep(self._clock, min(pause, MAX_RETRY_AFTER_SECONDS))
            elif response.status in _NOT_READY_STATUSES:
                await sleep(self._clock, POLL_INTERVAL_SECONDS)
            else:
                may_run = True
                if gives_up:
                    break
        history.refused = not may_run

    async def _cancel(self, history: JobHistory) -> None:
        for _ in range(MAX_ATTEMPTS):
            history.cancel_sent = True
            instance = self._any_instance()
            response = await _call(self._http, instance, "DELETE", history.path)
            if isinstance(response, HttpResponse) and response.status == HTTPStatus.GONE:
                self._oracle.count("cancel 410")
                if history.accepted_at is not None:
                    self._oracle.report(f"{instance.name} does not find {history.job} to cancel it")
                history.cancelled_at = self._clock.now()
                return
            if isinstance(response, HttpResponse) and response.status == HTTPStatus.OK:
                # A job that had ended before the cancellation keeps its state.
                if json.loads(response.body)["state"] == "cancelled":
                    history.cancelled_at = self._clock.now()
                else:
                    history.completed_at = self._clock.now()
                return
            await sleep(self._clock, POLL_INTERVAL_SECONDS)


class KeyProbe:
    """Calls every instance with the API key that the faults revoke."""

    def __init__(self, http: HttpClient, clock: Clock, testbed: Testbed, oracle: Oracle) -> None:
        self._http = http
        self._clock = clock
        self._testbed = testbed
        self._oracle = oracle

    async def run(self, until: float) -> None:
        """Call each instance in turn until the Unix time ``until``."""
        while self._clock.now() < until:
            for instance in self._testbed.instances:
                sent_at = self._clock.now()
                response = await _call(self._http, instance, "GET", "/jobs/", key=REVOKED_KEY)
                if isinstance(response, HttpResponse) and response.status == HTTPStatus.OK:
                    self._oracle.check_revoked_key(sent_at, instance.name)
            await sleep(self._clock, PROBE_INTERVAL_SECONDS)
