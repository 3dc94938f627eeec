"""Fuzzes taking a failure domain out of service during random faults (G3).

From 5 s after the store accepted the change, no instance may have start permission
for that domain, whatever the partitions, outages, delays and restarts.
"""

from __future__ import annotations

import itertools
import unittest
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chivefall.document import DomainEdit, decode_document
from chivefall.model import DomainState, Revision, TeamId
from chivefall.runtime import spawn
from chivefall.store import DOCUMENT_KEY
from tests.document.faults import NAMES, TARGET, FaultyRegion

if TYPE_CHECKING:
    from chivefall.model import InstanceId

OUT = DomainEdit(TARGET, DomainState.OUT_OF_SERVICE)
OUT_LIMIT_SECONDS = 5.0
STEP_SECONDS = 0.25
OBSERVATION_SECONDS = 14.0

names = st.sampled_from(NAMES)
groups = st.sets(names, max_size=3)
fault_times = st.sampled_from([-6.0, -3.0, -1.5, -0.5, 0.0, 0.25, 0.5, 1.5])
"""Start times of faults, in seconds relative to the change."""
ACCEPTOR_FAULTS = ("none", "store_down", "cut", "crash", "restart", "graceful_stop")


def inject_acceptor_fault(region: FaultyRegion, name: InstanceId, fault: str, down: bool) -> None:
    """Inject a fault into the instance that accepted the change."""
    if fault == "store_down":
        region.store_down({name})
    elif fault == "cut":
        region.cut({name})
    elif fault == "restart":
        region.restart(name, graceful=False, down=down)
    elif fault != "none":
        region.end(name, graceful=fault == "graceful_stop")


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
            st.tuples(
                st.sampled_from(["store_down", "cut", "silence", "hold"]), fault_times, groups
            ),
            max_size=5,
        ),
        outage=st.one_of(st.none(), fault_times),
        acceptor=names,
        acceptor_fault=st.sampled_from(ACCEPTOR_FAULTS),
        acceptor_fault_delay=st.sampled_from([0.0, 0.25, 1.0]),
        lost=st.booleans(),
        released=st.floats(1.0, 9.0),
    )
    def test_no_start_permission_after_the_limit(
        self, faults, outage, acceptor, acceptor_fault, acceptor_fault_delay, lost, released
    ) -> None:
        """Guards against starting tasks in a domain that operators took out of service."""
        region = FaultyRegion()
        if outage is not None:
            faults = [*faults, ("store_down", outage, set(NAMES))]
        faults = sorted(faults, key=lambda fault: fault[1])
        moment = -6.0
        for kind, at, group in [fault for fault in faults if fault[1] <= 0]:
            region.advance(at - moment)
            moment = at
            getattr(region, kind)(group)
        region.advance(-moment)
        document = region.applications[acceptor].document
        region.stores[acceptor].down = False
        region.stores[acceptor].lose_replies = int(lost)
        spawn(document.change(TeamId("staff"), Revision(1), OUT))
        stored = decode_document(region.state.get(DOCUMENT_KEY).value)
        self.assertFalse(stored.is_in_service(TARGET))
        later = [fault for fault in faults if fault[1] > 0]
        ended = was_released = False
        for step in itertools.count():
            since = step * STEP_SECONDS
            if since > OBSERVATION_SECONDS:
                break
            if not ended and since >= acceptor_fault_delay:
                ended = True
                inject_acceptor_fault(region, acceptor, acceptor_fault, outage is not None)
            while later and later[0][1] <= since:
                kind, _, group = later.pop(0)
                getattr(region, kind)(group & set(region.stores))
            if not was_released and since >= released:
                was_released = True
                region.release()
            if since > OUT_LIMIT_SECONDS:
                self.assertEqual(region.starting(), [], f"{since} s after the change")
            region.advance(STEP_SECONDS)
