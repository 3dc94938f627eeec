"""Planning of a change: owners, conflicts, rebasing and audit records."""

from __future__ import annotations

import unittest
from dataclasses import replace

from chivefall.document import (
    ChangeConflict,
    ChangeDenied,
    ChangeInvalid,
    ChangePlanned,
    ChangeRequest,
    ChangeUnneeded,
    DocumentEdit,
    DomainEdit,
    Edit,
    SectionEdit,
    plan_change,
)
from chivefall.model import (
    Account,
    AccountId,
    Document,
    DomainId,
    DomainState,
    Guarantee,
    Revision,
    Section,
    Service,
    ServiceId,
    TeamId,
)

FARMERS, BUYERS = AccountId("farmers"), AccountId("buyers")
ZARCERO = DomainId("zarcero")
BASE = Document(
    Revision(4),
    {FARMERS: Account(), BUYERS: Account()},
    (Guarantee(FARMERS),),
    {ZARCERO: DomainState.IN_SERVICE},
    owners={
        Section.ACCOUNTS: (TeamId("planners"),),
        Section.FAILURE_DOMAINS: (TeamId("staff"), TeamId("planners")),
        Section.OWNERS: (TeamId("heads"),),
    },
)
MORE_ACCOUNTS = SectionEdit(Section.ACCOUNTS, {**BASE.accounts, AccountId("sorting"): Account()})
OUT = DomainEdit(ZARCERO, DomainState.OUT_OF_SERVICE)


def plan(edit: Edit, team: str = "planners", base: int = 4, current: Document = BASE):
    """Plan a team's change."""
    return plan_change(current, ChangeRequest(TeamId(team), Revision(base), edit, "id", "why"), 9.0)


class PlanChangeTest(unittest.TestCase):
    def test_accepted_change_carries_its_audit_record(self) -> None:
        """Guards against a change without an audit record."""
        planned = plan(MORE_ACCOUNTS)
        self.assertIsInstance(planned, ChangePlanned)
        change = planned.document.last_change
        self.assertEqual((planned.document.revision, change.revision, change.base), (5, 5, 4))
        self.assertEqual((change.team, change.made_at, change.reason), ("planners", 9.0, "why"))
        self.assertEqual(change.sections, (Section.ACCOUNTS,))
        self.assertRegex(change.diff[0], r"accounts.sorting: - -> \{.*max_acc")

    def test_only_owners_change_a_section(self) -> None:
        """Guards against a team that edits a section of another team."""
        for edit, team, allowed in (
            (MORE_ACCOUNTS, "staff", False),
            (OUT, "staff", True),
            (OUT, "heads", False),
            (SectionEdit(Section.OWNERS, {Section.OWNERS: (TeamId("staff"),)}), "staff", False),
            (SectionEdit(Section.SERVICES, {ServiceId("s"): Service(FARMERS)}), "heads", False),
            (DocumentEdit(replace(BASE, accounts=MORE_ACCOUNTS.content)), "staff", False),
        ):
            with self.subTest(edit=edit, team=team):
                expected = ChangePlanned if allowed else ChangeDenied
                self.assertIsInstance(plan(edit, team), expected)
        self.assertIsInstance(
            plan(DocumentEdit(BASE), "anyone", 0, Document()), ChangePlanned, "the first document"
        )

    def test_racing_change_of_the_same_section_conflicts(self) -> None:
        """Guards against reverting a concurrent change that was written first."""
        winner = plan(MORE_ACCOUNTS).document
        smaller = SectionEdit(Section.ACCOUNTS, {FARMERS: Account()})
        for edit in (smaller, DocumentEdit(BASE)):
            outcome = plan(edit, base=4, current=winner)
            self.assertIsInstance(outcome, ChangeConflict)
            self.assertEqual((outcome.base, outcome.current), (4, 5))
            self.assertIn(Section.ACCOUNTS, outcome.sections)
        self.assertIsInstance(plan(smaller, base=5, current=winner), ChangePlanned)
        self.assertIsInstance(plan(smaller, base=6, current=winner), ChangeConflict, "future base")

    def test_racing_change_of_another_section_is_kept(self) -> None:
        """Guards against rejecting or reverting concurrent edits of different sections."""
        taken_out = plan(OUT, "staff").document
        both = plan(MORE_ACCOUNTS, base=4, current=taken_out).document
        self.assertEqual(both.revision, 6)
        self.assertFalse(both.is_in_service(ZARCERO))
        self.assertIn("sorting", both.accounts)

    def test_domain_edit_rebases_over_edits_of_its_section(self) -> None:
        """Guards against rejecting an out-of-service edit because its section was edited."""
        more = {**BASE.failure_domains, DomainId("tarrazu"): DomainState.IN_SERVICE}
        raced = plan(SectionEdit(Section.FAILURE_DOMAINS, more)).document
        out = plan(OUT, "staff", base=4, current=raced).document
        self.assertEqual(list(out.failure_domains), ["zarcero", "tarrazu"])
        self.assertFalse(out.is_in_service(ZARCERO))
        self.assertIsInstance(plan(OUT, "staff", base=0, current=out), ChangeUnneeded)
        unknown = plan(DomainEdit(DomainId("nowhere"), DomainState.IN_SERVICE), "staff")
        self.assertIsInstance(unknown, ChangeInvalid)

    def test_invalid_results_are_rejected(self) -> None:
        """Guards against removing an account with a guarantee, and against oversized documents."""
        removed = plan(SectionEdit(Section.ACCOUNTS, {BUYERS: Account()}))
        self.assertIsInstance(removed, ChangeInvalid)
        self.assertRegex(f"{removed.problem} {removed.remedy}", r"guarantees\[0\].*remove the guar")
        many = {**BASE.accounts, **{AccountId(f"a{n}"): Account() for n in range(20_000)}}
        self.assertRegex(plan(SectionEdit(Section.ACCOUNTS, many)).problem, "bytes")
        diff = plan(SectionEdit(Section.ACCOUNTS, dict(list(many.items())[:900]))).document
        self.assertLess(sum(map(len, diff.last_change.diff)), 4000)
