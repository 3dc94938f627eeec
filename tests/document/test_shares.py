"""Guarantee shares; every domain must compute the same distribution."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.document import guarantee_shares
from chivefall.model import AccountId, Document, DomainId, DomainState, Guarantee, Revision

GUARANTEES = st.lists(
    st.builds(
        Guarantee,
        st.sampled_from([AccountId(name) for name in "abcdef"]),
        gangs=st.integers(0, 20),
        gang_size=st.integers(1, 16),
        accelerators=st.integers(1, 8),
    ),
    max_size=8,
).map(tuple)


def document(guarantees: tuple[Guarantee, ...], count: int) -> Document:
    """Return a document with ``count`` failure domains in service."""
    states = {DomainId(f"d{number}"): DomainState.IN_SERVICE for number in range(count)}
    return Document(Revision(1), guarantees=guarantees, failure_domains=states)


def shares(doc: Document) -> Counter:
    """Return the number of gangs per guarantee shape and failure domain."""
    counts: Counter = Counter()
    for domain in doc.failure_domains:
        for share in guarantee_shares(doc, domain):
            counts[replace(share, gangs=0), domain] += share.gangs
    return counts


def without(doc: Document, domain: str) -> Document:
    """Return the document with a failure domain out of service."""
    states = {**doc.failure_domains, DomainId(domain): DomainState.OUT_OF_SERVICE}
    return replace(doc, failure_domains=states)


class GuaranteeSharesTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given(GUARANTEES, st.integers(1, 5), st.data())
    def test_sum_order_and_balance(self, guarantees, count, data) -> None:
        """Guards against gangs that no domain honours, and shares that depend on domain order."""
        doc = document(guarantees, count)
        division = shares(doc)
        for shape in {replace(item, gangs=0) for item in guarantees}:
            wanted = sum(item.gangs for item in guarantees if replace(item, gangs=0) == shape)
            got = [division[shape, domain] for domain in doc.failure_domains]
            self.assertEqual(sum(got), wanted)
        names = data.draw(st.permutations(list(doc.failure_domains)))
        shuffled = replace(doc, failure_domains=dict.fromkeys(names, DomainState.IN_SERVICE))
        self.assertEqual(shares(shuffled), division)

    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given(st.integers(0, 60), st.integers(2, 5), st.data())
    def test_only_the_gangs_of_a_leaving_domain_move(self, gangs, count, data) -> None:
        """Guards against a distribution that moves gangs of the other domains."""
        doc = document((Guarantee(AccountId("a"), gangs),), count)
        leaving = data.draw(st.sampled_from(sorted(doc.failure_domains)))
        before, after = shares(doc), shares(without(doc, leaving))
        for key, value in before.items():
            if key[1] != leaving:
                self.assertGreaterEqual(after[key], value)

    def test_many_guarantees_stay_balanced_and_move_little(self) -> None:
        """Guards against small guarantees that all end up in one domain."""
        guarantees = tuple(
            Guarantee(AccountId(f"a{number}"), 1, 8, 1 + number % 3) for number in range(35)
        )
        doc = document(guarantees, 3)
        load: Counter = Counter()
        for (shape, domain), gangs in shares(doc).items():
            load[domain] += gangs * shape.gang_size * shape.accelerators
        self.assertLessEqual(max(load.values()), 1.3 * sum(load.values()) / 3)
        before, after = shares(doc), shares(without(doc, "d1"))
        left = sum(gangs for key, gangs in before.items() if key[1] == "d1")
        moved = sum(max(0, after[key] - before[key]) for key in after)
        self.assertLessEqual(moved, left + 4)

    def test_domain_out_of_service_has_no_share(self) -> None:
        """Guards against a share that a domain out of service keeps."""
        doc = without(document((Guarantee(AccountId("a"), 5),), 2), "d0")
        self.assertEqual(guarantee_shares(doc, DomainId("d0")), ())
        self.assertEqual(guarantee_shares(doc, DomainId("d1"))[0].gangs, 5)
