"""Workers carry out starts late and unanswered, while one of them refuses part of the starts."""

from __future__ import annotations

import os
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BROKEN, HELD, Deployment, done_again, run_case, runs_at_once

WORKERS = 7
PERIODS = 8
PERIOD_SECONDS = 5.0  # of the disruptions, with a pause of the same length after each
LATE_SHARE = 0.5  # of the starts at all workers
SHED_SHARE = 0.4  # of the starts at one worker of 7
JOBS_PER_SECOND = 4.0
TASK_MS = 5000


def main() -> int:
    """Return whether a task ran twice."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    step = {"count": 1, "cpu": 11_000, "mem_mb": 23_000, "gpu": 1, "est_runtime_ms": TASK_MS}
    job = {"task_spec": str(TASK_MS), "steps": [step]}
    case = Path(__file__).resolve().parent
    with Deployment(case, workers=WORKERS, instances=3) as dep:
        names, workers = list(dep.instances), list(dep.workers)
        for _ in range(PERIODS):
            recent = [row["worker"] for row in dep.events() if row["event"] == "start"][-10:]
            refusing = max(recent or workers, key=recent.count)  # one that is given tasks
            for faulty in (trouble, False):
                for worker in workers:
                    shed = SHED_SHARE if worker == refusing else 0
                    dep.set_faults(worker, **({"late": LATE_SHARE, "shed": shed} if faulty else {}))
                end = time.time() + PERIOD_SECONDS
                while time.time() < end:
                    time.sleep(random.expovariate(JOBS_PER_SECOND))
                    dep.request(random.choice(names), "POST", secrets.token_hex(8), job)
        time.sleep(8)
        dep.record_events()
        found = runs_at_once(dep.events()) + done_again(dep.events())
        for line in found:
            dep.record(f"TWICE {line}")
            print(f"TWICE {line}")
        return BROKEN if found else HELD


run_case(main)
