"""Changes of the document and their distribution (G9) in a simulated region."""

from __future__ import annotations

import unittest
from collections import Counter
from unittest import mock

from chivefall.controllers.document import _history
from chivefall.document import (
    ChangeAccepted,
    ChangeConflict,
    ChangeNotMade,
    ChangeUnknown,
    DocumentEdit,
    DomainEdit,
    SectionEdit,
    decode_document,
    encode_document,
)
from chivefall.model import (
    Account,
    AccountId,
    DomainId,
    DomainState,
    InstanceId,
    Revision,
    Section,
    TeamId,
)
from chivefall.runtime import Future, spawn
from chivefall.store import DOCUMENT_KEY, HISTORY_PREFIX, Unavailable
from standins.cluster import Cluster

TEAM = TeamId("staff")
ZARCERO, TARRAZU = DomainId("zarcero"), DomainId("tarrazu")
FIRST, SECOND, THIRD = map(InstanceId, ("zarcero-1", "tarrazu-2", "cartago-1"))
OUT = DomainEdit(ZARCERO, DomainState.OUT_OF_SERVICE)
REFUSED = Unavailable("refused by the test")


class DocumentTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster(workers_per_domain=0)
        self.cluster.advance(5)
        self.apps = self.cluster.applications

    def change(self, name: InstanceId, edit, base: int | None = None):
        """Apply a change through an instance and return its outcome."""
        document = self.apps[name].document
        base = document.revision if base is None else Revision(base)
        return self.cluster.run(document.change(TEAM, base, edit, "test"))

    def add_account(self, name: InstanceId, account: str, base: int | None = None):
        """Add an account through an instance."""
        accounts = {**self.apps[name].document.document.accounts, AccountId(account): Account()}
        return self.change(name, SectionEdit(Section.ACCOUNTS, accounts), base)

    def stored(self):
        """Return the document in the store."""
        return decode_document(self.cluster.state.get(DOCUMENT_KEY).value)

    def history(self) -> list[str]:
        """Return the keys of the audit records in the store."""
        return [key for key, _ in self.cluster.state.list(HISTORY_PREFIX)]

    def revisions(self) -> set[int]:
        """Return the revisions in force."""
        return {app.document.revision for app in self.apps.values()}

    def refuse_puts(self, name: InstanceId, prefix: str) -> None:
        """Let an instance's writes to keys with a prefix fail before they take effect."""
        store = self.cluster.stores[name]
        put = store.put

        async def refuse(key, *args):
            return REFUSED if key.startswith(prefix) else await put(key, *args)

        store.put = refuse


class DistributionTest(DocumentTestCase):
    def test_change_is_in_force_everywhere_through_peers(self) -> None:
        """Guards against instances that need a store read for a change, or never receive it."""
        calls = self.count_reads()
        outcome = self.change(SECOND, OUT)
        self.assertIsInstance(outcome, ChangeAccepted)
        self.cluster.advance(0.1)
        self.assertEqual(self.revisions(), {2})
        self.assertFalse(calls[FIRST] + calls[THIRD], "an instance read the store")

    def count_reads(self) -> Counter:
        """Return a counter of the reads of the document by instance."""
        counter: Counter = Counter()
        for name, store in self.cluster.stores.items():

            async def get(key, known=None, name=name, get=store.get):
                counter[name] += key == DOCUMENT_KEY
                return await get(key, known)

            store.get = get
        return counter

    def test_only_leaders_read_the_store(self) -> None:
        """Guards against store calls that grow with the number of instances.

        6 instances in 3 domains must read 3 times per second, not 6 times.
        """
        counter = self.count_reads()
        self.cluster.advance(60)
        leaders = {name for name, app in self.apps.items() if app.leader.leads}
        self.assertEqual(len(leaders), 3)
        self.assertEqual(sum(counter.values()), 180)
        self.assertEqual(set(+counter), leaders)
        self.assertTrue(all(app.document.may_start_tasks(0) for app in self.apps.values()))
        counter.clear()
        for store in self.cluster.stores.values():
            store.down = True
        self.cluster.advance(20)
        self.assertLessEqual(
            sum(counter.values()), 6 * 20, "more than one read per second and instance"
        )

    def test_instance_without_peers_reads_the_store_itself(self) -> None:
        """Guards against an instance that depends on peers for its confirmation."""
        name = next(name for name, app in self.apps.items() if not app.leader.leads)
        self.cluster.network.cut = {frozenset((name, other)) for other in self.apps}
        counter = self.count_reads()
        for _ in range(20):
            self.cluster.advance(0.5)
            self.assertTrue(self.apps[name].document.may_start_tasks(0))
        self.assertGreaterEqual(counter[name], 3)

    def test_late_or_invalid_responses_of_peers_are_ignored(self) -> None:
        """Guards against reverting to a slow peer's revision and adopting an invalid document."""
        controller = self.apps[FIRST].document
        self.change(FIRST, OUT)
        for response in (
            {"document": encode_document(self.cluster.document), "confirmed_age": 0.0},
            {"document": b"{", "confirmed_age": 0.0},
            {"confirmed_age": 0.0},
        ):
            response_fut: Future = Future()
            response_fut.set_result(response)
            with mock.patch.object(controller._peers, "call", return_value=response_fut):
                self.cluster.run(controller._fetch(SECOND))
            self.assertEqual(controller.document, self.stored())

    def test_invalid_or_lower_stored_revision_keeps_the_old_one(self) -> None:
        """Guards against reverting or dropping the document, and against an unrepairable store."""
        self.change(FIRST, OUT)
        for value in (b'{"revision": 7, "accounts": 3}', encode_document(self.cluster.document)):
            with self.subTest(value[:20]):
                item = self.cluster.state.get(DOCUMENT_KEY)
                in_force = self.apps[FIRST].document.document
                self.cluster.state.put(DOCUMENT_KEY, value, item.version, None)
                self.cluster.advance(6)
                self.assertEqual(self.revisions(), {in_force.revision})
                self.assertFalse(any(app.document.may_start_tasks(0) for app in self.apps.values()))
                self.assertIsInstance(self.add_account(FIRST, "x"), ChangeNotMade)
                outcome = self.change(FIRST, DocumentEdit(in_force))
                self.assertIsInstance(outcome, ChangeAccepted)
                self.cluster.advance(3)
                self.assertEqual(self.revisions(), {outcome.revision})
                self.assertTrue(all(app.document.may_start_tasks(0) for app in self.apps.values()))


class ChangeTest(DocumentTestCase):
    def test_loser_gets_both_revisions_and_the_changes_between(self) -> None:
        """Guards against a lost race that reverts the winner or is not explained."""
        self.add_account(FIRST, "winner")
        self.change(SECOND, OUT)
        outcome = self.add_account(THIRD, "loser", base=1)
        self.assertIsInstance(outcome, ChangeConflict)
        self.assertEqual((outcome.base, outcome.current), (1, 3))
        self.assertEqual([change.revision for change in outcome.changes], [2])
        self.assertIn("accounts.winner", outcome.changes[0].diff[0])
        self.assertNotIn("loser", self.stored().accounts)

    def test_racing_edits_of_different_sections_are_all_kept(self) -> None:
        """Guards against a compare-and-swap that is not retried on the winner's revision."""
        for store in self.cluster.stores.values():
            store.delay = 0.05
        accounts = {**self.stored().accounts, AccountId("new"): Account()}
        edits = [
            (FIRST, OUT),
            (SECOND, SectionEdit(Section.ACCOUNTS, accounts)),
            (THIRD, DomainEdit(TARRAZU, DomainState.OUT_OF_SERVICE)),
        ]
        futures = [
            spawn(self.apps[name].document.change(TEAM, Revision(1), edit)) for name, edit in edits
        ]
        self.cluster.advance(5)
        self.assertEqual(sorted(fut.result().revision for fut in futures), [2, 3, 4])
        stored = self.stored()
        self.assertIn("new", stored.accounts)
        self.assertFalse(stored.is_in_service(ZARCERO) or stored.is_in_service(TARRAZU))
        self.assertEqual(self.revisions(), {4})

    def test_lost_reply_is_resolved(self) -> None:
        """Guards against reporting a stored change as not made, or applying it twice."""
        self.cluster.stores[FIRST].lose_replies = 1
        outcome = self.change(FIRST, OUT)
        self.assertIsInstance(outcome, ChangeAccepted)
        self.assertEqual(self.stored().last_change.change_id, outcome.change_id)
        self.assertEqual(self.stored().revision, 2)

    def test_lost_reply_is_resolved_after_the_next_change(self) -> None:
        """Guards against reporting an overwritten change as not made."""
        self.cluster.stores[FIRST].lose_replies = 1
        document = self.apps[FIRST].document
        first = spawn(document.change(TEAM, Revision(1), OUT))
        self.assertFalse(first.done())
        self.assertIsInstance(self.add_account(SECOND, "next", base=1), ChangeAccepted)
        self.cluster.advance(2)
        self.assertIsInstance(first.result(), ChangeAccepted)
        self.assertEqual(first.result().revision, 2)
        self.assertEqual(self.revisions(), {3})

    def test_unknown_outcome_is_reported_and_forbids_starts(self) -> None:
        """Guards against a false outcome, and against starts while the change may be stored."""
        self.cluster.stores[FIRST].lose_replies = 1
        first = spawn(self.apps[FIRST].document.change(TEAM, Revision(1), OUT))
        for store in self.cluster.stores.values():
            store.down = True
        self.cluster.advance(10)
        self.assertIsInstance(first.result(), ChangeUnknown)
        self.assertEqual(self.stored().last_change.change_id, first.result().change_id)
        self.assertFalse(any(app.document.may_start_tasks(0) for app in self.apps.values()))
        self.apps[FIRST].stop_controllers()
        self.cluster.process_events()
        self.cluster.kill(FIRST)
        self.cluster.advance(10)
        self.assertFalse(any(app.document.may_start_tasks(0) for app in self.apps.values()))
        for store in self.cluster.stores.values():
            store.down = False
        self.cluster.advance(3)
        self.assertEqual(self.revisions(), {2})
        self.assertTrue(all(app.document.may_start_tasks(0) for app in self.apps.values()))

    def test_store_down_means_nothing_was_written(self) -> None:
        """Guards against reporting an unknown outcome when nothing can have been written."""
        self.cluster.stores[FIRST].down = True
        self.assertIsInstance(self.change(FIRST, OUT), ChangeNotMade)
        self.apps[SECOND].stop_controllers()
        self.assertIsInstance(self.change(SECOND, OUT), ChangeNotMade)
        self.assertEqual(self.stored().revision, 1)


class HistoryTest(DocumentTestCase):
    def test_leader_writes_the_record_of_a_crashed_instance(self) -> None:
        """Guards against losing the audit record if the process crashes before writing it."""
        self.refuse_puts(FIRST, HISTORY_PREFIX)
        leader = self.cluster.leader(ZARCERO)
        self.assertIsInstance(self.change(FIRST, OUT), ChangeAccepted)
        self.cluster.kill(FIRST)
        self.cluster.advance(2)
        self.assertEqual(self.history(), ["history/000000000002"], leader.cfg.instance)

    def test_next_change_writes_the_record_first(self) -> None:
        """Guards against overwriting the only copy of an audit record."""
        for name in self.apps:
            if name != SECOND:
                self.refuse_puts(name, HISTORY_PREFIX)
        self.apps[SECOND].document._tick = lambda _: None
        self.assertIsInstance(self.change(FIRST, OUT), ChangeAccepted)
        self.assertEqual(self.history(), [])
        self.assertIsInstance(self.add_account(THIRD, "x"), ChangeNotMade)
        self.assertIsInstance(self.add_account(SECOND, "x"), ChangeAccepted)
        self.assertIn("history/000000000002", self.history())
        records = self.cluster.run(self.apps[SECOND].document.history(10))
        self.assertEqual([record.revision for record in records], [3, 2])
        self.assertEqual((records[1].team, records[1].reason), (TEAM, "test"))

    def test_history_is_bounded(self) -> None:
        """Guards against a history that grows without limit."""
        limit = _history.MAX_RECORDS
        self.addCleanup(setattr, _history, "MAX_RECORDS", limit)
        _history.MAX_RECORDS = 20
        for number in range(110):
            self.add_account(FIRST, f"a{number % 2}-{number}")
        self.assertEqual(self.history()[0], "history/000000000081")
        self.assertEqual(len(self.history()), 31)
