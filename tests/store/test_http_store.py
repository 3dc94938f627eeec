"""The HTTP client of the store against the stand-in with faults."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from chivefall.config import Address
from chivefall.net import HttpClient, HttpResponse
from chivefall.runtime import LoopClock, spawn
from chivefall.store import (
    ABSENT,
    Conflict,
    Found,
    Granted,
    HttpStore,
    Listed,
    Stored,
    Unavailable,
)
from chivefall.store._http_store import _lease_outcome, _write_outcome
from standins.deployment import call, free_ports, wait_until

STORE_TIMEOUT = 0.3
SCENARIO_LIMIT = 15.0


class MalformedReplyTest(unittest.TestCase):
    def test_reply_that_cannot_be_decoded_is_an_unknown_outcome(self) -> None:
        """Guards against an error that ends the caller's task, and against a false refusal."""
        for reply in (HttpResponse(200, b"<html>"), HttpResponse(204, b""), HttpResponse(302, b"")):
            for outcome in (_write_outcome("key", reply), _lease_outcome(reply)):
                self.assertIsInstance(outcome, Unavailable)
                self.assertTrue(outcome.applied_unknown)


class FaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        listing = directory / "instances.json"
        listing.write_text("[]")
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        command = ["-m", "standins.store", "--listen", self.address, "--instances", str(listing)]
        process = subprocess.Popen([sys.executable, *command])
        self.addCleanup(process.wait)
        self.addCleanup(process.terminate)
        wait_until(lambda: call(self.address, "GET", "/control/calls"), "the store answers", 10.0)
        self.root = BaseComponent()
        self.clock = LoopClock()
        http = HttpClient(self.clock)
        for component in (EPoll(), self.clock.timer_component, http):
            component.register(self.root)
        self.addCleanup(http.close_all)
        self.store = HttpStore(http, Address.parse(self.address), STORE_TIMEOUT)

    def run_scenario(self, scenario: Any) -> None:
        fut = spawn(scenario)
        fut.add_done_callback(lambda _: self.root.stop())
        self.clock.call_later(SCENARIO_LIMIT, self.root.stop)
        self.root.run()
        fut.result()

    def set_faults(self, **faults: Any) -> int:
        return call(self.address, "PUT", "/control/faults", faults)[0]

    def test_faults_and_counts_reach_a_client(self) -> None:
        """Guards against outages in process-level tests that the client does not notice."""
        self.run_scenario(self._fail_in_turn())
        _, calls = call(self.address, "GET", "/control/calls")
        self.assertEqual(calls["total"], {"read": 4, "write": 4, "lease": 2, "watch": 0})
        self.assertEqual(sum(second["write"] for second in calls["per_second"]), 4)

    async def _fail_in_turn(self) -> None:
        store = self.store
        self.set_faults(lose_replies=1)
        outcome = await store.put("a/b", b"one", ABSENT)
        self.assertTrue(isinstance(outcome, Unavailable) and outcome.applied_unknown, outcome)
        found = await store.get("a/b")
        self.assertEqual((type(found), found.entry.value), (Found, b"one"))
        self.assertIsInstance(await store.put("a/b", b"two", ABSENT), Conflict)
        self.set_faults(refuse_writes=True)
        self.assertIsInstance(await store.put("a/b", b"two", found.entry.version), Unavailable)
        self.assertIsInstance(await store.grant_lease(5.0), Unavailable)
        listed = await store.list("a/")
        self.assertEqual((type(listed), listed.entries), (Listed, (found.entry,)))
        self.set_faults(down=True)
        self.assertIsInstance(await store.get("a/b"), Unavailable)
        self.set_faults(delay=2 * STORE_TIMEOUT)
        self.assertIsInstance(await store.get("a/b"), Unavailable)
        self.assertEqual(self.set_faults(down="yes"), 400)
        self.assertEqual(self.set_faults(dwon=True), 400)
        self.set_faults()
        self.assertIsInstance(await store.put("a/b", b"two", found.entry.version), Stored)
        self.assertIsInstance(await store.grant_lease(5.0), Granted)
