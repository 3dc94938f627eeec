"""Times of the batch controllers and policies, derived from the platform's bounds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from chivefall.errors import ConfigError

if TYPE_CHECKING:
    from chivefall.config import PlatformBounds

__all__ = ["LEASE_EXTENSION_GRACE_SECONDS", "MIN_CLOCK_RATE", "START_ATTEMPTS", "BatchTiming"]

MAX_RUN_LEASE_SECONDS = 5.5  # longer leases delay the restart of runs on unreachable workers
LEASE_CLOCK_MARGIN_SECONDS = 0.5  # a leader may overestimate the worker's clock
MIN_RUN_LEASE_SECONDS = 1.5
POLLS_PER_LEASE = 4  # a poll may be lost and the leader replaced before a lease ends
POLL_WAIT_SECONDS = 0.75
MAX_POLL_WAIT_SECONDS = 2.0  # longest wait that the platform's workers accept
LEASE_EXTENSION_GRACE_SECONDS = 5.0
"""Time after the end of the leader lease in which run leases are still extended.

Together with the last run leases it bridges a store outage of about 12 s.
"""
MIN_CLOCK_RATE = 0.98  # the platform allows worker clocks to run 2 % slow
ORPHAN_MARGIN_SECONDS = 0.4
START_ATTEMPTS = 3
GANG_ASSIGNMENT_SECONDS = 0.6  # from the first member's start until the last one is sent
MAX_START_TIMEOUT_SECONDS = 0.8
MIN_START_TIMEOUT_SECONDS = 0.2
STOP_REPORT_SECONDS = 0.3  # from the end of a stop until a report shows it
START_SECONDS = 0.8  # from the decision on a guaranteed start until all its tasks run
MAX_GUARANTEE_PREEMPTION_SECONDS = 1.0  # urgent runs are short and often end within this time
MAX_GUARANTEE_SPREAD_SECONDS = 1.9
RECORD_AND_START_SECONDS = 0.3  # from the end of a run until the next one works
CATALOG_AGE_FRACTION = 0.7  # of the time limit for a revoked key; the rest is for the request
MAX_CATALOG_AGE_SECONDS = 3.5
WATCH_RESPONSE_SECONDS = 0.5  # of the two consecutive watches that a catalog may be old
MIN_WATCH_SECONDS = 0.25
RETENTION_FACTOR = 1.5  # of the time for which the platform asks for the status of final jobs


@dataclass(frozen=True)
class BatchTiming:
    """Times in seconds.

    Attributes
    ----------
    run_lease : float
        Lease that each call grants to a worker's runs.
    max_lease : float
        Longest lease that an earlier leader may have granted.
    longest_lease : float
        Longest lease that a worker accepts.
    poll_wait, max_poll_wait : float
        Wait of a long poll in small fleets and in large ones; also the age limit of
        reported progress.
    orphan_timeout : float
        Time after a takeover by which runs on workers that were never reached have ended.
    start_timeout : float
        Timeout of one attempt to start a run.
    stop_completion : float
        Time after a confirmed stop from which a report that does not list the run proves
        its end.
    guarantee_preemption : float
        Wait after which a guaranteed group may preempt other urgent runs.
    guarantee_spread : float
        Wait after which a guaranteed group accepts a slow placement.
    restart : float
        Time to stop a run, record the next one and start it, without the checkpoint's.
    restore : float
        Time to resume from a checkpoint.
    checkpoint_loss : float
        Work time that a stop costs a checkpointed task at most.
    max_catalog_age : float
        Age up to which the catalog may be used without reading it again.
    watch_wait : float
        Wait of a watch; each response confirms the copy.
    job_retention : float
        Time for which final jobs are kept.
    remote_slowdown : float
        Run time away from the data or across racks, relative to local.
    """

    run_lease: float
    max_lease: float
    longest_lease: float
    poll_wait: float
    max_poll_wait: float
    orphan_timeout: float
    start_timeout: float
    stop_completion: float
    guarantee_preemption: float
    guarantee_spread: float
    restart: float
    restore: float
    checkpoint_loss: float
    max_catalog_age: float
    watch_wait: float
    job_retention: float
    remote_slowdown: float

    @classmethod
    def from_bounds(cls, bounds: PlatformBounds) -> BatchTiming:
        """Return the times for a deployment's bounds.

        Raises
        ------
        ConfigError
            If a bound is too short for the calls that it has to cover.
        """
        max_lease = bounds.max_run_lease_ms / 1000
        run_lease = min(MAX_RUN_LEASE_SECONDS, max_lease - LEASE_CLOCK_MARGIN_SECONDS)
        _check("max_run_lease_ms", run_lease, MIN_RUN_LEASE_SECONDS, LEASE_CLOCK_MARGIN_SECONDS)
        start_timeout = (bounds.gang_wait_ms / 1000 - GANG_ASSIGNMENT_SECONDS) / START_ATTEMPTS
        _check(
            "gang_wait_ms",
            start_timeout * START_ATTEMPTS,
            MIN_START_TIMEOUT_SECONDS * START_ATTEMPTS,
            GANG_ASSIGNMENT_SECONDS,
        )
        max_catalog_age = min(
            MAX_CATALOG_AGE_SECONDS, CATALOG_AGE_FRACTION * bounds.key_revocation_ms / 1000
        )
        watch_wait = (max_catalog_age - WATCH_RESPONSE_SECONDS) / 2
        _check("key_revocation_ms", watch_wait, MIN_WATCH_SECONDS, WATCH_RESPONSE_SECONDS)
        stop, restore = bounds.stop_grace_ms / 1000, bounds.checkpoint_restore_ms / 1000
        guaranteed = bounds.guaranteed_start_ms / 1000
        return cls(
            run_lease=run_lease,
            max_lease=min(max_lease, run_lease + LEASE_CLOCK_MARGIN_SECONDS),
            longest_lease=max_lease,
            poll_wait=min(POLL_WAIT_SECONDS, run_lease / POLLS_PER_LEASE),
            max_poll_wait=min(MAX_POLL_WAIT_SECONDS, run_lease / POLLS_PER_LEASE),
            orphan_timeout=LEASE_EXTENSION_GRACE_SECONDS
            + run_lease / MIN_CLOCK_RATE
            + ORPHAN_MARGIN_SECONDS,
            start_timeout=min(MAX_START_TIMEOUT_SECONDS, start_timeout),
            stop_completion=stop + STOP_REPORT_SECONDS,
            guarantee_preemption=max(
                0.0, min(MAX_GUARANTEE_PREEMPTION_SECONDS, guaranteed - stop - START_SECONDS)
            ),
            guarantee_spread=max(
                0.0, min(MAX_GUARANTEE_SPREAD_SECONDS, guaranteed - START_SECONDS)
            ),
            restart=stop + RECORD_AND_START_SECONDS,
            restore=restore,
            checkpoint_loss=stop + restore,
            max_catalog_age=max_catalog_age,
            watch_wait=watch_wait,
            job_retention=RETENTION_FACTOR * bounds.status_retention,
            remote_slowdown=bounds.remote_slowdown,
        )


def _check(name: str, seconds: float, minimum: float, margin: float) -> None:
    if seconds < minimum:
        raise ConfigError(
            f"batch.bounds.{name} leaves {max(0.0, seconds):.2f} s of the {minimum:.2f} s needed",
            f"the platform has to allow at least {1000 * (minimum + margin):.0f} ms",
        )
