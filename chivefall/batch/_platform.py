"""Interface for decoding what the platform stores."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivefall.batch._model import Catalog, WorkerEntry
    from chivefall.model import DomainId, WorkerId

__all__ = ["PlatformCodec"]


class PlatformCodec(ABC):
    """Decodes what operators and workers write to the store.

    Attributes
    ----------
    catalog_key, operator_prefix, worker_prefix : str
        Key of the desired state, and key prefixes of the operators and of the workers.
    """

    catalog_key: str
    operator_prefix: str
    worker_prefix: str

    @abstractmethod
    def decode_catalog(self, value: bytes) -> Catalog:
        """Return the desired state.

        Raises
        ------
        MessageError
            If it cannot be read.
        """

    @abstractmethod
    def domain_out_of_service(self, key: str) -> DomainId | None:
        """Return the failure domain that a key takes out of service, or None."""

    @abstractmethod
    def worker_id(self, key: str) -> WorkerId:
        """Return the worker that a key belongs to."""

    @abstractmethod
    def decode_worker(self, key: str, value: bytes) -> WorkerEntry:
        """Return a worker's entry.

        Raises
        ------
        MessageError
            If it does not describe a usable worker.
        """
