"""A worker crashes and starts again under its id; soon after, a job comes in."""

from __future__ import annotations

import os
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BROKEN, HELD, Deployment, done_again, run_case, runs_at_once

CRASHES = 25
WORKERS = 7
TASK_MS = 1000
QUIET_SECONDS = 1.5  # after the tasks of the last job have ended
MAX_DELAY_SECONDS = 0.4  # from the worker's return until the next job comes in


def main() -> int:
    """Return whether a task ran twice."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    step = {
        "count": WORKERS,
        "cpu": 52_000,
        "mem_mb": 75_000,
        "gpu": 8,
        "est_runtime_ms": TASK_MS,
    }
    job = {"task_spec": str(TASK_MS), "steps": [step]}
    case = Path(__file__).resolve().parent
    with Deployment(case, workers=WORKERS, instances=3) as dep:
        workers, names = list(dep.workers), list(dep.instances)
        for number in range(CRASHES):
            if trouble:
                dep.crash_worker(workers[number % len(workers)])
            time.sleep(random.uniform(0, MAX_DELAY_SECONDS))
            dep.request(random.choice(names), "POST", secrets.token_hex(8), job)
            time.sleep(TASK_MS / 1000 + QUIET_SECONDS)
        time.sleep(4)
        dep.record_events()
        found = runs_at_once(dep.events()) + done_again(dep.events())
        for line in found:
            dep.record(f"TWICE {line}")
            print(f"TWICE {line}")
        return BROKEN if found else HELD


run_case(main)
