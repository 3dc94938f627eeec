"""Distribution of the guarantees over the failure domains in service."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from chivefall.model import Document, DomainId, Guarantee

__all__ = ["guarantee_shares"]

MAX_REMAINDER_LOAD_FACTOR = 1.25
"""Domains whose remainder load stays within this multiple of the average are chosen first."""


def guarantee_shares(document: Document, domain: DomainId) -> tuple[Guarantee, ...]:
    """Return each guarantee with the number of gangs that a failure domain must honour.

    Every domain in service gets the same whole number of gangs. The remainder is
    assigned by rendezvous hashing of guarantee and domain with bounded load, so
    that few gangs move when a domain leaves or returns.
    """
    domains = sorted(item for item in document.failure_domains if document.is_in_service(item))
    if domain not in domains:
        return ()
    counts = _gang_counts(document.guarantees, domains)
    return tuple(
        replace(guarantee, gangs=counts[index, domain])
        for index, guarantee in enumerate(document.guarantees)
        if counts[index, domain]
    )


def _gang_counts(
    guarantees: tuple[Guarantee, ...], domains: list[DomainId]
) -> Counter[tuple[int, DomainId]]:
    counts: Counter[tuple[int, DomainId]] = Counter()
    load: Counter[DomainId] = Counter()
    names = _stable_names(guarantees)
    sizes = [item.gang_size * item.accelerators for item in guarantees]
    remainders = [item.gangs % len(domains) for item in guarantees]
    total = sum(size * rest for size, rest in zip(sizes, remainders, strict=True))
    limit = MAX_REMAINDER_LOAD_FACTOR * total / len(domains)
    for index, guarantee in enumerate(guarantees):
        for item in domains:
            counts[index, item] = guarantee.gangs // len(domains)
    for index in sorted(range(len(names)), key=lambda item: (-sizes[item], names[item])):
        ranked = sorted(domains, key=lambda item: _rendezvous_hash(names[index], item))
        fitting = [item for item in ranked if load[item] + sizes[index] <= limit]
        others = sorted((item for item in ranked if item not in fitting), key=load.__getitem__)
        for item in [*fitting, *others][: remainders[index]]:
            counts[index, item] += 1
            load[item] += sizes[index]
    return counts


def _stable_names(guarantees: tuple[Guarantee, ...]) -> list[str]:
    """Return a name for each guarantee that is independent of the order in the document."""
    seen: Counter[str] = Counter()
    names = []
    for item in guarantees:
        shape = f"{item.account}/{item.gang_size}x{item.accelerators}/{item.adjacency.value}"
        names.append(f"{shape}/{seen[shape]}")
        seen[shape] += 1
    return names


def _rendezvous_hash(name: str, domain: DomainId) -> bytes:
    return blake2b(f"{name}\0{domain}".encode(), digest_size=8).digest()
