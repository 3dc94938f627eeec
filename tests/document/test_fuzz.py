"""Fuzzes concurrent document changes under outages, lost replies, partitions and restarts.

G9: the accepted revisions form one increasing chain; no change in it is lost or
reverted; no instance goes back to a lower revision; all instances have the latest
revision soon after the faults end; and the reported outcomes are correct. G3: no
instance has start permission for a failure domain later than 5 s after it was
taken out of service.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chivefall.document import (
    ChangeAccepted,
    ChangeUnknown,
    DomainEdit,
    Edit,
    SectionEdit,
    decode_document,
)
from chivefall.model import Account, DomainState, Section, TeamId
from chivefall.runtime import spawn
from chivefall.store import DOCUMENT_KEY, HISTORY_PREFIX
from tests.document.faults import NAMES, TARGET, FaultyRegion

if TYPE_CHECKING:
    from chivefall.model import Document, InstanceId
    from chivefall.runtime import Future

OUT_LIMIT_SECONDS = 5.0
CONVERGENCE_LIMIT_SECONDS = 8.0
CHECK_INTERVAL_SECONDS = 0.25

names = st.sampled_from(NAMES)
groups = st.sets(names, min_size=1)
durations = st.sampled_from([0.05, 0.5, 1.0, 3.0, 7.0])


class DocumentMachine(RuleBasedStateMachine):
    @initialize()
    def start(self) -> None:
        self.cluster = FaultyRegion()
        self.chain: dict[int, Document] = {1: self.cluster.document}
        self.highest: dict[str, int] = {}
        self.edits: dict[str, tuple[InstanceId, Future]] = {}
        self.numbers = itertools.count()
        self.out_since: float | None = None
        self._record_writes()

    def _record_writes(self) -> None:
        """Check each write of the document against the chain of accepted revisions."""
        put = self.cluster.state.put

        def record(key, value, expected, lease):
            done = put(key, value, expected, lease)
            if done and key == DOCUMENT_KEY:
                self._check_next(decode_document(value))
            return done

        self.cluster.state.put = record

    def _check_next(self, new: Document) -> None:
        old = self.chain[max(self.chain)]
        assert new.revision == old.revision + 1, "the revisions do not form a single chain"
        for section in Section:
            if section not in new.last_change.sections:
                assert new.section(section) == old.section(section), "a change was reverted"
        assert set(old.accounts) <= set(new.accounts), "an accepted account was lost"
        self.chain[new.revision] = new
        if new.is_in_service(TARGET):
            self.out_since = None
        elif old.is_in_service(TARGET):
            self.out_since = self.cluster.clock.now()

    def _edit(self, name: InstanceId, edit: Edit) -> None:
        reason = f"edit {next(self.numbers)}"
        document = self.cluster.applications[name].document
        fut = spawn(document.change(TeamId("staff"), document.revision, edit, reason))
        self.edits[reason] = (name, fut)

    @rule(name=names, lost=st.integers(0, 3))
    def add_account(self, name: InstanceId, lost: int) -> None:
        self.cluster.stores[name].lose_replies = lost
        accounts = self.cluster.applications[name].document.document.accounts
        added = {**accounts, f"account-{next(self.numbers)}": Account()}
        self._edit(name, SectionEdit(Section.ACCOUNTS, added))

    @rule(pair=st.lists(names, min_size=2, max_size=2, unique=True))
    def race(self, pair: list[InstanceId]) -> None:
        """Let two instances change the same section from the same base."""
        for name in pair:
            self.cluster.stores[name].delay = 0.02
        for name in pair:
            self.add_account(name, 0)

    @rule(name=names, state=st.sampled_from(DomainState), lost=st.integers(0, 3))
    def set_domain(self, name: InstanceId, state: DomainState, lost: int) -> None:
        self.cluster.stores[name].lose_replies = lost
        self._edit(name, DomainEdit(TARGET, state))

    @rule(group=groups | st.just(set(NAMES)), down=st.booleans())
    def set_store(self, group: set[InstanceId], down: bool) -> None:
        self.cluster.store_down(group, down)

    @rule(group=groups, delay=st.sampled_from([0.0, 0.02, 0.6]))
    def delay_store(self, group: set[InstanceId], delay: float) -> None:
        for name in group:
            self.cluster.stores[name].delay = delay

    @rule(group=groups, both_ways=st.booleans())
    def cut(self, group: set[InstanceId], both_ways: bool) -> None:
        self.cluster.heal()
        (self.cluster.cut if both_ways else self.cluster.silence)(group)

    @rule()
    def heal(self) -> None:
        self.cluster.heal()

    @rule(group=groups)
    def hold(self, group: set[InstanceId]) -> None:
        self.cluster.hold(group)

    @rule()
    def release(self) -> None:
        self.cluster.release()

    @rule(name=names, graceful=st.booleans(), down=st.booleans())
    def restart(self, name: InstanceId, graceful: bool, down: bool) -> None:
        self.edits = {key: item for key, item in self.edits.items() if item[0] != name}
        self.cluster.restart(name, graceful, down)

    @rule(seconds=durations)
    def advance(self, seconds: float) -> None:
        while seconds > 0:
            self.cluster.advance(min(seconds, CHECK_INTERVAL_SECONDS))
            self.check_instances()
            seconds -= CHECK_INTERVAL_SECONDS

    @invariant()
    def check_instances(self) -> None:
        """Check revisions in force, and that no instance may start in a domain taken out."""
        now = self.cluster.clock.now()
        for app in self.cluster.applications.values():
            document = app.document.document
            if document.revision:
                assert document == self.chain[document.revision], "a revision was never accepted"
            incarnation = app.document._peers.incarnation
            assert document.revision >= self.highest.get(incarnation, 0), (
                "an instance went back to a lower revision"
            )
            self.highest[incarnation] = document.revision
        if self.out_since is not None and now - self.out_since > OUT_LIMIT_SECONDS:
            assert not self.cluster.starting(), "an instance may start in a domain taken out"

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        self.cluster.heal()
        self.cluster.release()
        for store in self.cluster.stores.values():
            store.down, store.lose_replies, store.delay = False, 0, 0.0
        self.advance(CONVERGENCE_LIMIT_SECONDS)
        latest = max(self.chain)
        for app in self.cluster.applications.values():
            assert app.document.revision == latest, "an instance lacks the latest revision"
            assert app.document.may_start_tasks(0), (
                "an instance has no start permission after the faults"
            )
        self._check_outcomes()
        written = {key for key, _ in self.cluster.state.list(HISTORY_PREFIX)}
        assert len(written) == latest - 1, "an audit record was lost"

    def _check_outcomes(self) -> None:
        """Compare the reported outcomes with the chain of accepted revisions."""
        accepted = {
            item.last_change.reason: item for item in self.chain.values() if item.last_change
        }
        for reason, (_, fut) in self.edits.items():
            outcome = fut.result()
            if isinstance(outcome, ChangeAccepted):
                assert accepted[reason].revision == outcome.revision, "an accepted change was lost"
            elif not isinstance(outcome, ChangeUnknown):
                assert reason not in accepted, f"a change in force was reported as {outcome}"


DocumentFuzzTest = DocumentMachine.TestCase
DocumentFuzzTest.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=30,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate,),
)
