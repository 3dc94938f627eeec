"""A failure domain is taken out of service at a random moment of random faults (G3).

Whatever is cut off, down, late or restarted: 5 s after the store took the
change, no instance may have start permission for that domain.
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
OUT_LIMIT_S = 5.0
STEP_S = 0.25
OBSERVED_S = 14.0

names = st.sampled_from(NAMES)
groups = st.sets(names, max_size=3)
moments = st.sampled_from([-6.0, -3.0, -1.5, -0.5, 0.0, 0.25, 0.5, 1.5])
"""Seconds from the change at which a fault begins."""
FATES = ("lives", "loses the store", "is cut off", "crashes", "restarts", "leaves")


def meet_fate(region: FaultyRegion, name: InstanceId, fate: str, down: bool) -> None:
    """Let the instance that took the change meet its fate."""
    if fate == "loses the store":
        region.store_down({name})
    elif fate == "is cut off":
        region.cut({name})
    elif fate == "restarts":
        region.restart(name, graceful=False, down=down)
    elif fate != "lives":
        region.end(name, graceful=fate == "leaves")


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
            since = step * STEP_S
            if since > OBSERVED_S:
                break
            if not ended and since >= fate_delay:
                ended = True
                meet_fate(region, acceptor, fate, outage is not None)
            while later and later[0][1] <= since:
                kind, _, group = later.pop(0)
                getattr(region, kind)(group & set(region.stores))
            if not was_released and since >= released:
                was_released = True
                region.release()
            if since > OUT_LIMIT_S:
                self.assertEqual(region.starting(), [], f"{since} s after the change")
            region.advance(STEP_S)
