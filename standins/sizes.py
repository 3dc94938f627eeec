"""Sizes of the predefined deployments."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ASSESSOR", "BOOKING", "DEPLOYMENTS", "DeploymentSize"]


@dataclass(frozen=True)
class DeploymentSize:
    """Failure domains, workers and accounts of one region.

    Attributes
    ----------
    one_way_latency : float
        Network delay between failure domains in seconds.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    accounts: tuple[str, ...]
    service: str
    cores: int
    memory_gb: int
    one_way_latency: float
    workers: int = 24
    accelerators: int = 8
    workers_per_rack: int = 8
    slots: int = 8
    entry_instances_per_domain: int = 2


BOOKING = DeploymentSize(
    "booking",
    "meseta-central",
    ("zarcero", "tarrazu", "cartago"),
    ("farmers", "captains", "buyers", "sorting"),
    "booking",
    cores=32,
    memory_gb=128,
    one_way_latency=0.0005,
)
ASSESSOR = DeploymentSize(
    "assessor",
    "sk-central",
    ("zilina", "banska", "martin"),
    ("crews", "venues", "insurers", "reports"),
    "assessor",
    cores=128,
    memory_gb=256,
    one_way_latency=0.0009,
)
DEPLOYMENTS = {size.name: size for size in (BOOKING, ASSESSOR)}
