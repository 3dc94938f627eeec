"""Hands in many timed jobs and checks that other jobs run and that the processes stay up."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from platform_sim import Case, Ending, start_case  # noqa: E402

KEYS = ("key-a", "key-b", "key-c", "key-d")
TIMED_JOBS = 48  # 12 of each tenant
OCCURRENCES = 8760  # one in each hour of a year
HOUR_MS = 3_600_000
PLAIN_JOBS = 6
FINISH_SECONDS = 14.0  # finish_s
IDLE_SECONDS = 3.0
MIN_KILLS, MIN_MACHINES = 3, 2  # rule Fault
GRACE_SECONDS = 6.0  # beyond the bounds, before a job counts as lost


def never_started(case: Case, jobs: list[str]) -> list[str]:
    """Return the accepted jobs that no worker has ever started."""
    return [job for job in jobs if not any("start " in row and job in row for row in case.rows)]


async def run(case: Case) -> int:
    """Run the case."""
    await case.add_workers("assessor", 24, lambda *_: Ending(2.5))
    tenants = [
        {"name": f"t{number}", "api_keys": [key], "guaranteed": {"gpu": 32}}
        for number, key in enumerate(KEYS)
    ]
    case.write_config([{"name": "hoist", "service": "assessor", "priority": 0}], tenants)
    for _ in range(6):
        case.add_instance()
    await case.wait_ready("/hoist/", KEYS[0])
    case.tasks.append(asyncio.create_task(case.supervise()))
    if os.environ.get("TROUBLE", "1") != "0":
        step = {"count": 1, "cpu": 15_000, "mem_mb": 39_000, "gpu": 1, "est_runtime_ms": 2500}
        first = int(time.time() * 1000) + HOUR_MS
        for number in range(TIMED_JOBS):
            await case.submit(
                f"/hoist/{number:016x}",
                [step],
                KEYS[number % len(KEYS)],
                repeat_count=OCCURRENCES,
                first_run_ms=first,
                interval_ms=HOUR_MS,
            )
            await asyncio.sleep(0.25)
    accepted = []
    step = {"count": 3, "cpu": 15_000, "mem_mb": 39_000, "gpu": 1, "est_runtime_ms": 2500}
    for number in range(PLAIN_JOBS):
        job = f"{0xA0000000 + number:016x}"
        if await case.submit(f"/hoist/{job}", [step], KEYS[number % len(KEYS)]):
            accepted.append(job)
        await asyncio.sleep(1.0)
    traffic_ends = case.now()
    case.record("traffic_ends", accepted=len(accepted))
    while case.now() < traffic_ends + FINISH_SECONDS + IDLE_SECONDS + GRACE_SECONDS:
        await asyncio.sleep(0.5)
    lost = never_started(case, accepted)
    for job in accepted:
        await case.request("GET", f"/hoist/{job}", key=KEYS[0])
    kills = [item.memory_kills for item in case.instances]
    peaks = [round(item.peak_mb) for item in case.instances]
    is_fault = sum(count >= MIN_KILLS for count in kills) >= MIN_MACHINES
    case.record("result", never_started=lost, memory_kills=kills, peaks_mb=peaks, fault=is_fault)
    print(f"never started: {len(lost)} of {len(accepted)}; kills {kills}; peaks {peaks} MB")
    if not accepted:
        return 2
    return 1 if lost or is_fault else 0


if __name__ == "__main__":
    sys.exit(start_case(FOLDER, run))
