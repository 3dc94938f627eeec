"""A failure domain is taken out of service at a random moment of random faults (G3).

Whatever is cut off, down, late or restarted: 5 s after the store took the
change, no instance may have start permission for that domain.
"""

from __future__ import annotations

import itertools
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chivefall.document import DomainEdit, decode_document
from chivefall.model import DomainId, DomainState, InstanceId, Revision, TeamId
from chivefall.runtime import spawn
from chivefall.store import DOCUMENT_KEY
from standins.cluster import Cluster

DOMAINS = ("zarcero", "tarrazu", "cartago")
TARGET = DomainId("zarcero")
NAMES = [InstanceId(f"{domain}-{number}") for domain in DOMAINS for number in (1, 2)]
OUT = DomainEdit(TARGET, DomainState.OUT_OF_SERVICE)
OUT_LIMIT_S = 5.0
STEP_S = 0.25
OBSERVED_S = 14.0

names = st.sampled_from(NAMES)
groups = st.sets(names, max_size=3)
moments = st.sampled_from([-6.0, -3.0, -1.5, -0.5, 0.0, 0.25, 0.5, 1.5])
"""Seconds from the change at which a fault begins."""
FATES = ("lives", "loses the store", "is cut off", "crashes", "restarts", "leaves")


class Region:
    """A cluster, the faults that an example puts on it, and the permissions found."""

    def __init__(self) -> None:
        self.cluster = Cluster(DOMAINS, workers_per_domain=0)
        self.cluster.advance(4)
        self.held: list[tuple[InstanceId, list]] = []

    def store_down(self, group: set[InstanceId]) -> None:
        for name in group:
            self.cluster.stores[name].down = True

    def cut(self, group: set[InstanceId]) -> None:
        """Cut a group off from the others, in both directions."""
        self.cluster.network.cut |= {
            frozenset((one, two)) for one in group for two in set(NAMES) - group
        }

    def silence(self, group: set[InstanceId]) -> None:
        """Cut a group's messages off, but not those to it."""
        self.cluster.network.cut_one_way |= {
            (one, two) for one in group for two in set(NAMES) - group
        }

    def hold(self, group: set[InstanceId]) -> None:
        """Let the messages to a group wait until the end of the faults."""
        for name in group:
            messages: list = []
            self.held.append((name, messages))
            peers = self.cluster.network.peers[name]
            peers._receive_heartbeat = lambda *message, queue=messages: queue.append(message)

    def release(self) -> None:
        """Deliver all messages that wait."""
        for name, messages in self.held:
            peers = self.cluster.network.peers.get(name)
            if peers is not None and "_receive_heartbeat" in vars(peers):
                del peers._receive_heartbeat
                for message in messages:
                    peers._receive_heartbeat(*message)
        self.cluster.settle()

    def end(self, name: InstanceId, fate: str, with_store: bool) -> None:
        """Let the instance that took the change meet its fate."""
        if fate == "loses the store":
            self.store_down({name})
        elif fate == "is cut off":
            self.cut({name})
        elif fate != "lives":
            if fate == "leaves":
                self.cluster.applications[name].stop_controllers()
                self.cluster.settle()
            self.cluster.kill(name)
            if fate == "restarts":
                self.cluster.store_down = not with_store
                self.cluster.start(name, DomainId(name.rpartition("-")[0]))

    def is_out(self) -> bool:
        value = self.cluster.state.get(DOCUMENT_KEY).value
        return not decode_document(value).is_in_service(TARGET)

    def starting(self) -> list[InstanceId]:
        """Return the instances that would start tasks in the target domain."""
        now = self.cluster.clock.now()
        return [
            name
            for name, app in self.cluster.applications.items()
            if app.document.document.is_in_service(TARGET) and app.document.is_fresh(now)
        ]


class OutOfServiceTest(unittest.TestCase):
    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=120,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        faults=st.lists(
            st.tuples(st.sampled_from(["store_down", "cut", "silence", "hold"]), moments, groups),
            max_size=5,
        ),
        outage=st.one_of(st.none(), moments),
        acceptor=names,
        fate=st.sampled_from(FATES),
        fate_delay=st.sampled_from([0.0, 0.25, 1.0]),
        lost=st.booleans(),
        released=st.floats(1.0, 9.0),
    )
    def test_no_start_permission_after_the_limit(
        self, faults, outage, acceptor, fate, fate_delay, lost, released
    ) -> None:
        """Guards against starting tasks in a domain that operators took out of service."""
        region = Region()
        if outage is not None:
            faults = [*faults, ("store_down", outage, set(NAMES))]
        faults = sorted(faults, key=lambda fault: fault[1])
        moment = -6.0
        for kind, at, group in [fault for fault in faults if fault[1] <= 0]:
            region.cluster.advance(at - moment)
            moment = at
            getattr(region, kind)(group)
        region.cluster.advance(-moment)
        document = region.cluster.applications[acceptor].document
        region.cluster.stores[acceptor].down = False
        region.cluster.stores[acceptor].lose_replies = int(lost)
        spawn(document.change(TeamId("staff"), Revision(1), OUT))
        self.assertTrue(region.is_out())
        later = [fault for fault in faults if fault[1] > 0]
        ended = was_released = False
        for step in itertools.count():
            since = step * STEP_S
            if since > OBSERVED_S:
                break
            if not ended and since >= fate_delay:
                ended = True
                region.end(acceptor, fate, with_store=outage is None)
            while later and later[0][1] <= since:
                kind, _, group = later.pop(0)
                getattr(region, kind)(group & set(region.cluster.stores))
            if not was_released and since >= released:
                was_released = True
                region.release()
            if since > OUT_LIMIT_S:
                self.assertEqual(region.starting(), [], f"{since} s after the change")
            region.cluster.advance(STEP_S)
