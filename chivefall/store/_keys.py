"""Names of the keys in the platform's store."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivefall.model import AccountId, DomainId, IdempotencyKey, JobId, Revision

__all__ = [
    "CLAIMS_SHARDS",
    "DOCUMENT_KEY",
    "HISTORY_PREFIX",
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
CLAIMS_SHARDS = 4096
"""Parts of the claims that are listed one at a time, by the first three hex digits."""


def history_key(revision: Revision) -> str:
    """Return the key of a revision's audit record; keys sort by revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def leader_key(domain: DomainId) -> str:
    """Return the key that the leader of a failure domain holds under a lease."""
    return f"leaders/{domain}"


def jobs_prefix(domain: DomainId) -> str:
    """Return the prefix of all job records of a failure domain."""
    return f"jobs/{domain}/"


def job_key(domain: DomainId, job_id: JobId) -> str:
    """Return the key of a job record."""
    return f"{jobs_prefix(domain)}{job_id}"


def claim_key(account: AccountId, key: IdempotencyKey) -> str:
    """Return the key of an idempotency claim.

    The caller's key may hold any character, so its digest is used.
    """
    digest = blake2b(f"{account}\0{key}".encode(), digest_size=KEY_DIGEST_BYTES)
    return f"claims/{digest.hexdigest()}"


def claims_prefix(shard: int) -> str:
    """Return the prefix of one shard of the claims."""
    return f"claims/{shard:03x}"
