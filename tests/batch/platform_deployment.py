"""A batch deployment whose store holds entries and catalogs in the platform's format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from chivefall.platform import JsonPlatformCodec
from standins.platform import worker_body
from tests.batch.deployment import CATALOG_KEY, SERVICE, WORKER_PREFIX, Deployment

if TYPE_CHECKING:
    from chivefall.batch import ClientAccount, Queue
    from standins.run_workers import RunWorker

__all__ = ["PlatformDeployment", "catalog_body"]


def catalog_body(
    version: int, queues: tuple[Queue, ...], accounts: tuple[ClientAccount, ...]
) -> dict[str, Any]:
    """Return the platform's desired state."""
    return {
        "version": version,
        "routes": [
            {
                "name": queue.name,
                "host": queue.host,
                "prefix": queue.prefix,
                "service": queue.service,
                "priority": queue.priority,
                "max_attempts": queue.max_attempts,
                "stretch": queue.stretch,
                "target_latency_ms": queue.target_latency * 1000,
            }
            for queue in queues
        ],
        "services": [{"name": SERVICE}],
        "tenants": [
            {
                "name": account.name,
                "api_keys": sorted(account.keys),
                "guaranteed": {"gpu": account.guaranteed_accelerators},
            }
            for account in accounts
        ],
    }


class PlatformDeployment(Deployment):
    """A deployment whose instances decode entries and catalogs as on the platform."""

    def make_codec(self) -> JsonPlatformCodec:
        return JsonPlatformCodec()

    def set_catalog(self, version: int, queues=(), accounts=()) -> None:
        body = catalog_body(version, queues, accounts)
        self.write(CATALOG_KEY, msgspec.json.encode(body))

    def list_worker(self, worker: RunWorker) -> None:
        value = msgspec.json.encode(worker_body(worker.entry))
        self.write(WORKER_PREFIX + worker.entry.worker_id, value)
