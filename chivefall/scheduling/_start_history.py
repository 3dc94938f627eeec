"""Commands whose jobs take long to become checkpointable after their start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from chivefall.model import AccountId, JobId, JobSpec
    from chivefall.scheduling._cluster import RunningJob

__all__ = ["StartHistory"]

SLOW_START_SECONDS = 10.0  # a job that is not checkpointable for longer delays reclaims
SLOW_START_EXPIRY_SECONDS = 3600.0  # after which a command may borrow freely again
MAX_COMMANDS = 1000  # pairs of account and command; bounds the memory use


class StartHistory:
    """Records how long jobs take to become checkpointable, by account and command."""

    def __init__(self) -> None:
        self._starting_since: dict[JobId, float] = {}
        self._slow_commands: dict[tuple[AccountId, str], float] = {}
        self._now = 0.0

    def observe(self, running: Iterable[RunningJob], now: float) -> None:
        """Update the history from the running jobs of one scheduling round."""
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
        """Return whether a recent job of this command was slow to become checkpointable."""
        return (spec.account, spec.command) in self._slow_commands
