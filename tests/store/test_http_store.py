"""Tests of the store's HTTP client against the stand-in store with injected faults."""

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

STORE_TIMEOUT_SECONDS = 0.3
SCENARIO_TIMEOUT_SECONDS = 15.0


class MalformedResponseTest(unittest.TestCase):
    def test_undecodable_response_is_an_unknown_outcome(self) -> None:
        """Guards against an exception in the caller, and a write wrongly taken as not applied."""
        for response in (
            HttpResponse(200, b"<html>"),
            HttpResponse(204, b""),
            HttpResponse(302, b""),
        ):
            for outcome in (_write_outcome("key", response), _lease_outcome(response)):
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
        wait_until(lambda: call(self.address, "GET", "/control/calls"), "the store responds", 10.0)
        self.root = BaseComponent()
        self.clock = LoopClock()
        http = HttpClient(self.clock)
        for component in (EPoll(), self.clock.timer_component, http):
            component.register(self.root)
        self.addCleanup(http.close_all)
        self.store = HttpStore(http, Address.parse(self.address), STORE_TIMEOUT_SECONDS)

    def run_scenario(self, scenario: Any) -> None:
        fut = spawn(scenario)
        fut.add_done_callback(lambda _: self.root.stop())
        self.clock.call_later(SCENARIO_TIMEOUT_SECONDS, self.root.stop)
        self.root.run()
        fut.result()

    def set_faults(self, **faults: Any) -> int:
        return call(self.address, "PUT", "/control/faults", faults)[0]

    def test_client_sees_injected_faults_and_calls_are_counted(self) -> None:
        """Guards against process-level tests whose injected faults do not reach the client."""
        self.run_scenario(self._inject_each_fault())
        _, calls = call(self.address, "GET", "/control/calls")
        self.assertEqual(calls["total"], {"read": 4, "write": 4, "lease": 2, "watch": 0})
        self.assertEqual(sum(second["write"] for second in calls["per_second"]), 4)

    async def _inject_each_fault(self) -> None:
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
        self.set_faults(delay=2 * STORE_TIMEOUT_SECONDS)
        self.assertIsInstance(await store.get("a/b"), Unavailable)
        self.assertEqual(self.set_faults(down="yes"), 400)
        self.assertEqual(self.set_faults(dwon=True), 400)
        self.set_faults()
        self.assertIsInstance(await store.put("a/b", b"two", found.entry.version), Stored)
        self.assertIsInstance(await store.grant_lease(5.0), Granted)
