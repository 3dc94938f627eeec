"""Keys in the platform's store."""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote
from zlib import crc32

from chivefall.model import AccountId, JobId

if TYPE_CHECKING:
    from chivefall.batch import QueueId
    from chivefall.model import DomainId, IdempotencyKey, Revision

__all__ = [
    "ADMISSION_PREFIX",
    "BATCH_JOBS_PREFIX",
    "CLAIM_SHARDS",
    "DOCUMENT_KEY",
    "HISTORY_PREFIX",
    "JOB_SHARDS",
    "WAITING_PREFIX",
    "BatchPart",
    "admission_key",
    "batch_key",
    "batch_prefix",
    "claim_key",
    "claims_prefix",
    "history_key",
    "job_key",
    "jobs_prefix",
    "leader_key",
    "parse_admission_key",
    "parse_batch_key",
    "parse_waiting_key",
    "waiting_key",
    "waiting_prefix",
]

DOCUMENT_KEY = "document"
HISTORY_PREFIX = "history/"
KEY_DIGEST_BYTES = 16
JOB_SHARDS = 64
"""Number of shards of a failure domain's job records; each is listed in one call.

At the target size a domain has 800 records of up to 64 KB a day, which is about
0.8 MB for each shard; the store's limit is 1 MB.
"""
CLAIM_SHARDS = 4096
"""Number of shards of the claims; the first three hex digits of a claim's digest select one."""


def history_key(revision: Revision) -> str:
    """Return the key of a revision's audit record; the keys sort by revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def leader_key(domain: DomainId) -> str:
    """Return the key that the leader of a failure domain holds under a lease."""
    return f"leaders/{domain}"


def jobs_prefix(domain: DomainId, shard: int) -> str:
    """Return the prefix of one shard of a failure domain's job records."""
    return f"jobs/{domain}/{shard:02d}/"


def job_key(domain: DomainId, job_id: JobId) -> str:
    """Return the key of a job record."""
    return f"{jobs_prefix(domain, crc32(job_id.encode()) % JOB_SHARDS)}{job_id}"


def claim_key(account: AccountId, key: IdempotencyKey) -> str:
    """Return the key of an idempotency claim.

    Contains a digest, because the caller's key may contain any character.
    """
    digest = blake2b(f"{account}\0{key}".encode(), digest_size=KEY_DIGEST_BYTES)
    return f"claims/{digest.hexdigest()}"


def claims_prefix(shard: int) -> str:
    """Return the prefix of one shard of the claims."""
    return f"claims/{shard:03x}"


BATCH_JOBS_PREFIX = "batch/"
WAITING_PREFIX = "waiting/"


class BatchPart(Enum):
    """A part of a batch job that has its own key; each part has one writer.

    ENDS: ends of runs that could not be applied, since a record of the job is invalid.
    """

    SPEC = "spec"
    CANCEL = "cancel"
    PROGRESS = "progress"
    ENDS = "ends"


def batch_prefix(job_id: JobId) -> str:
    """Return the prefix of a batch job's keys."""
    return f"{BATCH_JOBS_PREFIX}{quote(job_id, safe='')}/"


def batch_key(job_id: JobId, part: BatchPart) -> str:
    """Return the key of one part of a batch job."""
    return f"{batch_prefix(job_id)}{part.value}"


def parse_batch_key(key: str) -> tuple[str, BatchPart] | None:
    """Return the quoted job id and the part, or None for any other key."""
    _, _, rest = key.partition(BATCH_JOBS_PREFIX)
    name, _, part = rest.rpartition("/")
    try:
        return name, BatchPart(part)
    except ValueError:
        return None


def waiting_prefix(queue: QueueId) -> str:
    """Return the prefix of the markers of a queue's jobs that have not started."""
    return f"{WAITING_PREFIX}{quote(queue, safe='')}/"


def waiting_key(queue: QueueId, job_id: JobId) -> str:
    """Return the key of the marker that exists until a job starts."""
    return f"{waiting_prefix(queue)}{quote(job_id, safe='')}"


def parse_waiting_key(key: str) -> JobId:
    """Return the job id in a key made by ``waiting_key``."""
    return JobId(unquote(key.rpartition("/")[2]))


ADMISSION_PREFIX = "admission/"


def admission_key(account: AccountId) -> str:
    """Return the key that exists while submissions of an account are refused."""
    return f"{ADMISSION_PREFIX}{quote(account, safe='')}"


def parse_admission_key(key: str) -> AccountId:
    """Return the account in a key made by ``admission_key``."""
    return AccountId(unquote(key.removeprefix(ADMISSION_PREFIX)))
