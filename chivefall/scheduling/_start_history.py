"""Commands whose jobs cannot be checkpointed soon after their start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import AccountId, JobId, JobSpec
    from chivefall.scheduling._cluster import RunningJob

__all__ = ["StartHistory"]

SLOW_START_SECONDS = (
    10.0  # seconds without a checkpoint after which a job blocks a reclaim for long
)
SLOW_START_EXPIRY_SECONDS = 3600.0  # seconds after which such a command may borrow freely again
MAX_COMMANDS = 1000  # accounts and commands kept; bounds the memory of a daemon


class StartHistory:
    """Observes for how long jobs cannot be checkpointed."""

    def __init__(self) -> None:
        self._starting_since: dict[JobId, float] = {}
        self._slow_commands: dict[tuple[AccountId, str], float] = {}
        self._now = 0.0

    def observe(self, running: Iterable[RunningJob], now: float) -> None:
        """Note the running jobs of one round."""
        starting_since = {}
        self._now = now
        self._slow_commands = {
            key: at
            for key, at in self._slow_commands.items()
            if now - at < SLOW_START_EXPIRY_SECONDS
        }
        for job in running:
            key = (job.spec.account, job.spec.command)
            if job.checkpointing or not job.spec.idempotent:
                continue
            if job.checkpointable:
                if (
                    job.job_id in self._starting_since
                    and now - self._starting_since[job.job_id] < SLOW_START_SECONDS
                ):
                    self._slow_commands.pop(key, None)
                continue
            starting_since[job.job_id] = self._starting_since.get(job.job_id, now)
            if (
                now - starting_since[job.job_id] >= SLOW_START_SECONDS
                and len(self._slow_commands) < MAX_COMMANDS
            ):
                self._slow_commands[key] = now
        self._starting_since = starting_since

    def starts_slowly(self, spec: JobSpec) -> bool:
        """Return whether jobs of this command could not be checkpointed for long."""
        return (spec.account, spec.command) in self._slow_commands
