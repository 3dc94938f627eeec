"""Cancels jobs whose submission got no answer, and checks that they do not run afterwards."""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from platform_sim import SUCCESS, Case, Ending, start_case  # noqa: E402

KEY = "key-a"
EPISODES = 3
LOST_SHARE, LOST_SECONDS = 0.35, 4.5  # platform_lost, late
PAUSE_SECONDS = 13.0  # after each
JOBS_PER_SECOND = 3.0
TASK_SECONDS = 11.0
CANCEL_SECONDS = 3.0  # cancel_ms
STOP_SECONDS = 0.9  # stop_grace_ms
CONTACT_SECONDS = 3.0  # contact_ms
SLACK_SECONDS = 0.3  # of this script's own looks
GONE = 410


@dataclass
class Submission:
    """What a client knows of its job."""

    job: str
    accepted: bool = False
    cancelled_at: float | None = None
    cancel_status: int = 0


async def submit(case: Case, item: Submission, step: dict) -> None:
    """Hand in a job once, and cancel it if no response says that it was accepted."""
    body = {"task_spec": "work", "steps": [step]}
    status, _ = await case.request("POST", f"/truss/{item.job}", body, KEY)
    if status in SUCCESS:
        item.accepted = True
        return
    while item.cancelled_at is None:
        status, _ = await case.request("DELETE", f"/truss/{item.job}", key=KEY)
        if status in SUCCESS or status == GONE:
            item.cancelled_at, item.cancel_status = case.now(), status
            case.record("cancelled", job=item.job, status=status)
        else:
            await asyncio.sleep(0.5)


async def run(case: Case) -> int:
    """Run the case."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    await case.add_workers("assessor", 24, lambda *_: Ending(TASK_SECONDS))
    case.write_config(
        [{"name": "truss", "service": "assessor", "priority": 1}],
        [{"name": "t0", "api_keys": [KEY], "guaranteed": {"gpu": 32}}],
    )
    for _ in range(6):
        case.add_instance()
    await case.wait_ready("/truss/", KEY)
    step = {"count": 1, "cpu": 15_000, "mem_mb": 39_000, "gpu": 1, "est_runtime_ms": 11_000}
    items: list[Submission] = []
    clients: list[asyncio.Task[None]] = []
    broken: list[str] = []
    for _ in range(EPISODES):
        if has_trouble:
            case.store.lost_share = LOST_SHARE
        case.record("store", lost_share=case.store.lost_share)
        first = len(items)
        for _ in range(int(LOST_SECONDS * JOBS_PER_SECOND)):
            items.append(Submission(f"{0xA0000000 + len(items):016x}"))
            clients.append(asyncio.create_task(submit(case, items[-1], step)))
            await asyncio.sleep(1.0 / JOBS_PER_SECOND)
        case.store.lost_share = 0.0
        case.record("store", lost_share=0.0)
        calm_at = case.now() + CONTACT_SECONDS
        until = case.now() + PAUSE_SECONDS
        while case.now() < until:
            await asyncio.sleep(0.1)
            for item in items[first:]:
                if item.cancelled_at is None or item.job in broken:
                    continue
                limit = item.cancelled_at + CANCEL_SECONDS + STOP_SECONDS + SLACK_SECONDS
                if case.now() > max(limit, calm_at + SLACK_SECONDS) and case.runs_of(item.job):
                    broken.append(item.job)
                    case.record("broken", job=item.job, cancelled_at=round(item.cancelled_at, 3))
    await asyncio.gather(*clients)
    given_up = sum(not item.accepted for item in items)
    case.record("result", jobs=len(items), given_up=given_up, ran_after_cancel=broken)
    print(f"{len(items)} jobs, {given_up} given up and cancelled, {len(broken)} of them ran on")
    if has_trouble and not given_up:
        return 2
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(start_case(FOLDER, run))
