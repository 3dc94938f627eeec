"""Names of the keys in the platform's store."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from chivefall.model import AccountId, DomainId, IdempotencyKey, JobId, Revision

__all__ = [
    "CLAIMS_SHARDS",
    "DOCUMENT_KEY",
    "HISTORY_PREFIX",
    "JOB_SHARDS",
    "claim_key",
    "claims_prefix",
    "history_key",
    "job_key",
    "jobs_prefix",
    "leader_key",
]

DOCUMENT_KEY = "document"
HISTORY_PREFIX = "history/"
KEY_DIGEST_BYTES = 16
JOB_SHARDS = 64
"""Parts in which job records are listed.

A day's records of a domain at the target size, 800 of up to 64 KB, are about
0.8 MB for each part; the store's limit is 1 MB.
"""
CLAIMS_SHARDS = 4096
"""Parts of the claims that are listed one at a time, by the first three hex digits."""


def history_key(revision: Revision) -> str:
    """Return the key of a revision's audit record; keys sort by revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def leader_key(domain: DomainId) -> str:
    """Return the key that the leader of a failure domain holds under a lease."""
    return f"leaders/{domain}"


def jobs_prefix(domain: DomainId, shard: int) -> str:
    """Return the prefix of one part of a failure domain's job records."""
    return f"jobs/{domain}/{shard:02d}/"


def job_key(domain: DomainId, job_id: JobId) -> str:
    """Return the key of a job record."""
    return f"{jobs_prefix(domain, crc32(job_id.encode()) % JOB_SHARDS)}{job_id}"


def claim_key(account: AccountId, key: IdempotencyKey) -> str:
    """Return the key of an idempotency claim.

    The caller's key may hold any character, so its digest is used.
    """
    digest = blake2b(f"{account}\0{key}".encode(), digest_size=KEY_DIGEST_BYTES)
    return f"claims/{digest.hexdigest()}"


def claims_prefix(shard: int) -> str:
    """Return the prefix of one shard of the claims."""
    return f"claims/{shard:03x}"
